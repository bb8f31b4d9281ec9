"""Slopes of passing on what the store holds, by daemons and by objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from bench._fit import measured
from bench._gauge import cpu_us, memory_bytes
from coltsfootstair.inner import UpdatesAnswer, UpdatesRequest, encode
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.store import Replica, VersionedObject, VirtualMachine
from coltsfootstair.updates import DaemonTopology, choose_peers_to_poll, is_watcher

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['update_slopes']

DAEMONS = (575, 1150, 2300, 4600)
OBJECTS = (2000, 4000, 8000, 16000)
COUNTS = (1000, 2000, 4000)
DATA_CENTRES = 8
ROUNDS = 5
ASKS = 20


def update_slopes() -> Iterator[Slope]:
    """Measure the rounds of one daemon, and the answers of one watcher."""
    yield measured(
        'vm_list_bytes',
        'bytes per daemon',
        "one answer of the platform's VM list",
        DAEMONS,
        lambda daemons: float(len(msgpack.packb(_vm_rows(daemons)))),
        repeats=1,
    )
    yield measured(
        'vm_list_us',
        'us per daemon',
        'reading one answer of the VM list into its form, without the call',
        DAEMONS,
        _read_vm_list,
    )
    yield measured(
        'vm_list_memory_bytes',
        'bytes per daemon',
        'the VM list in memory',
        DAEMONS,
        lambda daemons: memory_bytes(lambda: _vms(daemons)),
        repeats=1,
    )
    yield measured(
        'update_round_us',
        'us per daemon',
        f'choosing whom to ask for updates, {DATA_CENTRES} data centres, mean of {ROUNDS}',
        DAEMONS,
        _rounds,
    )
    yield measured(
        'is_watcher_us',
        'us per daemon',
        f'finding out whether to watch the store, mean of {ROUNDS}',
        DAEMONS,
        _watching,
    )
    yield measured(
        'update_quiet_us',
        'us per object',
        f'looking for updates for one asker while there is none, mean of {ASKS}',
        OBJECTS,
        _ask_without_updates,
    )
    yield measured(
        'update_bytes',
        'bytes per question',
        'a question for updates and an answer without any',
        COUNTS,
        _quiet_bytes,
        repeats=1,
    )


def _vm_rows(daemons: int) -> list[tuple[str, str, str, bool]]:
    return [
        (
            f'daemon-{n:05}',
            f'centre-{n % DATA_CENTRES}',
            f'10.1.{n // 250}.{n % 250}:7400',
            False,
        )
        for n in range(daemons)
    ]


def _vms(daemons: int) -> dict[str, VirtualMachine]:
    packed = msgpack.packb(_vm_rows(daemons))
    return {row[0]: VirtualMachine(*row) for row in msgpack.unpackb(packed)}


def _read_vm_list(daemons: int) -> float:
    packed = msgpack.packb(_vm_rows(daemons))
    return cpu_us(lambda: {row[0]: VirtualMachine(*row) for row in msgpack.unpackb(packed)})


def _topology(daemons: int) -> DaemonTopology:
    places = {row[0]: row[1] for row in _vm_rows(daemons)}
    return DaemonTopology('daemon-00000', 'centre-0', places, list(places)[: daemons // 2])


def _rounds(daemons: int) -> float:
    topology = _topology(daemons)

    def work() -> None:
        for number in range(ROUNDS):
            choose_peers_to_poll(topology, 0.1, number, [])

    return cpu_us(work) / ROUNDS


def _watching(daemons: int) -> float:
    topology = _topology(daemons)

    def work() -> None:
        for _ in range(ROUNDS):
            is_watcher(topology)

    return cpu_us(work) / ROUNDS


def _ask_without_updates(objects: int) -> float:
    value = encode_record(LeaseRecord('daemon-0017', 'a' * 32, 'daemon-4011', 'b' * 32, 12))
    replica = Replica()
    replica.apply(
        [VersionedObject(record_key(f'{n:06}'), n + 1, value) for n in range(objects)]
    )

    def work() -> None:
        for _ in range(ASKS):
            replica.list_newer_than(objects)

    return cpu_us(work) / ASKS


def _quiet_bytes(count: int) -> float:
    question = encode(UpdatesRequest(70_000, 1_000_000, 500, False))
    answer = encode(UpdatesAnswer(70_000, [], 1_000_000, 500, 300, True))
    return float(count * (len(question) + len(answer)))
