"""Tests of the time line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.clock import ManualClock
from coltsfootstair.timeline import (
    EventName,
    HybridClock,
    HybridTime,
    Timeline,
    find_owner_at,
    format_rows,
    has_row,
    merge,
)

if TYPE_CHECKING:
    from collections.abc import Callable

Step = tuple[int, int, int]
"""Sender, receiver, and the milliseconds by which the sender's wall clock advances."""

STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(-3, 3)), max_size=40
)


class WallClockOnly(HybridClock):
    """A broken variant that ignores the stamps it has issued and received."""

    def tick(self, now_ms: int) -> HybridTime:
        return HybridTime(now_ms, 0)


def check_causality(make_clock: Callable[[], HybridClock], steps: list[Step]) -> None:
    """Send messages between three processes and check that stamps grow along each of them."""
    clocks = [make_clock() for _ in range(3)]
    now_ms = [1000, 1005, 900]
    last_stamps = [HybridTime(0, 0)] * 3
    for sender, receiver, advance_ms in steps:
        now_ms[sender] += advance_ms
        sent = clocks[sender].tick(now_ms[sender])
        assert sent > last_stamps[sender]
        last_stamps[sender] = sent
        assert clocks[receiver].receive(sent, now_ms[receiver])
        received = clocks[receiver].tick(now_ms[receiver])
        assert received > sent
        last_stamps[receiver] = received


@given(STEPS)
def test_effects_have_greater_stamps_than_causes_for_any_wall_clocks(
    steps: list[Step],
) -> None:
    check_causality(HybridClock, steps)


def test_causality_check_rejects_a_wall_clock() -> None:
    with pytest.raises(AssertionError):
        check_causality(WallClockOnly, [(1, 0, 0), (0, 0, -1)])


def test_stamp_too_far_ahead_is_ignored() -> None:
    clock = HybridClock()
    assert not clock.receive(HybridTime(61_001, 0), 1000)
    assert clock.tick(1000) == HybridTime(1000, 0)


@given(st.integers(0, 2**47), st.integers(0, 2**16 - 1))
def test_packed_stamps_unpack_to_the_same(wall_ms: int, counter: int) -> None:
    stamp = HybridTime(wall_ms, counter)
    assert HybridTime.unpack(stamp.pack()) == stamp


@given(st.sets(st.integers(0, 30)))
def test_rows_are_found_in_ranges(rows: set[int]) -> None:
    text = format_rows(rows)
    assert {row for row in range(32) if has_row(text, row)} == rows


def test_refusals_do_not_displace_owner_events() -> None:
    timeline = Timeline('a', ManualClock(), capacity=4)
    timeline.record(EventName.OWNER_ASSIGNED, service='s', rows='0-9', server='b-1')
    for number in range(9):
        timeline.record(EventName.REQUEST_REFUSED, request_id=f'r{number}', detail='x' * 9999)
    events = timeline.events()
    assert [event.name for event in events] == ['owner assigned'] + ['request refused'] * 4
    assert len(str(events[-1].fields['detail'])) == 2000
    assert events[-1].fields['request_id'] == 'r8'


def test_merged_events_give_the_owner_of_a_row() -> None:
    local, remote = Timeline('a', ManualClock(1000.0)), Timeline('b', ManualClock(950.0))
    before = local.stamp()
    local.record(EventName.OWNER_ASSIGNED, service='s', rows='0-9', server='b-1')
    released = local.record(EventName.OWNER_RELEASED, service='s', rows='5', server='b-1')
    remote.receive(released)
    moved = remote.record(EventName.OWNER_ASSIGNED, service='s', rows='5', server='b-2')
    events = merge([local.events(), remote.events(), local.events()])
    assert [event.daemon for event in events] == ['a', 'a', 'b']
    assert find_owner_at(events, 's', 5, before) is None
    assert find_owner_at(events, 's', 5, released) == ''
    assert find_owner_at(events, 's', 5, moved) == 'b-2'
    assert find_owner_at(events, 's', 4, moved) == 'b-1'
    assert find_owner_at(events, 't', 4, moved) is None
    local.receive(moved)
    late = local.record(EventName.OWNER_RELEASED, service='s', rows='5', server='b-1')
    assert find_owner_at(merge([local.events(), remote.events()]), 's', 5, late) == 'b-2'
