"""Tests of what is known of limits that backend servers name."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from coltsfootstair.clock import ManualClock
from coltsfootstair.limits import NamedLimits
from coltsfootstair.limits._named import (
    MAX_RECENT_STATEMENTS,
    MAX_REPEATED_STATEMENTS,
    MEMORY_S,
    REPEAT_S,
)

SERVER = ('s1', 1)


def test_the_last_answer_decides_whether_a_limit_is_in_force() -> None:
    limits = NamedLimits(ManualClock())
    assert limits.get(SERVER) is None
    limits.name(SERVER, 2.5)
    limits.name(SERVER, 0.0)
    assert limits.get(SERVER) == 0.0
    assert limits.list_limited() == [SERVER]
    limits.end(SERVER)
    assert limits.get(SERVER) is None
    assert limits.list_limited() == []


def test_a_limit_belongs_to_one_incarnation() -> None:
    limits = NamedLimits(ManualClock())
    limits.name(SERVER, 2.5)
    assert limits.get(('s1', 2)) is None


def test_a_malformed_limit_leaves_the_one_in_force_and_is_logged_once() -> None:
    counts: list[str] = []
    limits = NamedLimits(ManualClock(), counts.append)
    limits.name(SERVER, 2.5)
    with capture_logs() as lines:
        limits.refuse_malformed(SERVER, b'many')
        limits.refuse_malformed(SERVER, b'many')
    assert limits.get(SERVER) == 2.5
    assert [line['value'] for line in lines] == ['many']
    assert counts == ['named', 'malformed', 'malformed']


@pytest.mark.parametrize('repeats', [1, 3])
def test_only_changes_of_a_limit_are_logged(repeats: int) -> None:
    limits = NamedLimits(ManualClock())
    with capture_logs() as lines:
        for _ in range(repeats):
            limits.name(SERVER, 2.5)
        limits.name(SERVER, 1.0)
        for _ in range(repeats):
            limits.end(SERVER)
    assert [(line['event'], line['limit_per_s']) for line in lines] == [
        ('backend server limited', 2.5),
        ('backend server limited', 1.0),
        ('limit of backend server ended', None),
    ]


def test_messages_stay_bounded_and_tell_of_thousands_of_limits_in_turn() -> None:
    clock = ManualClock()
    limits, other = NamedLimits(clock), NamedLimits(clock)
    for number in range(1000):
        limits.name((f's{number}', 1), 2.5)
    assert len(limits.list_recent()) <= MAX_RECENT_STATEMENTS
    clock.advance(REPEAT_S + 0.1)
    for _ in range(1000 // MAX_REPEATED_STATEMENTS + 1):
        statements = limits.list_next()
        assert len(statements) <= MAX_RECENT_STATEMENTS + MAX_REPEATED_STATEMENTS
        other.apply(statements)
    assert len(other.list_limited()) == 1000


def test_the_newer_answer_counts_whichever_daemon_got_it() -> None:
    clock = ManualClock()
    limits, other = NamedLimits(clock), NamedLimits(clock)
    limits.name(SERVER, 2.5)
    clock.advance(0.1)
    other.apply(limits.list_next())
    assert other.get(SERVER) == 2.5
    other.end(SERVER)
    clock.advance(0.1)
    other.apply(limits.list_next())
    assert other.get(SERVER) is None
    limits.apply(other.list_recent())
    assert limits.get(SERVER) is None


def test_a_limit_outlasts_a_missing_entry_for_a_while() -> None:
    clock = ManualClock()
    limits = NamedLimits(clock)
    limits.name(SERVER, 2.5)
    limits.forget_ended(lambda _: False)
    assert limits.get(SERVER) == 2.5
    clock.advance(MEMORY_S)
    limits.forget_ended(lambda _: False)
    assert limits.get(SERVER) is None
