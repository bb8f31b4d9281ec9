"""Tests of the proxy: the effect of link states on connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from soak._proxy import LinkState, Proxy

from tests.coltsfootstair_platform.standin import ServerStandin, run_listeners
from tests.gateway.harness import Caller, run_with_time_limit


@asynccontextmanager
async def _link(server: ServerStandin) -> AsyncIterator[Proxy]:
    async with run_listeners(server):
        proxy = Proxy(server.port, random.Random(1))
        await proxy.start()
        try:
            yield proxy
        finally:
            proxy.stop()


async def _connect(proxy: Proxy) -> Caller:
    return Caller(*await asyncio.open_connection('127.0.0.1', proxy.port))


async def _is_answered(caller: Caller, within_s: float = 0.3) -> bool:
    try:
        async with asyncio.timeout(within_s):
            return (await caller.read_answer()).status == 200
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return False


def test_an_undisturbed_link_forwards_both_ways() -> None:
    async def work() -> bool:
        async with _link(ServerStandin('s1')) as proxy:
            caller = await _connect(proxy)
            caller.send('lookups')
            return await _is_answered(caller)

    assert run_with_time_limit(work())


def test_a_silent_link_forwards_held_bytes_once_it_is_whole_again() -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[bool, int, bool]:
        async with _link(server) as proxy:
            caller = await _connect(proxy)
            proxy.set_state(LinkState.SILENT)
            caller.send('lookups')
            early = await _is_answered(caller)
            received = len(server.received)
            proxy.set_state(LinkState.WHOLE)
            return early, received, await _is_answered(caller)

    assert run_with_time_limit(work()) == (False, 0, True)


def test_bytes_held_back_are_lost_if_their_sender_closes_the_connection() -> None:
    server = ServerStandin('s1')

    async def work() -> int:
        async with _link(server) as proxy:
            caller = await _connect(proxy)
            proxy.set_state(LinkState.SILENT)
            caller.send('lookups')
            await asyncio.sleep(0.1)
            caller.writer.transport.abort()
            await asyncio.sleep(0.1)
            proxy.set_state(LinkState.WHOLE)
            await asyncio.sleep(0.1)
            return len(server.received)

    assert run_with_time_limit(work()) == 0


def test_a_one_way_link_holds_answers_only() -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[bool, int]:
        async with _link(server) as proxy:
            caller = await _connect(proxy)
            proxy.set_state(LinkState.ONE_WAY)
            caller.send('lookups')
            return await _is_answered(caller), len(server.received)

    assert run_with_time_limit(work()) == (False, 1)


@pytest.mark.parametrize('state', [LinkState.RESET, LinkState.BUSY])
def test_new_connections_do_not_reach_the_server(state: LinkState) -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[bool, int]:
        async with _link(server) as proxy:
            proxy.set_state(state)
            caller = await _connect(proxy)
            caller.send('lookups')
            return await _is_answered(caller), len(server.received)

    assert run_with_time_limit(work()) == (False, 0)


def test_a_reset_closes_open_connections() -> None:
    async def work() -> bool:
        async with _link(ServerStandin('s1')) as proxy:
            caller = await _connect(proxy)
            caller.send('lookups')
            assert await _is_answered(caller)
            proxy.set_state(LinkState.RESET)
            return await caller.wait_for_end()

    assert run_with_time_limit(work())
