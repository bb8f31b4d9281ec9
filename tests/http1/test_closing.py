"""Tests of how connections of callers end, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.http1 import CallerLimits, Headers, IncomingRequest, Reply
from coltsfootstair.sockets._delivery import LINGER_S, MAX_LINGER_S
from tests.gateway.harness import run_with_time_limit
from tests.http1.harness import RecordingHandler, serve_callers
from tests.slow_callers import SlowCaller

CHECK_S = 0.3
"""Time in which the connection checks several times how much was delivered, in seconds."""

LARGE_BYTES = 8_000_000
"""More than the kernels of both sides keep."""


@contextlib.asynccontextmanager
async def _connect(handler: RecordingHandler, bytes_per_s: float) -> AsyncIterator[SlowCaller]:
    async with serve_callers(handler) as port:
        caller = await SlowCaller(bytes_per_s).open(port)
        try:
            yield caller
        finally:
            caller.close()


@pytest.mark.parametrize('is_last', [True, False])
def test_a_caller_that_never_reads_is_cut_off_after_the_idle_timeout(is_last: bool) -> None:
    """Guards against answers that are kept without end for callers that do not read them."""
    clock = ManualClock()
    handler = RecordingHandler(clock=clock)
    idle_timeout_s = handler.limits.idle_timeout_s

    async def work() -> tuple[int, int]:
        async with _connect(handler, 1e6) as caller:
            await caller.send(f'/{LARGE_BYTES}', *['Connection: close'] * is_last)
            await asyncio.sleep(CHECK_S)
            clock.advance(idle_timeout_s - 0.1)
            await asyncio.sleep(CHECK_S)
            kept_count = len(handler.connections) - handler.ended_count
            clock.advance(0.2)
            # An open connection is checked four times in its idle timeout.
            handler.connections[0]._on_timer()
            await asyncio.sleep(CHECK_S)
            return kept_count, handler.ended_count

    assert run_with_time_limit(work()) == (1, 1)


def test_a_caller_that_sends_without_end_is_cut_off() -> None:
    """Guards against refused connections that are read for ever."""
    clock = ManualClock()
    handler = RecordingHandler(clock=clock)

    async def work() -> tuple[int, int]:
        async with _connect(handler, 1e6) as caller:
            await caller.send_bytes(b'\x00 no request\r\n\r\n')
            await asyncio.sleep(CHECK_S)
            for _ in range(int(MAX_LINGER_S)):
                assert await caller.send_bytes(b'x')
                await asyncio.sleep(0.01)
                clock.advance(0.95)
            await asyncio.sleep(CHECK_S)
            kept_count = len(handler.connections) - handler.ended_count
            clock.advance(0.1 * MAX_LINGER_S)
            await caller.send_bytes(b'x')
            await asyncio.sleep(CHECK_S)
            return kept_count, handler.ended_count

    assert run_with_time_limit(work()) == (1, 1)


def test_a_caller_that_never_closes_is_closed_soon_after_its_last_answer() -> None:
    """Guards against descriptors that are kept for callers that have all answers."""
    clock = ManualClock()
    handler = RecordingHandler(clock=clock)

    async def work() -> tuple[int, int]:
        async with _connect(handler, 1e6) as caller:
            await caller.send('/10', 'Connection: close')
            assert await caller.read_answer() is not None
            await asyncio.sleep(CHECK_S)
            kept_count = len(handler.connections) - handler.ended_count
            clock.advance(LINGER_S)
            await asyncio.sleep(CHECK_S)
            return kept_count, handler.ended_count

    assert run_with_time_limit(work()) == (1, 1)


def test_a_caller_that_closes_after_its_last_answer_is_not_waited_for() -> None:
    """Guards against connections that stay after both sides have ended them."""
    handler = RecordingHandler()

    async def work() -> int:
        async with _connect(handler, 1e6) as caller:
            await caller.send('/10', 'Connection: close')
            assert await caller.read_answer() is not None
            caller.close()
            await asyncio.sleep(CHECK_S)
            return handler.ended_count

    assert run_with_time_limit(work()) == 1


@pytest.mark.parametrize('header', ['Connection: close', 'X-Other: 1'])
def test_a_caller_that_ends_its_sending_side_while_it_reads_gets_the_whole_answer(
    header: str,
) -> None:
    """Guards against an end of the caller's sending side that cuts off what was sent to it."""
    handler = RecordingHandler()

    async def work() -> int:
        async with _connect(handler, 2e6) as caller:
            await caller.send('/3000000', header)
            await asyncio.sleep(0.2)
            caller.end_sending()
            answer = await caller.read_answer()
            return 0 if answer is None else answer.body_bytes

    assert run_with_time_limit(work()) == 3_000_000


def test_a_connection_that_its_caller_has_just_reset_can_be_ended() -> None:
    """Guards against a stop that fails since a connection has ended meanwhile."""
    handler = RecordingHandler()

    async def work() -> int:
        async with _connect(handler, 1e6) as caller:
            await caller.send('/10')
            assert await caller.read_answer() is not None
            caller.reset()
            handler.connections[0].close_if_idle()
            await asyncio.sleep(CHECK_S)
            return handler.ended_count

    assert run_with_time_limit(work()) == 1


class _FailingHandler(RecordingHandler):
    """Fails inside the daemon for one path, also when it refuses."""

    async def handle(self, request: IncomingRequest) -> Reply:
        reply = await super().handle(request)
        return Reply(200, [(b'A', None)], b'') if request.path == b'/0' else reply  # type: ignore[list-item]

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        raise RuntimeError('no refusal')


def test_a_failure_inside_the_daemon_cuts_no_answer_before_it() -> None:
    """The connection was closed at once, with the answers that its caller was reading."""
    handler = _FailingHandler()

    async def work() -> list[int]:
        async with _connect(handler, 1e6) as caller:
            await caller.send('/3000000')
            await caller.send('/0')
            sizes = []
            while (answer := await caller.read_answer()) is not None:
                sizes.append(answer.body_bytes)
            return sizes

    assert run_with_time_limit(work()) == [3_000_000]


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
