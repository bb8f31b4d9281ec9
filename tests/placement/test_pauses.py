"""Pauses that backend servers have asked one daemon for."""

from __future__ import annotations

import math
import random

from coltsfootstair.placement import (
    ReturnPace,
    ServerPauses,
    compute_caller_retry_after_s,
    compute_return_pace,
)

FIRST, SECOND = ('s1', 1), ('s1', 2)
AT_ONCE = ReturnPace(delay_s=0.0, step_s=0.2, full_limit=8.0)


def test_a_pause_lasts_for_as_long_as_the_server_has_said() -> None:
    pauses = ServerPauses()
    pauses.start(FIRST, 2.5, 100.0, AT_ONCE)
    assert pauses.get_wait_s(FIRST, 101.0) == 1.5
    assert pauses.get_wait_s(FIRST, 102.4) > 0


def test_a_later_answer_replaces_an_earlier_one() -> None:
    pauses = ServerPauses()
    assert pauses.start(FIRST, 2.0, 100.0, AT_ONCE)
    assert not pauses.start(FIRST, 2.0, 100.5, AT_ONCE), 'nothing new to log'
    assert pauses.get_wait_s(FIRST, 101.0) == 1.5
    assert pauses.start(FIRST, 0.5, 101.0, AT_ONCE)
    assert pauses.get_wait_s(FIRST, 101.0) == 0.5
    assert pauses.start(FIRST, 9.0, 101.2, AT_ONCE)
    assert pauses.get_wait_s(FIRST, 101.2) == 9.0


def test_zero_is_no_pause() -> None:
    pauses = ServerPauses()
    assert not pauses.start(FIRST, 0.0, 100.0, AT_ONCE)
    assert pauses.get_wait_s(FIRST, 100.0) == 0
    assert math.isinf(pauses.compute_room(FIRST, 100.0))


def test_zero_ends_a_pause_and_the_daemon_comes_back_in_steps() -> None:
    pauses = ServerPauses()
    pauses.start(FIRST, 5.0, 100.0, AT_ONCE)
    assert pauses.start(FIRST, 0.0, 101.0, AT_ONCE)
    assert pauses.get_wait_s(FIRST, 101.0) == 0
    assert pauses.compute_room(FIRST, 101.0) == 1
    assert not pauses.start(FIRST, 0.0, 101.3, AT_ONCE), 'none is in force'
    assert pauses.compute_room(FIRST, 101.3) == 2


def test_a_pause_is_that_of_one_incarnation() -> None:
    pauses = ServerPauses()
    pauses.start(FIRST, 5.0, 100.0, AT_ONCE)
    assert pauses.get_wait_s(SECOND, 100.0) == 0
    pauses.forget_ended(104.0)
    assert pauses.get_wait_s(FIRST, 104.0) == 1.0


def test_each_step_of_the_return_allows_twice_as_many_requests_at_once() -> None:
    pauses = ServerPauses()
    before = pauses.on_request_chosen(FIRST)
    pauses.start(FIRST, 5.0, 100.0, AT_ONCE._replace(delay_s=1.0))
    for at, limit in ((105.9, 0), (106.0, 1), (106.19, 1), (106.21, 2), (106.41, 4)):
        assert pauses.compute_room(FIRST, at) == limit
    chosen = pauses.on_request_chosen(FIRST)
    assert pauses.compute_room(FIRST, 106.41) == 3
    pauses.on_request_ended(before)
    assert pauses.compute_room(FIRST, 106.41) == 3, 'sent before the pause'
    pauses.on_request_ended(chosen)
    assert pauses.compute_room(FIRST, 106.41) == 4
    assert math.isinf(pauses.compute_room(FIRST, 106.61))
    pauses.forget_ended(106.61)
    assert pauses.on_request_chosen(FIRST) is None


def test_more_daemons_come_back_over_a_longer_time() -> None:
    first, last = (
        [compute_return_pace(0.05, 8, count, share).delay_s for count in (3, 60, 200, 900)]
        for share in (0.0, 1.0)
    )
    assert first == [0.0] * 4
    assert last == [0.1, 0.375, 1.25, 2.0]


def test_callers_are_told_no_less_than_the_time_that_is_left_and_not_all_the_same() -> None:
    source = random.Random(1)
    for pause_wait_s in (0.001, 0.1234, 0.996, 7.0, 600.0):
        delays_s = [
            compute_caller_retry_after_s(pause_wait_s, source.random()) for _ in range(50)
        ]
        assert min(delays_s) >= pause_wait_s
        assert all(float(f'{delay_s:.2f}') >= pause_wait_s for delay_s in delays_s)
        assert max(delays_s) <= pause_wait_s + max(0.11, 0.11 * pause_wait_s)
        assert len(set(delays_s)) > 5
