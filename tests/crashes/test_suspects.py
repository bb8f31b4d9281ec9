"""Tests of the counts of servers that ended under each request."""

from __future__ import annotations

import random

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.crashes import SuspectRequests, Verdict
from coltsfootstair.crashes._suspects import (
    CONVICTION_S,
    MAX_REPEATED_STATEMENTS,
    MAX_STATEMENTS,
    MAX_SUSPECTS,
)

REQUEST = (b'content', b'caller')


def _crash(
    suspects: SuspectRequests,
    clock: ManualClock,
    server: str,
    request: tuple[bytes, bytes] = REQUEST,
    *,
    ran_s: float = 0.1,
    is_trial: bool = False,
) -> None:
    sent_at = clock.monotonic()
    clock.advance(ran_s)
    suspects.record_crash(request, (server, 1), sent_at, clock.monotonic(), is_trial=is_trial)


def _hold(suspects: SuspectRequests, clock: ManualClock) -> None:
    for server in ('s1', 's2', 's3'):
        _crash(suspects, clock, server)
        clock.advance(1.0)


def test_a_request_is_held_after_three_crashes_and_convicted_by_a_trial() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    for server in ('s1', 's2'):
        _crash(suspects, clock, server)
        assert suspects.judge(REQUEST) is Verdict.FREE
    _crash(suspects, clock, 's3')
    assert suspects.judge(REQUEST) is Verdict.HELD
    _crash(suspects, clock, 's4', is_trial=True)
    assert suspects.judge(REQUEST) is Verdict.CONVICTED
    assert suspects.convicted_count == 2
    assert suspects.get_conviction_left_s(REQUEST) == pytest.approx(CONVICTION_S)


def test_a_convicted_request_may_be_tried_again_later_and_is_convicted_by_one_crash() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    _hold(suspects, clock)
    _crash(suspects, clock, 's4', is_trial=True)
    clock.advance(CONVICTION_S + 1.0)
    assert suspects.judge(REQUEST) is Verdict.HELD
    _crash(suspects, clock, 's5', is_trial=True)
    assert suspects.judge(REQUEST) is Verdict.CONVICTED


def test_a_run_to_the_end_clears_a_request_of_all_crashes_before() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    _hold(suspects, clock)
    suspects.record_run(REQUEST)
    assert suspects.judge(REQUEST) is Verdict.FREE
    assert not suspects.has_crashes(REQUEST)


def test_servers_that_end_together_count_once() -> None:
    """Guards against holding a popular lookup back after a data centre has lost power."""
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    for number in range(20):
        suspects.record_crash(REQUEST, (f's{number}', 1), 0.0, 1.0 + number / 1000)
    assert suspects.judge(REQUEST) is Verdict.FREE


def test_one_server_counts_once_and_its_next_life_again() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    for _ in range(5):
        _crash(suspects, clock, 's1')
    assert suspects.judge(REQUEST) is Verdict.FREE
    for born in (2, 3):
        sent_at = clock.monotonic()
        clock.advance(0.1)
        suspects.record_crash(REQUEST, ('s1', born), sent_at, clock.monotonic())
    assert suspects.judge(REQUEST) is Verdict.HELD


def test_daemons_agree_in_whatever_order_they_hear_of_crashes_and_runs() -> None:
    for seed in range(50):
        draws = random.Random(seed)
        clock = ManualClock()
        ones = [SuspectRequests(clock) for _ in range(4)]
        for number in range(12):
            one = draws.choice(ones)
            if draws.random() < 0.15:
                one.record_run(REQUEST)
            else:
                _crash(one, clock, f's{number}', is_trial=draws.random() < 0.2)
            clock.advance(draws.random())
            if draws.random() < 0.5:
                draws.choice(ones).apply(draws.choice(ones).list_next())
        for _ in range(3):
            for one in ones:
                for other in ones:
                    other.apply(one.list_next())
        assert len({one.judge(REQUEST) for one in ones}) == 1, seed


def test_memory_and_messages_stay_bounded_when_thousands_of_requests_are_suspected() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    _hold(suspects, clock)
    for number in range(2 * MAX_SUSPECTS):
        request = (b'a%d' % number, b'b%d' % number)
        suspects.record_crash(request, ('s9', 1), clock.monotonic(), clock.monotonic())
    assert suspects.judge(REQUEST) is Verdict.HELD
    other = SuspectRequests(clock)
    statements = suspects.list_next()
    assert len(statements) <= MAX_STATEMENTS + MAX_REPEATED_STATEMENTS
    other.apply(statements)
    assert other.judge(REQUEST) is Verdict.HELD
    assert len(suspects.list_changed()) <= MAX_STATEMENTS
    assert len(suspects._suspect_by_fingerprint) <= MAX_SUSPECTS


def test_a_new_keeper_is_told_again_of_recent_changes() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    _hold(suspects, clock)
    while suspects.list_changed():
        pass
    suspects.tell_again()
    assert {statement.fingerprint for statement in suspects.list_changed()} == set(REQUEST)
