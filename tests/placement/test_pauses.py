"""Pauses that backend servers have asked one daemon for."""

from __future__ import annotations

import random

from coltsfootstair.placement import ServerPauses, compute_caller_retry_after_s

FIRST, SECOND = ('s1', 1), ('s1', 2)


def test_a_pause_lasts_for_as_long_as_the_server_has_said() -> None:
    pauses = ServerPauses()
    pauses.start(FIRST, 2.5, 100.0)
    assert pauses.get_wait_s(FIRST, 101.0) == 1.5
    assert pauses.get_wait_s(FIRST, 102.4) > 0


def test_a_later_answer_replaces_an_earlier_one() -> None:
    pauses = ServerPauses()
    assert pauses.start(FIRST, 2.0, 100.0)
    assert not pauses.start(FIRST, 2.0, 100.5), 'nothing new to log'
    assert pauses.get_wait_s(FIRST, 101.0) == 1.5
    assert pauses.start(FIRST, 0.5, 101.0)
    assert pauses.get_wait_s(FIRST, 101.0) == 0.5
    assert pauses.start(FIRST, 9.0, 101.2)
    assert pauses.get_wait_s(FIRST, 101.2) == 9.0


def test_zero_is_no_pause() -> None:
    pauses = ServerPauses()
    assert not pauses.start(FIRST, 0.0, 100.0)
    assert pauses.get_wait_s(FIRST, 100.0) == 0


def test_a_pause_is_that_of_one_incarnation() -> None:
    pauses = ServerPauses()
    pauses.start(FIRST, 5.0, 100.0)
    assert pauses.get_wait_s(SECOND, 100.0) == 0
    pauses.forget_ended(104.0)
    assert pauses.get_wait_s(FIRST, 104.0) == 1.0


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
