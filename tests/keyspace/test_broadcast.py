"""Tests of the keeper's relay of changed objects that other writers made odd."""

from __future__ import annotations

from typing import Any

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.http1 import Address
from coltsfootstair.keyspace._broadcast import (
    Broadcaster,
    build_objects_update,
    read_objects_update,
)
from coltsfootstair.keyspace._reports import LatestReports
from coltsfootstair.objects import Change, RelayedChanges, StoredObject, UnreadableValue
from coltsfootstair.peers import (
    Message,
    ObjectsUpdate,
    Report,
    decode_message,
    encode_message,
)


class _RecordingChannel:
    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message, address: Address) -> None:
        self.sent.append(decode_message(encode_message(message)))


def _publish(*changes: Change) -> list[RelayedChanges]:
    reports = LatestReports(ManualClock())
    report = Report('d2', 1, True, 0.3, {}, {}, {})
    reports.put(report, Address('10.0.0.2', 1))
    broadcaster = Broadcaster(reports, Address('10.0.0.1', 1))
    channel = _RecordingChannel()
    broadcaster.attach(channel)
    broadcaster.publish(RelayedChanges('servers', 1, 9, list(changes)), 1)
    return [
        read_objects_update(message)
        for message in channel.sent
        if isinstance(message, ObjectsUpdate)
    ]


@pytest.mark.parametrize('value', [10**30, {'zone': '\ud800'}, {'born': 10**400}])
def test_an_odd_value_is_relayed_as_unreadable_and_hides_no_other_change(value: Any) -> None:
    """The keeper's task ended, and the others waited for changes that never came."""
    good = Change(StoredObject('s2', 9, {'slots': 4}), False)
    ((kind, after, revision, changes, is_difference),) = _publish(
        Change(StoredObject('s1', 8, value), False), good
    )
    assert (kind, after, revision, is_difference) == ('servers', 1, 9, False)
    assert changes[1] == good
    assert changes[0].object[:2] == ('s1', 8)
    assert isinstance(changes[0].object.value, UnreadableValue)


def test_an_unreadable_value_stays_one_on_its_way_with_its_reason() -> None:
    change = Change(StoredObject('s1', 8, UnreadableValue('nested \ud800 deep')), True)
    (relayed,) = _publish(change)
    assert relayed.changes == [
        Change(StoredObject('s1', 8, UnreadableValue('nested ? deep')), True)
    ]
    update = build_objects_update(RelayedChanges('servers', 1, 9, [change]), 1)
    assert isinstance(update, ObjectsUpdate)


def test_a_change_whose_name_can_not_be_sent_is_left_to_the_store() -> None:
    assert _publish(Change(StoredObject('\ud800', 8, {}), False)) == []
