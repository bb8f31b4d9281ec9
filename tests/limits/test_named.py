"""Tests of what is known of limits that backend servers name."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from coltsfootstair.clock import ManualClock
from coltsfootstair.limits import NamedLimits

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
