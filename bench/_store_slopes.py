"""Slopes of the calls to the store, as a daemon makes them."""

from __future__ import annotations

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from bench._fit import measured
from bench._gauge import thread_cpu_us
from coltsfootstair.store import ABSENT, HttpStore, StoreIdentity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.processes import System

    from bench._fit import Slope

__all__ = ['store_slopes']

CALLS = (100, 200, 400)
WATCHERS = (4, 8, 16)
CHANGES = (5, 10, 20)
VALUE = b'x' * 200
HEAR_TIMEOUT_S = 30.0

_run_numbers = itertools.count()


def store_slopes(system: System) -> Iterator[Slope]:
    """Measure a client of the stand-in store, which is a process of its own."""
    store = _client(system)
    yield measured(
        'store_read_us',
        'us per call',
        "a daemon's processor time for a read of one object",
        CALLS,
        lambda count: thread_cpu_us(lambda: [store.get('absent') for _ in range(count)]),
    )
    yield measured(
        'store_write_us',
        'us per call',
        "a daemon's processor time for a conditional update",
        CALLS,
        lambda count: thread_cpu_us(lambda: _write(store, 'bench/write', count)),
    )
    yield measured(
        'store_watch_calls',
        'calls per watcher and change',
        f'watches counted by the store for {CHANGES[0]} changes, by watchers',
        WATCHERS,
        lambda watchers: _watch_calls(system, watchers, CHANGES[0]) / CHANGES[0],
        repeats=1,
    )
    yield measured(
        'store_watch_calls_by_change',
        'calls per change and watcher',
        f'watches counted by the store for {WATCHERS[0]} watchers, by changes',
        CHANGES,
        lambda changes: _watch_calls(system, WATCHERS[0], changes) / WATCHERS[0],
        repeats=1,
    )


def _client(system: System) -> HttpStore:
    # Without a name it does not appear in the VM list, where daemons would count on it.
    return HttpStore(f'http://{system.store_address}', StoreIdentity('', '', ''))


def _write(store: HttpStore, key: str, count: int) -> None:
    version = store.get(key).version
    for _ in range(count):
        version = store.put(key, VALUE, expected_version=version)


def _watch_calls(system: System, watchers: int, changes: int) -> float:
    """Let each watcher hear of each change, and return the watches that were counted."""
    before = system.read_truth('store')['watches']
    key = f'watched/{next(_run_numbers)}/'
    store = _client(system)
    revision = store.scan(key)[1]
    heard = threading.Barrier(watchers + 1)
    with ThreadPoolExecutor(watchers) as executor:
        jobs = [
            executor.submit(_follow, system, key, revision, changes, heard)
            for _ in range(watchers)
        ]
        version = ABSENT
        for _ in range(changes):
            version = store.put(key, VALUE, expected_version=version)
            heard.wait(HEAR_TIMEOUT_S)
        for job in jobs:
            job.result()
    return float(system.read_truth('store')['watches'] - before)


def _follow(
    system: System, key: str, revision: int, changes: int, heard: threading.Barrier
) -> None:
    store = _client(system)
    for _ in range(changes):
        items: list[object] = []
        while not items:
            found, revision = store.watch(key, revision, 20.0)
            items = list(found)
        heard.wait(HEAR_TIMEOUT_S)
