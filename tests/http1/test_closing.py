"""Tests of how connections of callers end, on real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from coltsfootstair.http1 import CallerLimits
from tests.gateway.harness import run_with_time_limit
from tests.http1.harness import RecordingHandler, serve_callers
from tests.slow_callers import SlowCaller


def test_a_refused_request_is_not_refused_once_more_by_the_header_timeout() -> None:
    """A refusal that waited behind an answer was followed by one with 408, after the end."""
    handler = RecordingHandler(0.3, CallerLimits(header_timeout_s=0.1))
    errors: list[dict[str, Any]] = []

    async def work() -> list[int]:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        async with serve_callers(handler) as port:
            caller = await SlowCaller(1e6).open(port)
            await caller.send('/10')
            await caller.send_bytes(b'\x00 no request\r\n\r\n')
            statuses = []
            while (answer := await caller.read_answer()) is not None:
                statuses.append(answer.status)
            caller.close()
            return statuses

    assert run_with_time_limit(work()) == [200, 400]
    assert handler.refused == [400]
    assert errors == []
