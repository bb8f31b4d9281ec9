"""Loads of keyed requests, played against the real demand figures and plans."""

from __future__ import annotations

import statistics

import pytest

from coltsfootstair.keyspace import KeyDemand
from coltsfootstair.peers import LoadFigures
from tests.keyspace.load_model import HotSpell, Load, play

HOT_KEYS = Load(
    server_count=225,
    requests_per_s=602.0,
    mean_work_s=0.41,
    target_s=1.5,
    hot_spells=(HotSpell(0.7, 5.7, 0.42, 200, 300), HotSpell(6.2, 10.2, 0.31, 60, 1000)),
)
"""Hundreds of servers with a few requests a second each, while hot keys come and go."""


def test_callers_get_answers_in_time_although_few_keys_move() -> None:
    """Each move delays the requests of its keys; all keys moved more than once by chance."""
    outcomes = [play(HOT_KEYS, seed) for seed in range(2)]
    assert statistics.mean(outcome.moved for outcome in outcomes) < 1.0
    for outcome in outcomes:
        settled = statistics.mean(outcome.in_time_by_second[25:30])
        for second in range(4, 25):
            # About 3 s after hot keys change, callers get what they get at the end.
            assert outcome.in_time_by_second[second] > 0.9 * settled


def test_rates_are_whole_right_after_the_first_report() -> None:
    """The rates rose over several seconds, as long as the hot keys of a burst last."""
    demand = KeyDemand()
    demand.count_requests({7: 30}, 100.0)
    rates = demand.compute_rates(100.0)
    # 30 requests in the 0.3 s before the report.
    assert rates.sum_over(7, 7) == pytest.approx(100.0, rel=0.1)
    assert rates.window_s == pytest.approx(0.3, rel=0.1)


def test_one_quick_answer_does_not_make_an_owner_the_fastest() -> None:
    """All moves of a plan went to the server whose only answer so far was a quick one."""
    demand = KeyDemand()
    demand.apply_figures('known', LoadFigures(40, 20.0))
    demand.apply_figures('new', LoadFigures(1, 0.1))
    assert demand.estimate_service_time_s('new', 1.0) > 0.35
    for _ in range(40):
        demand.apply_figures('new', LoadFigures(1, 0.1))
    assert demand.estimate_service_time_s('new', 1.0) < 0.2
