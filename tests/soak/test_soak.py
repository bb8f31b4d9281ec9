"""Tests of the soak: short runs over real processes, one of them with a broken daemon."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import get_args

import pytest
from soak._checker import Promise
from soak._faults import (
    ConfigurationChange,
    Evacuation,
    Fault,
    KillAll,
    OddObjects,
    ServerMisbehaviour,
    StoreRestore,
    TaskEnd,
    draw_faults,
)
from soak._proxy import LinkState
from soak._run import RunOptions, run_soak
from soak._variants import PROMISE_BY_VARIANT

ROOT = Path(__file__).parents[2]
RUN_DURATION_S = 8.0
DAEMON_COUNT = 3


def test_a_seed_always_draws_the_same_faults() -> None:
    assert draw_faults(7, 60.0) == draw_faults(7, 60.0)
    assert draw_faults(7, 60.0) != draw_faults(8, 60.0)


def test_all_kinds_of_faults_are_drawn() -> None:
    kinds = {type(fault) for seed in range(40) for _, fault in draw_faults(seed, 60.0)}
    assert kinds == set(get_args(Fault))
    states = {
        getattr(fault, 'state', None)
        for seed in range(40)
        for _, fault in draw_faults(seed, 60.0)
    }
    assert states - {None} == set(LinkState) - {LinkState.WHOLE}


def test_a_store_that_comes_back_has_lost_changes() -> None:
    for seed in range(40):
        faults = draw_faults(seed, 60.0)
        for restored_at, fault in faults:
            if isinstance(fault, StoreRestore):
                lost = {
                    type(other)
                    for at, other in faults
                    if restored_at - 0.5 < at < restored_at + fault.age_s
                }
                assert ConfigurationChange in lost
                assert lost & {Evacuation, KillAll}


def test_every_promise_has_a_broken_variant() -> None:
    assert set(PROMISE_BY_VARIANT.values()) == set(Promise)


@pytest.mark.parametrize(('seed', 'duration_s'), [(11, RUN_DURATION_S), (23, 30.0)])
def test_a_short_run_breaks_no_promise(seed: int, duration_s: float) -> None:
    """Seed 23 has cuts and a store that comes back from an older copy."""
    result = run_soak(RunOptions(seed=seed, duration_s=duration_s, daemon_count=DAEMON_COUNT))
    assert result.violations == []
    assert result.served_count > 0


def test_a_broken_daemon_is_caught() -> None:
    result = run_soak(
        RunOptions(
            seed=11,
            duration_s=RUN_DURATION_S,
            daemon_count=DAEMON_COUNT,
            variant='changes-ids',
        )
    )
    assert Promise.KNOWN_REQUEST in {violation.promise for violation in result.violations}


ISSUE_43_KINDS = ('OddObjects', 'TaskEnd', 'repeats refusals')


def test_odd_objects_refusals_written_once_more_and_ended_tasks_break_no_promise() -> None:
    """Guards against the three reports of issue 43 beside its incident."""
    options = RunOptions(12, 12.0, DAEMON_COUNT, kinds=ISSUE_43_KINDS)
    result = run_soak(options)
    assert {type(fault) for _, fault in result.faults} >= {OddObjects, TaskEnd}
    assert result.violations == []
    assert result.served_count > 0


@pytest.mark.parametrize(
    ('variant', 'seed', 'kinds'),
    [
        ('refuses-odd-lists', 11, ('OddObjects',)),
        ('believes-nameless-answers', 39, ('repeats refusals',)),
        ('leaves-tasks-ended', 658, ('OddObjects', 'TaskEnd')),
    ],
)
def test_each_fault_of_issue_43_is_caught_in_a_broken_daemon(
    variant: str, seed: int, kinds: tuple[str, ...]
) -> None:
    result = run_soak(RunOptions(seed, 12.0, DAEMON_COUNT, variant, kinds))
    promises = {violation.promise for violation in result.violations}
    assert PROMISE_BY_VARIANT[variant] in promises


def test_only_wanted_kinds_of_faults_are_drawn() -> None:
    drawn = [fault for _, fault in draw_faults(3, 60.0, ISSUE_43_KINDS)]
    assert {type(fault) for fault in drawn} == {OddObjects, TaskEnd, ServerMisbehaviour}
    assert {fault.how for fault in drawn if isinstance(fault, ServerMisbehaviour)} == {
        'repeats refusals'
    }


@pytest.mark.parametrize(
    'arguments',
    [('--size', '0'), ('--minutes', '0'), ('--variant', 'unknown'), ('--only', 'x')],
)
def test_invalid_options_are_reported_in_one_line(arguments: tuple[str, str]) -> None:
    done = subprocess.run(
        [sys.executable, '-m', 'soak', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={'PYTHONPATH': 'src:platform:.', 'PATH': '/usr/bin:/bin'},
    )
    assert done.returncode == 2
    assert arguments[0] in done.stderr
    assert done.stderr.count('\n') == 1
