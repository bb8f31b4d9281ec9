"""The store comes back from a copy that is older than the first keeper of a first start."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3 import (  # noqa: E402
    KEY_COUNT,
    Client,
    Daemon,
    Record,
    Store,
    Upstream,
    build_config,
    find_double_holds,
    run_case,
    run_daemons,
)

DAEMON_COUNT = 9

UPSTREAM_COUNT = 3

LAST_JOINS_AFTER_S = 2.0
"""Time from the first grant until the last upstream has started, in seconds."""

DRILL_AFTER_S = 4.0
"""Time from the first grant to the drill, in seconds: the copy is 'some seconds old'."""

AWAY_S = 2.0
"""Time for which the store is away, in seconds: 'for a moment'."""

WATCHED_S = 8.0
"""Time after the drill for which holds are recorded, in seconds."""

MAX_COMMON_S = 0.5
"""Longest time for which two upstreams may hold a key, in seconds (OWNER: 'for over half a
second')."""

REQUEST_INTERVAL_S = 0.02


async def _send_requests(daemons: list[Daemon], record: Record) -> None:
    """Send lookups with random keys through all daemons, until cancelled."""
    source = random.Random(1)
    calls: set[asyncio.Task[None]] = set()

    async def call(daemon: Daemon) -> None:
        try:
            client = await Client(daemon).open()
        except OSError:
            return
        key = source.randrange(KEY_COUNT)
        sent = client.send('GET', 'lookups', f'/x/{key}', X_Shard_Key=str(key))
        answer = await client.read()
        record.write(f'{sent} with key {key} at {daemon.name}: {answer.status}')
        client.close()

    while True:
        await asyncio.sleep(REQUEST_INTERVAL_S)
        task = asyncio.create_task(call(source.choice(daemons)))
        calls.add(task)
        task.add_done_callback(calls.discard)


async def _play(record: Record, is_troubled: bool) -> list[str]:
    store = Store()
    await store.start()
    route = {'name': 'lookups', 'service': 'slotview', 'is-sharded': True}
    await store.put('config', 'main', build_config(1, [route]))
    upstreams = [
        Upstream(f'i-{number}', 'slotview', record, is_sharded=True)
        for number in range(1, UPSTREAM_COUNT + 1)
    ]
    for upstream in upstreams[:-1]:
        await upstream.join(store)
    taken = store.take_copy()
    record.write('the copy is taken')
    sending = None
    try:
        async with run_daemons(DAEMON_COUNT, store, record) as daemons:
            sending = asyncio.create_task(_send_requests(daemons, record))
            while not all(upstream.holds for upstream in upstreams[:-1]):
                await asyncio.sleep(0.05)
            await asyncio.sleep(LAST_JOINS_AFTER_S)
            await upstreams[-1].join(store)
            record.write(f'{upstreams[-1].name} has started')
            await asyncio.sleep(DRILL_AFTER_S - LAST_JOINS_AFTER_S)
            if is_troubled:
                record.write(
                    f'the store is away; keeper {store.get("coltsfootstair-keys", "keeper")}'
                )
                store.is_away = True
                await asyncio.sleep(AWAY_S)
                await store.come_back_from(taken)
                record.write('the store is back from the copy')
            await asyncio.sleep(WATCHED_S)
            record.write(f'keeper {store.get("coltsfootstair-keys", "keeper")}')
    finally:
        if sending is not None:
            sending.cancel()
        for upstream in upstreams:
            upstream.stop()
        store.stop()
    breaks = []
    for one, other in find_double_holds(upstreams, MAX_COMMON_S):
        common_s = min(one.ends_at, other.ends_at) - max(one.begins_at, other.begins_at)
        breaks.append(
            f'OWNER broken: {one.upstream} (fence {one.fence}) and {other.upstream} (fence'
            f' {other.fence}) both hold keys {max(one.first, other.first)} to'
            f' {min(one.last, other.last)} for {common_s:.2f} s'
        )
    return breaks


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, _play))
