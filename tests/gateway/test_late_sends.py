"""Tests of requests that might arrive at a backend server after it has left."""

from __future__ import annotations

import asyncio
import contextlib
import urllib.parse
from collections.abc import AsyncIterator

import pytest

from coltsfootstair.http1 import Address, AnswerLimiter, Connection
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    StoreStandin,
)
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

DRAIN_S = 2.0
"""Time after which a server that said that it leaves must get nothing, in seconds."""


class DeafStore(StoreStandin):
    """Loses the answers to watches of one kind that wait while it is deaf."""

    def __init__(self) -> None:
        super().__init__()
        self.deaf_kind = ''

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        url = urllib.parse.urlsplit(request.target)
        if 'watch=' in url.query and url.path.endswith(f'/{self.deaf_kind}'):
            await reader.read()  # Nothing comes until the daemon closes the connection.
            return False
        return await super()._serve(request, reader, writer)


async def _become_deaf(store: DeafStore, seconds: float) -> None:
    """Lose all watches of servers that begin within ``seconds``, and answer all later ones."""
    store.deaf_kind = 'servers'
    await asyncio.sleep(seconds)
    store.deaf_kind = ''


@contextlib.asynccontextmanager
async def _run_with_deaf_store(
    count: int, *servers: tuple[str, ServerStandin]
) -> AsyncIterator[tuple[list[RunningGateway], DeafStore]]:
    store = DeafStore()
    async with run_gateways(count, *servers, store=store) as gateways:
        # Until one of them is keeper and the others rely on it.
        await asyncio.sleep(2.0)
        yield gateways, store


def test_a_lost_answer_to_a_watch_hides_no_leaving_server() -> None:
    """Guards against daemons that wait for a dead watch while the store answers others."""
    leaving, other = ServerStandin('s1'), ServerStandin('s2')

    async def work() -> list[int]:
        servers = (('calendar', leaving), ('calendar', other))
        async with _run_with_deaf_store(3, *servers) as (gateways, store):
            deafness = asyncio.create_task(_become_deaf(store, 0.5))
            # A change, so that the keeper watches anew and the answer to that is lost.
            await store.put('servers', 's2', other.build_entry('calendar', slots=5))
            await deafness
            await store.put('servers', 's1', leaving.build_entry('calendar', state='draining'))
            await asyncio.sleep(DRAIN_S)
            before = len(leaving.received)
            for number in range(30):
                await gateways[number % 3].call('lookups', X_Request_Id=f'r{number}')
            return [before, len(leaving.received)]

    before, after = run_with_time_limit(work())
    assert after == before


@pytest.mark.parametrize('word', ['draining', 'gone', 'evacuated'])
def test_a_server_that_leaves_while_a_connection_opens_gets_no_request(
    monkeypatch: pytest.MonkeyPatch, word: str
) -> None:
    """Guards against a last look that does not ask for the store's word on the server."""
    leaving = ServerStandin('s1')
    is_opening = asyncio.Event()
    may_open = asyncio.Event()
    open_connection = Connection.open

    async def open_late(
        address: Address,
        id_header: bytes,
        timeout_s: float,
        limiter: AnswerLimiter | None = None,
    ) -> Connection:
        if address.port == leaving.port:
            is_opening.set()
            await may_open.wait()
        return await open_connection(address, id_header, timeout_s, limiter)

    async def work() -> int:
        async with run_gateways(1, ('calendar', leaving)) as (running,):
            call = asyncio.ensure_future(running.call('lookups'))
            await is_opening.wait()
            store = running.store
            match word:
                case 'draining':
                    entry = leaving.build_entry('calendar', state='draining')
                    await store.put('servers', 's1', entry)
                case 'gone':
                    await store.delete('servers', 's1')
                case _:
                    await store.put('evacuations', 'north', {})
            # Longer than a daemon takes to read the change.
            await asyncio.sleep(0.6)
            may_open.set()
            return (await call).status

    monkeypatch.setattr(Connection, 'open', open_late)
    assert run_with_time_limit(work()) == 503, 'no other server is there'
    assert not leaving.received
