"""Slopes of the VM list and of polls for updates, by daemons and by objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from bench._fit import measure_slope
from bench._gauge import measure_cpu_us, measure_memory_bytes
from coltsfootstair.inner import UpdatesAnswer, UpdatesRequest, encode
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.store import Replica, VersionedObject, VirtualMachine
from coltsfootstair.updates import DaemonTopology, choose_peers_to_poll, is_watcher

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_update_slopes']

DAEMON_COUNTS = (575, 1150, 2300, 4600)
OBJECT_COUNTS = (2000, 4000, 8000, 16000)
POLL_COUNTS = (1000, 2000, 4000)
DATA_CENTRE_COUNT = 8
ROUND_COUNT = 5
QUIET_POLL_COUNT = 20


def measure_update_slopes() -> Iterator[Slope]:
    """Measure the poll rounds of one daemon and the answers of one watcher."""
    yield measure_slope(
        'vm_list_bytes',
        'bytes per daemon',
        "one answer of the platform's VM list",
        DAEMON_COUNTS,
        lambda daemon_count: float(len(msgpack.packb(_make_vm_entries(daemon_count)))),
        runs_per_size=1,
    )
    yield measure_slope(
        'vm_list_us',
        'us per daemon',
        'reading one answer of the VM list into its form, without the call',
        DAEMON_COUNTS,
        _measure_vm_list_decoding,
    )
    yield measure_slope(
        'vm_list_memory_bytes',
        'bytes per daemon',
        'the VM list in memory',
        DAEMON_COUNTS,
        lambda daemon_count: measure_memory_bytes(lambda: _decode_vm_list(daemon_count)),
        runs_per_size=1,
    )
    yield measure_slope(
        'update_round_us',
        'us per daemon',
        f'choosing whom to ask for updates, {DATA_CENTRE_COUNT} data centres, '
        f'mean of {ROUND_COUNT}',
        DAEMON_COUNTS,
        _measure_update_round,
    )
    yield measure_slope(
        'is_watcher_us',
        'us per daemon',
        f'finding out whether to watch the store, mean of {ROUND_COUNT}',
        DAEMON_COUNTS,
        _measure_watcher_check,
    )
    yield measure_slope(
        'update_quiet_us',
        'us per object',
        f'looking for updates for one asker while there is none, mean of {QUIET_POLL_COUNT}',
        OBJECT_COUNTS,
        _measure_quiet_poll,
    )
    yield measure_slope(
        'update_bytes',
        'bytes per question',
        'a question for updates and an answer without any',
        POLL_COUNTS,
        _measure_quiet_poll_bytes,
        runs_per_size=1,
    )


def _make_vm_entries(daemon_count: int) -> list[tuple[str, str, str, bool]]:
    return [
        (
            f'daemon-{n:05}',
            f'centre-{n % DATA_CENTRE_COUNT}',
            f'10.1.{n // 250}.{n % 250}:7400',
            False,
        )
        for n in range(daemon_count)
    ]


def _decode_vm_list(daemon_count: int) -> dict[str, VirtualMachine]:
    encoded = msgpack.packb(_make_vm_entries(daemon_count))
    return {entry[0]: VirtualMachine(*entry) for entry in msgpack.unpackb(encoded)}


def _measure_vm_list_decoding(daemon_count: int) -> float:
    encoded = msgpack.packb(_make_vm_entries(daemon_count))
    return measure_cpu_us(
        lambda: {entry[0]: VirtualMachine(*entry) for entry in msgpack.unpackb(encoded)}
    )


def _make_topology(daemon_count: int) -> DaemonTopology:
    """Return what a daemon knows of the others, with streams open to half of them."""
    data_centre_by_daemon = {entry[0]: entry[1] for entry in _make_vm_entries(daemon_count)}
    return DaemonTopology(
        'daemon-00000',
        'centre-0',
        data_centre_by_daemon,
        list(data_centre_by_daemon)[: daemon_count // 2],
    )


def _measure_update_round(daemon_count: int) -> float:
    topology = _make_topology(daemon_count)

    def run() -> None:
        for round_number in range(ROUND_COUNT):
            choose_peers_to_poll(topology, 0.1, round_number, [])

    return measure_cpu_us(run) / ROUND_COUNT


def _measure_watcher_check(daemon_count: int) -> float:
    topology = _make_topology(daemon_count)

    def run() -> None:
        for _ in range(ROUND_COUNT):
            is_watcher(topology)

    return measure_cpu_us(run) / ROUND_COUNT


def _measure_quiet_poll(object_count: int) -> float:
    """Measure a poll at a time when the replica has no updates for it."""
    value = encode_record(LeaseRecord('daemon-0017', 'a' * 32, 'daemon-4011', 'b' * 32, 12))
    replica = Replica()
    replica.apply(
        [VersionedObject(record_key(f'{n:06}'), n + 1, value) for n in range(object_count)]
    )

    def run() -> None:
        for _ in range(QUIET_POLL_COUNT):
            replica.list_newer_than(object_count)

    return measure_cpu_us(run) / QUIET_POLL_COUNT


def _measure_quiet_poll_bytes(poll_count: int) -> float:
    request = encode(UpdatesRequest(70_000, 1_000_000, 500, False))
    answer = encode(UpdatesAnswer(70_000, [], 1_000_000, 500, 300, True))
    return float(poll_count * (len(request) + len(answer)))
