"""Measures ownership: unavailable time after losses, imbalance, moved rows, hot keys."""

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
    build_initial_shards,
    hash_row_of,
    plan_moves,
    shard_of,
)

DATA_CENTRE_BY_DAEMON = {'d1': 'north', 'd2': 'north', 'd3': 'south', 'd4': 'south'}
DATA_CENTRE_BY_SERVER = {'s1': 'north', 's2': 'south', 's3': 'north', 's4': 'south'}
LOSS_BY_NAME = {
    'backend server killed': ('server', signal.SIGKILL),
    'backend server frozen': ('server', signal.SIGSTOP),
    'coordinator killed': ('coordinator', signal.SIGKILL),
    'coordinator paused': ('coordinator', signal.SIGSTOP),
    'both killed': ('both', signal.SIGKILL),
}
RUN_COUNT = 3
SETTLE_S = 6.0
"""Pause between the first answers and a measurement, in seconds."""

ATTEMPT_TIMEOUT_S = 0.25
"""How long one attempt may wait for its answer."""

OBSERVATION_S = 6.0
HOT_KEY_COUNT = 150
HOT_KEY_REQUESTS_PER_S = 400.0
HOT_KEY_THREAD_COUNT = 16
HOT_KEY_SPREAD_TIMEOUT_S = 40.0
MAX_PEAK_TO_MEAN_RATIO = 1.25
"""Greatest multiple of the mean load at the busiest server when hot keys count as spread."""


class Attempt(NamedTuple):
    """One request: its start and end in monotonic seconds, and the server that answered.

    :param server: name of the backend server; empty if the request was not answered
    """

    started_at: float
    ended_at: float
    key: str
    server: str


class RepeatingCallers:
    """Threads that send requests for keys through one daemon, repeatedly.

    :param pause_s: pause of a thread before each request
    """

    def __init__(
        self, address: str, keys: list[str], thread_count: int, pause_s: float
    ) -> None:
        self.attempts: list[Attempt] = []
        self._address = address
        self._pause_s = pause_s
        self._stop = threading.Event()
        key_groups = [keys[number::thread_count] for number in range(thread_count)]
        self._threads = [
            threading.Thread(target=self._send_repeatedly, args=(key_group,))
            for key_group in key_groups
        ]

    def __enter__(self) -> RepeatingCallers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_repeatedly(self, keys: list[str]) -> None:
        for key in itertools.cycle(keys):
            if self._stop.wait(self._pause_s):
                return
            started_at, server = time.monotonic(), ''
            with contextlib.suppress(OSError, http.client.HTTPException):
                headers = {'Coltsfootstair-Key': key}
                answer = call(
                    self._address, 'GET', '/lookups/x', None, headers, ATTEMPT_TIMEOUT_S
                )
                if answer.status == http.HTTPStatus.OK:
                    server = answer.headers.get('served-by', '')
            self.attempts.append(Attempt(started_at, time.monotonic(), key, server))


def start_system(system: System) -> None:
    """Start a system of 4 backend servers and 4 daemons and wait ``SETTLE_S``."""
    system.start_store()
    for name, data_centre in DATA_CENTRE_BY_SERVER.items():
        system.start_backend_server(name, data_centre)
    for name, data_centre in DATA_CENTRE_BY_DAEMON.items():
        system.start_daemon(name, data_centre)
    system.wait_ready()
    addresses = system.address_by_backend_server
    servers = [
        (name, 'lookups', dc, addresses[name]) for name, dc in DATA_CENTRE_BY_SERVER.items()
    ]
    text = build_document_text(['north', 'south'], [('lookups', True, 'lookup')], servers)
    system.apply_document('d1', text)
    keys = [f'key-{number}' for number in range(30)]
    system.wait_until_served(
        list(DATA_CENTRE_BY_DAEMON), [('/lookups/x', key) for key in keys]
    )
    time.sleep(SETTLE_S)


def read_coordinator(system: System, server: str) -> str:
    """Return the daemon that coordinates a backend server."""
    answer = call(system.store_address, 'GET', f'/objects/coordinators/{server}')
    return str(msgpack.unpackb(answer.body)[0])


def measure_unavailable_s(target: str, signal_number: signal.Signals) -> float:
    """Return the longest time without an answer after a loss, for keys of server ``s1``.

    :param target: ``server``, ``coordinator`` (of the backend server) or ``both``
    :param signal_number: signal that the target is sent
    """
    with System() as system:
        start_system(system)
        coordinator = read_coordinator(system, 's1')
        entry_daemon = next(name for name in DATA_CENTRE_BY_DAEMON if name != coordinator)
        keys_by_owner: dict[str, list[str]] = {}
        for key in (f'key-{number}' for number in range(60)):
            owner = system.get(entry_daemon, '/lookups/x', key).headers['served-by']
            keys_by_owner.setdefault(owner, []).append(key)
        keys = keys_by_owner['s1'][:6]
        with RepeatingCallers(
            system.get_callers_address(entry_daemon), keys, len(keys), 0.01
        ) as callers:
            time.sleep(1.0)
            lost_at = time.monotonic()
            if target in ('coordinator', 'both'):
                system.process_by_name[coordinator].send_signal(signal_number)
            if target in ('server', 'both'):
                system.process_by_name['s1'].send_signal(signal_number)
            time.sleep(OBSERVATION_S)
        served = [
            attempt
            for attempt in callers.attempts
            if attempt.server and attempt.started_at > lost_at
        ]
        first_served_at = {
            key: min(attempt.ended_at for attempt in served if attempt.key == key)
            for key in keys
        }
        gaps_s = [
            _find_longest_gap_s(callers.attempts, key, lost_at) for key in first_served_at
        ]
        return max(gaps_s)


def _find_longest_gap_s(attempts: list[Attempt], key: str, lost_at: float) -> float:
    """Return the longest time without an answer for a key after the loss."""
    answered_at = [
        lost_at,
        *sorted(
            attempt.ended_at for attempt in attempts if attempt.key == key and attempt.server
        ),
    ]
    answered_at = [time_s for time_s in answered_at if time_s >= lost_at]
    return max(later - earlier for earlier, later in itertools.pairwise(answered_at))


def measure_losses() -> None:
    """Print the longest unavailable time of a key after each kind of loss."""
    for name, (target, number) in LOSS_BY_NAME.items():
        times_s = sorted(measure_unavailable_s(target, number) for _ in range(RUN_COUNT))
        print(
            f'{name}: unserved {", ".join(f"{time_s:.2f}" for time_s in times_s)} s',
            flush=True,
        )


def compute_imbalance(table: Table, load: Load, servers: list[str]) -> float:
    """Return the greatest load of a server, divided by the mean load."""
    load_by_server = dict.fromkeys(servers, 0.0)
    for row_number, row in table.collect_rows().items():
        if row.owner in load_by_server:
            load_by_server[row.owner] += load.rate_by_row.get(row_number, 0.0)
    return max(load_by_server.values()) / statistics.fmean(load_by_server.values())


def rebalance(
    table: Table, servers: list[str], load: Load, rate_by_key: dict[str, float]
) -> int:
    """Plan and apply moves until none is planned, in at most 50 rounds.

    :return: number of rows that moved
    """
    moved_count = 0
    for version in itertools.count(table.shard(0)[1] + 1):
        changes = plan_moves(table, frozenset(servers), load)
        # The bound does not take effect: the version of the table grows in each round.
        if not changes or version > table.shard(0)[1] + 50:
            return moved_count
        moved_count += len(changes)
        # The 4 shards of a table.
        for shard_number in range(4):
            shard, _ = table.shard(shard_number)
            shard_changes = [
                change for change in changes if shard_of(change.number) == shard_number
            ]
            row_by_number = {
                row_number: Row(row.next_owner, row.epoch + 1, '', row.key)
                if row.next_owner
                else row
                for row_number, row in apply_changes(
                    shard, shard_changes
                ).rows_by_number.items()
            }
            table.apply_shard(shard._replace(rows_by_number=row_by_number), version)
        load = compute_load(table, rate_by_key)
    return moved_count


def compute_load(table: Table, rate_by_key: dict[str, float]) -> Load:
    """Return the load that coordinators would report for a table.

    It has the rates of all rows and of the 512 hottest keys, as many as coordinators report.
    """
    load_by_row: dict[int, float] = {}
    for key, rate in rate_by_key.items():
        row_number = table.find_row(key)[0]
        load_by_row[row_number] = load_by_row.get(row_number, 0.0) + rate
    hottest = sorted(rate_by_key.items(), key=lambda item: -item[1])[:512]
    return Load(load_by_row, dict(hottest))


def measure_planner(server_count: int) -> None:
    """Print imbalance and number of moved rows for a number of backend servers."""
    random_source = random.Random(1)
    servers = [f's{number:02}' for number in range(server_count)]
    rate_by_key = {f'key-{number}': 1.0 + random_source.random() for number in range(40_000)}
    for number in range(HOT_KEY_COUNT):
        rate_by_key[f'hot-{number}'] = 1000.0 / (number + 10)
    table = Table('lookups')
    for shard in build_initial_shards('lookups', servers):
        table.apply_shard(shard, 1)
    load = compute_load(table, rate_by_key)
    ratio_before = compute_imbalance(table, load, servers)
    moved_count = rebalance(table, servers, load, rate_by_key)
    ratio_after = compute_imbalance(table, compute_load(table, rate_by_key), servers)
    print(
        f'{server_count} servers, first assignment: {ratio_before:.3f} -> {ratio_after:.3f}, '
        f'{moved_count} rows moved'
    )
    required_moves = sum(row.owner == servers[0] for row in table.collect_rows().values())
    moved_count = rebalance(table, servers[1:], compute_load(table, rate_by_key), rate_by_key)
    ratio_after = compute_imbalance(table, compute_load(table, rate_by_key), servers[1:])
    print(
        f'{server_count} servers, one lost: {ratio_after:.3f}, {moved_count} rows moved, '
        f'required: at least {required_moves}'
    )
    moved_count = rebalance(table, servers, compute_load(table, rate_by_key), rate_by_key)
    ratio_after = compute_imbalance(table, compute_load(table, rate_by_key), servers)
    required_moves = HASH_ROWS_PER_TABLE // server_count
    print(
        f'{server_count} servers, one back: {ratio_after:.3f}, {moved_count} rows moved, '
        f'rows in an even share of a server: {required_moves}'
    )


def measure_hot_keys() -> None:
    """Print how long it takes to spread hot keys that all hash to rows of one server."""
    with System() as system:
        start_system(system)
        owners: dict[int, str] = {}
        # The 4 shards of a table.
        for number in range(4):
            answer = call(system.store_address, 'GET', f'/objects/tables/lookups/{number}')
            owners |= {row[0]: row[1] for row in msgpack.unpackb(answer.body)[1]}
        candidates = (f'hot-{number}' for number in itertools.count())
        hot_keys = (key for key in candidates if owners.get(hash_row_of(key)) == 's1')
        keys = list(itertools.islice(hot_keys, HOT_KEY_COUNT))
        started_at = time.monotonic()
        with RepeatingCallers(
            system.get_callers_address('d2'),
            keys,
            HOT_KEY_THREAD_COUNT,
            HOT_KEY_THREAD_COUNT / HOT_KEY_REQUESTS_PER_S,
        ) as callers:

            def is_spread() -> bool:
                return _compute_peak_to_mean(callers.attempts) <= MAX_PEAK_TO_MEAN_RATIO

            with contextlib.suppress(TimeoutError):
                wait_until(is_spread, 'hot keys spread', HOT_KEY_SPREAD_TIMEOUT_S)
            duration_s = time.monotonic() - started_at
            peak_to_mean = _compute_peak_to_mean(callers.attempts)
        requests_per_s = len(callers.attempts) / duration_s
        unanswered_count = sum(not attempt.server for attempt in callers.attempts)
        print(
            f'{HOT_KEY_COUNT} hot keys on one of 4 servers, '
            f'{requests_per_s:.0f} requests a second:'
        )
        print(
            f'  load of the busiest server over the mean {peak_to_mean:.2f} '
            f'after {duration_s:.1f} s; '
            f'{unanswered_count} attempts unanswered'
        )


def _compute_peak_to_mean(attempts: list[Attempt]) -> float:
    """Return the load of the busiest backend server over the mean, for the last second.

    While there are too few answers, return the worst ratio, that of one server with all load.
    """
    since = time.monotonic() - 1.0
    requests_by_server = Counter(
        attempt.server
        for attempt in list(attempts)
        if attempt.ended_at >= since and attempt.server
    )
    if requests_by_server.total() < HOT_KEY_REQUESTS_PER_S / 4:
        return float(len(DATA_CENTRE_BY_SERVER))
    return (
        max(requests_by_server.values())
        * len(DATA_CENTRE_BY_SERVER)
        / requests_by_server.total()
    )


def main() -> None:
    """Run all measurements."""
    for server_count in (17, 14):
        measure_planner(server_count)
    measure_hot_keys()
    measure_losses()


if __name__ == '__main__':
    main()
