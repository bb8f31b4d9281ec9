"""Tests of the measured duration of moves of key ranges."""

from __future__ import annotations

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.keyspace import KeyRange, KeyTable, MoveTimes
from coltsfootstair.keyspace._move_times import ASSUMED_MOVE_S

GRANTED = KeyRange(0, 65535, ('s1', 1), 2, True)
PLANNED = KeyRange(0, 65535, ('s2', 1), 4, False, (('s1', 1),))


def _apply(times: MoveTimes, key_range: KeyRange) -> None:
    times.apply_table('slots', KeyTable([key_range], key_range.fence))


def test_a_move_lasts_from_its_plan_to_its_grant() -> None:
    clock = ManualClock()
    times = MoveTimes(clock)
    assert times.estimate_s() == ASSUMED_MOVE_S
    _apply(times, GRANTED)
    clock.advance(5.0)
    _apply(times, PLANNED)
    clock.advance(0.2)
    _apply(times, PLANNED)
    clock.advance(0.1)
    assert times.estimate_s() == ASSUMED_MOVE_S
    _apply(times, PLANNED._replace(is_granted=True, previous_owners=()))
    assert times.estimate_s() == pytest.approx(0.3)
    _apply(times, PLANNED._replace(is_granted=True, previous_owners=()))
    _apply(times, PLANNED._replace(fence=6))
    clock.advance(0.5)
    _apply(times, PLANNED._replace(fence=6, is_granted=True, previous_owners=()))
    assert times.estimate_s() == pytest.approx(0.4)


def test_ranges_that_nobody_owned_before_tell_nothing_of_moves() -> None:
    clock = ManualClock()
    times = MoveTimes(clock)
    _apply(times, PLANNED._replace(previous_owners=()))
    clock.advance(9.0)
    _apply(times, PLANNED._replace(is_granted=True, previous_owners=()))
    assert times.estimate_s() == ASSUMED_MOVE_S


def test_a_move_that_is_planned_again_is_no_long_move() -> None:
    clock = ManualClock()
    times = MoveTimes(clock)
    _apply(times, PLANNED)
    clock.advance(9.0)
    _apply(times, PLANNED._replace(owner=('s3', 1), fence=6))
    clock.advance(0.1)
    _apply(times, PLANNED._replace(owner=('s3', 1), fence=6, is_granted=True))
    assert times.estimate_s() == pytest.approx(0.1)
