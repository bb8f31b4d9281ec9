"""Measures ownership: unavailable time after losses, imbalance, churn, hot keys."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import random
import signal
import statistics
import threading
import time
from collections import Counter
from typing import NamedTuple

import msgpack
from tests.scenarios.processes import System, build_document_text, call, wait_until

from coltsfootstair.ownership import (
    HASH_ROWS_PER_TABLE,
    Load,
    Row,
    Table,
    apply_changes,
    hash_row_of,
    initial_assignment,
    plan_moves,
    shard_of,
)

DAEMONS = {'d1': 'north', 'd2': 'north', 'd3': 'south', 'd4': 'south'}
SERVERS = {'s1': 'north', 's2': 'south', 's3': 'north', 's4': 'south'}
LOSSES = {
    'backend server killed': ('server', signal.SIGKILL),
    'backend server frozen': ('server', signal.SIGSTOP),
    'coordinator killed': ('coordinator', signal.SIGKILL),
    'coordinator paused': ('coordinator', signal.SIGSTOP),
    'both killed': ('both', signal.SIGKILL),
}
RUNS = 3
SETTLE_S = 6.0
TRY_S = 0.25
"""How long one try may wait for its answer, in seconds."""

OBSERVE_S = 6.0
HOT_KEYS = 150
HOT_RATE = 400.0
HOT_THREADS = 16
HOT_TIMEOUT_S = 40.0
SPREAD_BOUND = 1.25


class Try(NamedTuple):
    """One request: when it began and ended, and the server that answered."""

    began: float
    ended: float
    key: str
    server: str


class Callers:
    """Threads that ask for keys, again and again, through one daemon."""

    def __init__(self, address: str, keys: list[str], threads: int, pause_s: float) -> None:
        self.tries: list[Try] = []
        self._address = address
        self._pause_s = pause_s
        self._stop = threading.Event()
        parts = [keys[n::threads] for n in range(threads)]
        self._threads = [threading.Thread(target=self._ask, args=(part,)) for part in parts]

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, keys: list[str]) -> None:
        for key in itertools.cycle(keys):
            if self._stop.wait(self._pause_s):
                return
            began, server = time.monotonic(), ''
            with contextlib.suppress(OSError, http.client.HTTPException):
                headers = {'Coltsfootstair-Key': key}
                answer = call(self._address, 'GET', '/lookups/x', None, headers, TRY_S)
                if answer.status == http.HTTPStatus.OK:
                    server = answer.headers.get('served-by', '')
            self.tries.append(Try(began, time.monotonic(), key, server))


def start(system: System) -> None:
    """Start a system of 4 backend servers and 4 daemons and let it settle."""
    system.start_store()
    for name, data_centre in SERVERS.items():
        system.start_backend_server(name, data_centre)
    for name, data_centre in DAEMONS.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    addresses = system.address_by_backend_server
    servers = [(name, 'lookups', dc, addresses[name]) for name, dc in SERVERS.items()]
    text = build_document_text(['north', 'south'], [('lookups', True, 'lookup')], servers)
    system.apply_document('d1', text)
    keys = [f'key-{number}' for number in range(30)]
    system.wait_served(list(DAEMONS), [('/lookups/x', key) for key in keys])
    time.sleep(SETTLE_S)


def coordinator(system: System, server: str) -> str:
    """Return the daemon that coordinates a backend server."""
    answer = call(system.store_address, 'GET', f'/objects/coordinators/{server}')
    return str(msgpack.unpackb(answer.body)[0])


def unavailable_s(what: str, number: signal.Signals) -> float:
    """Return the longest time for which a key of the lost part went unserved."""
    with System() as system:
        start(system)
        holder = coordinator(system, 's1')
        entry = next(name for name in DAEMONS if name != holder)
        by_owner: dict[str, list[str]] = {}
        for key in (f'key-{n}' for n in range(60)):
            owner = system.get(entry, '/lookups/x', key).headers['served-by']
            by_owner.setdefault(owner, []).append(key)
        keys = by_owner['s1'][:6]
        with Callers(system.get_callers_address(entry), keys, len(keys), 0.01) as callers:
            time.sleep(1.0)
            lost_at = time.monotonic()
            if what in ('coordinator', 'both'):
                system.process_by_name[holder].send_signal(number)
            if what in ('server', 'both'):
                system.process_by_name['s1'].send_signal(number)
            time.sleep(OBSERVE_S)
        served = [t for t in callers.tries if t.server and t.began > lost_at]
        first = {key: min(t.ended for t in served if t.key == key) for key in keys}
        gaps = [_longest_gap(callers.tries, key, lost_at) for key in first]
        return max(gaps)


def _longest_gap(tries: list[Try], key: str, lost_at: float) -> float:
    """Return the longest time without an answer after the loss."""
    ends = [lost_at, *sorted(t.ended for t in tries if t.key == key and t.server)]
    ends = [end for end in ends if end >= lost_at]
    return max(b - a for a, b in itertools.pairwise(ends))


def measure_losses() -> None:
    """Print the unavailable time of a key after each kind of loss."""
    for name, (what, number) in LOSSES.items():
        times = sorted(unavailable_s(what, number) for _ in range(RUNS))
        print(f'{name}: unserved {", ".join(f"{t:.2f}" for t in times)} s', flush=True)


def imbalance(table: Table, load: Load, servers: list[str]) -> float:
    """Return the peak load of a server over the mean."""
    by_server = dict.fromkeys(servers, 0.0)
    for number, row in table.rows_by_number().items():
        if row.owner in by_server:
            by_server[row.owner] += load.by_row.get(number, 0.0)
    return max(by_server.values()) / statistics.fmean(by_server.values())


def settle(table: Table, servers: list[str], load: Load, rate: dict[str, float]) -> int:
    """Plan and carry out moves until there are none; return how many rows moved."""
    moved = 0
    for version in itertools.count(table.shard(0)[1] + 1):
        changes = plan_moves(table, frozenset(servers), load)
        if not changes or version > table.shard(0)[1] + 50:
            return moved
        moved += len(changes)
        for number in range(4):
            shard, _ = table.shard(number)
            mine = [c for c in changes if shard_of(c.number) == number]
            rows = {
                n: Row(r.next_owner, r.epoch + 1, '', r.key) if r.next_owner else r
                for n, r in apply_changes(shard, mine).rows_by_number.items()
            }
            table.update(shard._replace(rows_by_number=rows), version)
        load = row_load(table, rate)
    return moved


def row_load(table: Table, rate_by_key: dict[str, float]) -> Load:
    """Return the load as it would be measured under a table."""
    rows: dict[int, float] = {}
    for key, rate in rate_by_key.items():
        number = table.find_row(key)[0]
        rows[number] = rows.get(number, 0.0) + rate
    hottest = sorted(rate_by_key.items(), key=lambda item: -item[1])[:512]
    return Load(rows, dict(hottest))


def measure_planner(count: int) -> None:
    """Print imbalance and churn for a number of backend servers."""
    source = random.Random(1)
    servers = [f's{number:02}' for number in range(count)]
    rate = {f'key-{n}': 1.0 + source.random() for n in range(40_000)}
    for n in range(HOT_KEYS):
        rate[f'hot-{n}'] = 1000.0 / (n + 10)
    table = Table('lookups')
    for shard in initial_assignment('lookups', servers):
        table.update(shard, 1)
    load = row_load(table, rate)
    before = imbalance(table, load, servers)
    moved = settle(table, servers, load, rate)
    after = imbalance(table, row_load(table, rate), servers)
    print(f'{count} servers, first: {before:.3f} -> {after:.3f}, {moved} rows moved')
    least = sum(row.owner == servers[0] for row in table.rows_by_number().values())
    moved = settle(table, servers[1:], row_load(table, rate), rate)
    after = imbalance(table, row_load(table, rate), servers[1:])
    print(f'{count} servers, one lost: {after:.3f}, {moved} rows moved, least {least}')
    moved = settle(table, servers, row_load(table, rate), rate)
    after = imbalance(table, row_load(table, rate), servers)
    least = HASH_ROWS_PER_TABLE // count
    print(f'{count} servers, one back: {after:.3f}, {moved} rows moved, even share {least}')


def measure_hot_keys() -> None:
    """Print how long hot keys that all hash to one server take to be spread."""
    with System() as system:
        start(system)
        owners: dict[int, str] = {}
        for n in range(4):
            answer = call(system.store_address, 'GET', f'/objects/tables/lookups/{n}')
            owners |= {row[0]: row[1] for row in msgpack.unpackb(answer.body)[1]}
        candidates = (f'hot-{n}' for n in itertools.count())
        mine = (key for key in candidates if owners.get(hash_row_of(key)) == 's1')
        keys = list(itertools.islice(mine, HOT_KEYS))
        began = time.monotonic()
        with Callers(
            system.get_callers_address('d2'), keys, HOT_THREADS, HOT_THREADS / HOT_RATE
        ) as callers:

            def spread() -> bool:
                return _peak_over_mean(callers.tries) <= SPREAD_BOUND

            with contextlib.suppress(TimeoutError):
                wait_until(spread, 'hot keys spread', HOT_TIMEOUT_S)
            took = time.monotonic() - began
            peak = _peak_over_mean(callers.tries)
        rate = len(callers.tries) / took
        failed = sum(not t.server for t in callers.tries)
        print(f'{HOT_KEYS} hot keys on one of 4 servers, {rate:.0f} requests a second:')
        print(f'  peak over mean {peak:.2f} after {took:.1f} s; {failed} tries unanswered')


def _peak_over_mean(tries: list[Try]) -> float:
    since = time.monotonic() - 1.0
    by_server = Counter(t.server for t in list(tries) if t.ended >= since and t.server)
    if by_server.total() < HOT_RATE / 4:
        return float(len(SERVERS))
    return max(by_server.values()) * len(SERVERS) / by_server.total()


def main() -> None:
    """Run all measurements."""
    for count in (17, 14):
        measure_planner(count)
    measure_hot_keys()
    measure_losses()


if __name__ == '__main__':
    main()
