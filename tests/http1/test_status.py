"""Tests of the server of short answers, on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.http1 import StatusServer
from tests.gateway.harness import run_with_time_limit
from tests.slow_callers import SlowCaller

PAGE_BYTES = 2_000_000


async def _answer(path: bytes) -> tuple[int, bytes]:
    if path == b'/page':
        return 200, bytes(PAGE_BYTES)
    if path == b'/fails':
        raise RuntimeError('no page')
    return 404, b'?'


async def _serve() -> StatusServer:
    server = StatusServer(_answer, SystemClock())
    await server.open('127.0.0.1', 0)
    return server


@pytest.mark.parametrize('then', ['stop', 'request too large', 'malformed request'])
def test_a_page_that_is_read_slowly_is_delivered_to_its_end(then: str) -> None:
    """Guards against pages that are cut by a stop, or by what is sent behind them."""

    async def work() -> int:
        server = await _serve()
        caller = await SlowCaller(1e6).open(server.address[1])
        await caller.send('/page')
        await asyncio.sleep(0.2)
        match then:
            case 'stop':
                server.close()
                await caller.send('/page')
                assert server.is_answering
            case 'request too large':
                await caller.send('/page', 'A: ' + 100_000 * 'a')
            case _:
                await caller.send_bytes(b'\x00 no request\r\n\r\n')
        answer = await caller.read_answer()
        if then == 'stop':
            assert await caller.read_answer() is None
            await asyncio.sleep(0.2)
            assert not server.is_answering
        caller.close()
        server.close()
        return 0 if answer is None else answer.body_bytes

    assert run_with_time_limit(work()) == PAGE_BYTES


def test_paths_are_answered_one_after_the_other_on_a_kept_connection() -> None:
    async def work() -> list[int]:
        server = await _serve()
        caller = await SlowCaller(1e7).open(server.address[1])
        statuses = []
        for path in ('/page', '/other', '/page?query', '/fails', '/page'):
            await caller.send(path)
            answer = await caller.read_answer()
            assert answer is not None
            statuses.append(answer.status)
        caller.close()
        server.close()
        return statuses

    assert run_with_time_limit(work()) == [200, 404, 200, 500, 200]


def test_a_stop_is_not_held_by_load_balancers_that_keep_their_connections() -> None:
    """Guards against a daemon that waits for collectors and load balancers."""

    async def work() -> bool:
        server = await _serve()
        caller = await SlowCaller(1e6).open(server.address[1])
        await caller.send('/other')
        assert await caller.read_answer() is not None
        server.close()
        await asyncio.sleep(0.05)
        is_answering = server.is_answering
        assert await caller.read_answer() is None
        caller.close()
        return is_answering

    assert not run_with_time_limit(work())
