"""Tests of sending what differs between two versions of a large object."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address
from coltsfootstair.keyspace._broadcast import Broadcaster
from coltsfootstair.keyspace._delta_parts import (
    MAX_PART_BYTES,
    MAX_PART_COUNT,
    DeltaAssembler,
    build_delta_parts,
)
from coltsfootstair.keyspace._reports import LatestReports
from coltsfootstair.objects import Change, RelayedChanges, StoredObject, apply_delta
from coltsfootstair.peers import DeltaPart, Message, Report, decode_message, encode_message
from tests.virtual_time import LoopClock, run


def _change(old: Any, new: Any) -> Change:
    return Change(StoredObject('main', 9, new), False, StoredObject('main', 5, old))


def _send(change: Change) -> list[DeltaPart]:
    parts = [
        decode_message(encode_message(part))
        for part in build_delta_parts(RelayedChanges('config', 6, 9, [change]), 3)
    ]
    return [part for part in parts if isinstance(part, DeltaPart)]


def _noise(count: int) -> list[str]:
    source = random.Random(1)
    return [source.randbytes(16).hex() for _ in range(count)]


@pytest.mark.parametrize('count', [1, 1500])
def test_parts_are_put_together_in_whichever_order_they_arrive(count: int) -> None:
    change = _change({'resources': ['a']}, {'resources': ['a', *_noise(count)]})
    parts = _send(change)
    assert (len(parts) > 1) == (count > 1)
    assert all(len(part.data) <= MAX_PART_BYTES for part in parts)
    assembler = DeltaAssembler()
    received = [assembler.add(part) for part in [*parts[1:], *parts[:1]]]
    assert received[:-1] == [None] * (len(parts) - 1)
    delta = received[-1]
    assert delta is not None
    assert (delta.after_revision, delta.revision) == (6, 9)
    assert (delta.before_revision, delta.object_revision) == (5, 9)
    assert apply_delta({'resources': ['a']}, delta.delta) == change.object.value


def test_parts_of_a_newer_change_replace_those_of_an_unfinished_one() -> None:
    """Guards against a change made of parts of two."""
    older = _send(_change([], _noise(1500)))
    newer = [
        part
        for part in build_delta_parts(RelayedChanges('config', 9, 12, [_change([], ['b'])]), 3)
        if isinstance(part, DeltaPart)
    ]
    assembler = DeltaAssembler()
    assert assembler.add(older[0]) is None
    assert assembler.add(newer[0]) is not None
    assert [assembler.add(part) for part in older] == [None] * len(older)


def test_a_difference_that_is_too_large_or_can_not_be_sent_is_left_to_the_store() -> None:
    too_large = _noise(MAX_PART_BYTES * MAX_PART_COUNT // 16)
    assert _send(_change([], too_large)) == []
    assert _send(_change([], [10**30])) == []
    assert _send(Change(StoredObject('main', 9, {}), False)) == []


@pytest.mark.parametrize('data', [b'', b'junk', b'x\x9c\x03\x00\x00\x00\x00\x01'])
def test_parts_that_are_no_difference_are_refused(data: bytes) -> None:
    part = DeltaPart(3, 'config', 6, 9, 'main', 5, 9, 0, 1, data)
    with pytest.raises(ProtocolError):
        DeltaAssembler().add(part)


def test_a_large_change_is_sent_no_faster_than_the_link_takes_it() -> None:
    """Guards against datagrams that overflow the link's queue and are lost."""

    async def work() -> tuple[list[float], list[int], list[str]]:
        loop = asyncio.get_running_loop()
        sent_at: list[float] = []
        sizes: list[int] = []
        receivers: list[str] = []

        class RecordingChannel:
            def send(self, message: Message, address: Address) -> None:
                assert isinstance(message, DeltaPart)
                sent_at.append(loop.time())
                sizes.append(len(message.data))
                receivers.append(address.host)

        reports = LatestReports(LoopClock())
        for number in range(40):
            report = Report(f'd{number}', 1, True, 0.3, {}, {}, {})
            reports.put(report, Address(f'd{number}', 1))
        broadcaster = Broadcaster(reports, Address('keeper', 1), 100.0)
        broadcaster.attach(RecordingChannel())
        broadcaster.publish(RelayedChanges('config', 6, 9, [_change([], _noise(1500))]), 3)
        await asyncio.sleep(1.0)
        return sent_at, sizes, receivers

    sent_at, sizes, receivers = run(work())
    assert len(set(receivers)) == 40
    # 100 Mbit/s are 12.5 MB/s; the queue of a link takes some hundred kilobytes.
    for index, at in enumerate(sent_at):
        begun = [
            size
            for other_at, size in zip(sent_at[:index], sizes[:index], strict=True)
            if at - other_at < 0.05
        ]
        assert sum(begun) < 0.05 * 12.5e6
    # A daemon's parts follow each other, so that it need not wait for the others.
    assert receivers == sorted(receivers, key=receivers.index)
