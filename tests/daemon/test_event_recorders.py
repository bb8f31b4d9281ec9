"""Tests of the events that a daemon records on the time line."""

from __future__ import annotations

import random

from coltsfootstair.clock import ManualClock
from coltsfootstair.coordinator import ServerLoad
from coltsfootstair.daemon._event_recorders import OwnershipRecorder, StateRecorder
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.ownership import Row, Shard, encode_shard, shard_key
from coltsfootstair.routing import Router
from coltsfootstair.store import VersionedObject
from coltsfootstair.timeline import EventName, HybridTime, Timeline, find_owner_at


def test_new_coordinator_records_the_owners_that_it_takes_over() -> None:
    """The table does not change in a takeover, so the new coordinator records its rows itself.

    Otherwise the owners of these rows would not be on the time line until their next change.
    """
    router = Router(random.Random(1), lambda: True)
    timeline = Timeline('d1', ManualClock())
    recorder = OwnershipRecorder('d1', router, timeline)

    def change(version: int, key: str, value: bytes) -> HybridTime:
        item = VersionedObject(key, version, value)
        router.apply_object(item)
        recorder.apply_object(item)
        return timeline.stamp()

    def change_rows(version: int, *owners: Row) -> HybridTime:
        shard = Shard(0, dict(enumerate(owners)))
        return change(version, shard_key('s', 0), encode_shard(shard))

    def change_lease(version: int, coordinator: str, epoch: int) -> HybridTime:
        record = LeaseRecord(coordinator, 'i', 'd3', 'j', epoch)
        return change(version, record_key('b-1'), encode_record(record))

    change_lease(1, 'd2', 1)
    before_takeover = change_rows(2, Row('b-1', 1), Row('b-1', 1))
    after_takeover = change_lease(3, 'd1', 2)
    change_rows(4, Row('b-1', 1, 'b-2'), Row('b-1', 1))
    after_move = change_rows(5, Row('b-2', 2), Row('b-1', 1))
    change_lease(6, 'd2', 3)
    events = timeline.events()
    assert [event.name for event in events] == [
        EventName.COORDINATOR_STARTED,
        EventName.OWNER_ASSIGNED,
        EventName.OWNER_MOVING,
        EventName.OWNER_RELEASED,
        EventName.COORDINATOR_STOPPED,
    ]
    assert find_owner_at(events, 's', 0, before_takeover) is None
    assert find_owner_at(events, 's', 0, after_takeover) == 'b-1'
    assert find_owner_at(events, 's', 0, after_move) == ''
    assert find_owner_at(events, 's', 1, after_move) == 'b-1'


def test_states_are_recorded_when_they_change() -> None:
    timeline = Timeline('d1', ManualClock())
    load = {'b-1': ServerLoad('ramping', 1, 0, 1)}
    state = {'fresh': True, 'reachable': True}
    peers = ['d2']
    is_fresh, is_reachable = (lambda: state['fresh']), (lambda: state['reachable'])
    recorder = StateRecorder(timeline, lambda: load, is_fresh, is_reachable, lambda: peers)
    recorder.poll()
    recorder.poll()
    load['b-1'] = ServerLoad('warm', 4, 0, 4)
    state.update(fresh=False, reachable=False)
    peers.clear()
    recorder.poll()
    state.update(fresh=True, reachable=True)
    recorder.poll()
    assert [event.name for event in timeline.events()] == [
        EventName.SERVER_PHASE,
        EventName.PEER_FOUND,
        EventName.SERVER_PHASE,
        EventName.PEER_LOST,
        EventName.DOCUMENT_STALE,
        EventName.STORE_LOST,
        EventName.DOCUMENT_FRESH,
        EventName.STORE_FOUND,
    ]
