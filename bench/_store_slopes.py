"""Slopes of the calls that a daemon makes to the store."""

from __future__ import annotations

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_thread_cpu_us
from coltsfootstair.store import ABSENT, HttpStore, StoreIdentity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.processes import System

    from bench._fit import Slope

__all__ = ['measure_store_slopes']

CALL_COUNTS = (100, 200, 400)
WATCHER_COUNTS = (4, 8, 16)
CHANGE_COUNTS = (5, 10, 20)
VALUE = b'x' * 200
CHANGE_TIMEOUT_S = 30.0

_run_numbers = itertools.count()


def measure_store_slopes(system: System) -> Iterator[Slope]:
    """Measure clients of the stand-in store, which runs as a separate process."""
    store = _make_client(system)
    yield measure_slope(
        'store_read_us',
        'us per call',
        "a daemon's processor time for a read of one object",
        CALL_COUNTS,
        lambda call_count: measure_thread_cpu_us(
            lambda: [store.get('absent') for _ in range(call_count)]
        ),
    )
    yield measure_slope(
        'store_write_us',
        'us per call',
        "a daemon's processor time for a conditional update",
        CALL_COUNTS,
        lambda call_count: measure_thread_cpu_us(
            lambda: _write_repeatedly(store, 'bench/write', call_count)
        ),
    )
    yield measure_slope(
        'store_watch_calls',
        'calls per watcher and change',
        f'watches counted by the store for {CHANGE_COUNTS[0]} changes, by watchers',
        WATCHER_COUNTS,
        lambda watcher_count: (
            _count_watch_calls(system, watcher_count, CHANGE_COUNTS[0]) / CHANGE_COUNTS[0]
        ),
        runs_per_size=1,
    )
    yield measure_slope(
        'store_watch_calls_by_change',
        'calls per change and watcher',
        f'watches counted by the store for {WATCHER_COUNTS[0]} watchers, by changes',
        CHANGE_COUNTS,
        lambda change_count: (
            _count_watch_calls(system, WATCHER_COUNTS[0], change_count) / WATCHER_COUNTS[0]
        ),
        runs_per_size=1,
    )


def _make_client(system: System) -> HttpStore:
    # A client without a name is not in the VM list, so daemons do not take it for a daemon.
    return HttpStore(f'http://{system.store_address}', StoreIdentity('', '', ''))


def _write_repeatedly(store: HttpStore, key: str, call_count: int) -> None:
    version = store.get(key).version
    for _ in range(call_count):
        version = store.put(key, VALUE, expected_version=version)


def _count_watch_calls(system: System, watcher_count: int, change_count: int) -> float:
    """Return how many watch calls the store counts until each watcher has seen each change."""
    watches_before = system.read_truth('store')['watches']
    key = f'watched/{next(_run_numbers)}/'
    store = _make_client(system)
    revision = store.scan(key)[1]
    barrier = threading.Barrier(watcher_count + 1)
    with ThreadPoolExecutor(watcher_count) as executor:
        futures = [
            executor.submit(_watch_changes, system, key, revision, change_count, barrier)
            for _ in range(watcher_count)
        ]
        version = ABSENT
        for _ in range(change_count):
            version = store.put(key, VALUE, expected_version=version)
            barrier.wait(CHANGE_TIMEOUT_S)
        for future in futures:
            future.result()
    return float(system.read_truth('store')['watches'] - watches_before)


def _watch_changes(
    system: System, key: str, revision: int, change_count: int, barrier: threading.Barrier
) -> None:
    store = _make_client(system)
    for _ in range(change_count):
        items: list[object] = []
        while not items:
            found, revision = store.watch(key, revision, 20.0)
            items = list(found)
        barrier.wait(CHANGE_TIMEOUT_S)
