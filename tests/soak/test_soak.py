"""A short soak over real processes, and proof that it can fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from soak._checker import Promise
from soak._faults import draw
from soak._proxy import LinkState
from soak._run import Plan, play
from soak._variants import PROMISE_BY_VARIANT

ROOT = Path(__file__).parents[2]
SECONDS = 8.0
DAEMONS = 3


def test_a_seed_always_draws_the_same_faults() -> None:
    assert draw(7, 60.0) == draw(7, 60.0)
    assert draw(7, 60.0) != draw(8, 60.0)


def test_all_kinds_of_faults_come() -> None:
    kinds = {type(fault) for seed in range(40) for _, fault in draw(seed, 60.0)}
    assert len(kinds) == 14
    states = {
        getattr(fault, 'state', None) for seed in range(40) for _, fault in draw(seed, 60.0)
    }
    assert states - {None} == set(LinkState) - {LinkState.WHOLE}


def test_every_promise_has_a_broken_variant() -> None:
    assert set(PROMISE_BY_VARIANT.values()) == set(Promise)


def test_a_short_run_breaks_no_promise() -> None:
    outcome = play(Plan(seed=11, seconds=SECONDS, size=DAEMONS))
    assert outcome.violations == []
    assert outcome.answered > 0


def test_a_broken_daemon_is_caught() -> None:
    outcome = play(Plan(seed=11, seconds=SECONDS, size=DAEMONS, variant='changes-ids'))
    assert Promise.KNOWN_REQUEST in {violation.promise for violation in outcome.violations}


@pytest.mark.parametrize(
    'arguments', [('--size', '0'), ('--minutes', '0'), ('--variant', 'unknown')]
)
def test_bad_options_are_told_in_one_line(arguments: tuple[str, str]) -> None:
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
