"""Tests of the proxy: the effect of link states on connections."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
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


def _close(caller: Caller, *, resets: bool) -> None:
    """Close a connection as its kernel does for a process that closes it or is killed."""
    raw_socket = caller.writer.get_extra_info('socket')
    raw_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', int(resets), 0)
    )
    caller.writer.transport.abort()


def test_bytes_held_up_by_a_cut_arrive_after_it_when_tcp_sends_them_again() -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[bool, int, float]:
        async with _link(server) as proxy:
            loop = asyncio.get_running_loop()
            caller = await _connect(proxy)
            caller.send('lookups')
            assert await _is_answered(caller)
            proxy.cut()
            proxy.cut()
            caller.send('lookups')
            sent_at = loop.time()
            await asyncio.sleep(0.4)
            proxy.heal()
            assert not await _is_answered(caller)
            received = len(server.received)
            # The kernel sends again 0.2 s and 0.6 s after the first time, then at 1.4 s.
            proxy.heal()
            answered = await _is_answered(caller, within_s=2.0)
            return answered, received, loop.time() - sent_at

    answered, received, delay_s = run_with_time_limit(work())
    assert (answered, received) == (True, 1)
    assert 1.35 < delay_s < 1.8


@pytest.mark.parametrize('sent_before_the_cut', [0, 1])
@pytest.mark.parametrize(('resets', 'expected_count'), [(True, 0), (False, 1)])
def test_a_cut_drops_held_up_bytes_of_a_connection_that_was_reset(
    sent_before_the_cut: int, expected_count: int, *, resets: bool
) -> None:
    server = ServerStandin('s1')

    async def work() -> int:
        async with _link(server) as proxy:
            caller = await _connect(proxy)
            for _ in range(sent_before_the_cut):
                caller.send('lookups')
                assert await _is_answered(caller)
            proxy.cut()
            caller.send('lookups')
            await asyncio.sleep(0.1)
            _close(caller, resets=resets)
            await asyncio.sleep(0.1)
            proxy.heal()
            await asyncio.sleep(0.6)
            return len(server.received) - sent_before_the_cut

    assert run_with_time_limit(work()) == expected_count


def test_a_reset_that_comes_with_the_bytes_drops_them() -> None:
    """The kernel returns bytes that were received before a reset also after it."""
    server = ServerStandin('s1')

    async def work() -> int:
        async with _link(server) as proxy:
            caller = await _connect(proxy)
            proxy.cut()
            await asyncio.sleep(0.1)
            caller.send('lookups')
            _close(caller, resets=True)
            proxy.heal()
            proxy.cut()
            await asyncio.sleep(0.1)
            proxy.heal()
            await asyncio.sleep(0.6)
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
