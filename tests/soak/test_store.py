"""Tests of the soak's store: what it loses and what is written again."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from soak._store import CONFIGURATION_DELAY_RANGE_S, RestorableStore

from tests.coltsfootstair_platform.standin import run_listeners
from tests.gateway.harness import run_with_time_limit


async def _call(store: RestorableStore, target: str) -> tuple[int, str, Any]:
    """Return the status, the era and the decoded body of an answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', store.port)
    writer.write(f'GET {target} HTTP/1.1\r\n\r\n'.encode())
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    headers = dict(line.split(': ') for line in head.strip().split('\r\n')[1:])
    body = json.loads(await reader.readexactly(int(headers['Content-Length'])))
    writer.close()
    return int(head.split(' ')[1]), headers['Store-Era'], body


async def _list(store: RestorableStore, kind: str) -> dict[str, Any]:
    _, _, body = await _call(store, f'/-/objects/{kind}')
    return {item['metadata']['name']: item['spec'] for item in body['items']}


def test_a_store_loses_what_was_written_after_its_copy_until_it_is_written_again() -> None:
    store = RestorableStore(random.Random(1))

    async def work() -> None:
        async with run_listeners(store):
            await store.write('config', 'main', 1)
            await store.write('servers', 's1', 'ready')
            await store.write('servers', 's2', 'ready')
            _, era, listing = await _call(store, '/-/objects/config')
            assert era == '1'
            store.take_copy()
            await store.write('config', 'main', 2)
            await store.remove('servers', 's2')
            await store.put('leases', 'keeper', 'd1')
            store.go_away()
            await store.come_back()
            assert await _list(store, 'config') == {'main': 1}
            assert await _list(store, 'servers') == {'s1': 'ready', 's2': 'ready'}
            assert await _list(store, 'leases') == {}
            status, era, _ = await _call(store, '/-/objects/config?watch=5&wait-ms=0')
            assert (status, era) == (410, '2')
            await store.write('config', 'other', 3)
            _, _, again = await _call(store, '/-/objects/config')
            assert again['current-rev'] == listing['current-rev'] + 1
            async with asyncio.timeout(CONFIGURATION_DELAY_RANGE_S[1] + 0.5):
                await store.write_again()
            assert await _list(store, 'config') == {'main': 2, 'other': 3}
            assert await _list(store, 'servers') == {'s1': 'ready'}

    run_with_time_limit(work())


def test_writes_of_operators_and_servers_wait_while_the_store_is_away() -> None:
    store = RestorableStore(random.Random(1))

    async def work() -> None:
        async with run_listeners(store):
            store.take_copy()
            store.go_away()
            writing = asyncio.create_task(store.write('config', 'main', 1))
            await asyncio.sleep(0.05)
            assert await _list(store, 'config') == {}
            await store.come_back()
            await writing
            assert await _list(store, 'config') == {'main': 1}

    run_with_time_limit(work())
