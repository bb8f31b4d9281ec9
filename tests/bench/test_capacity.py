"""The capacity page follows from the slopes, the inputs and the formulas."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from bench._fit import Point, fit_slope
from bench._inputs import INPUTS
from bench.capacity import PAGE, SLOPES, number, page, values

MIN_SIZES = 3


@pytest.fixture(scope='module')
def report() -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(SLOPES.read_text())
    return loaded


def test_the_page_is_what_the_slopes_give(report: dict[str, Any]) -> None:
    assert PAGE.read_text() == page(report), 'run python -m bench.capacity'


def test_each_slope_is_fitted_to_three_sizes_or_more(report: dict[str, Any]) -> None:
    for slope in report['slopes']:
        sizes = [point['size'] for point in slope['points']]
        costs = [point['value'] for point in slope['points']]
        assert len(set(sizes)) == len(sizes) >= MIN_SIZES, slope['name']
        assert sizes == sorted(sizes)
        mean_size, mean_cost = sum(sizes) / len(sizes), sum(costs) / len(costs)
        both = sum(
            (s - mean_size) * (c - mean_cost) for s, c in zip(sizes, costs, strict=True)
        )
        by_hand = both / sum((s - mean_size) ** 2 for s in sizes)
        assert slope['slope'] == pytest.approx(by_hand, abs=1e-6), slope['name']
        intercept = mean_cost - by_hand * mean_size
        assert slope['intercept'] == pytest.approx(intercept, abs=1e-3)


def test_each_changed_slope_changes_the_page(report: dict[str, Any]) -> None:
    before = page(report)
    for index in range(len(report['slopes'])):
        changed = copy.deepcopy(report)
        changed['slopes'][index]['slope'] = report['slopes'][index]['slope'] * 2 + 1
        assert page(changed) != before


def test_figures_worked_by_hand(report: dict[str, Any]) -> None:
    made = copy.deepcopy(report)
    by_name = {slope['name']: slope for slope in made['slopes']}
    by_name['lookup_entry_us']['slope'] = 400.0
    by_name['lookup_coordinator_us']['slope'] = 600.0
    by_name['stream_resident_bytes']['slope'] = 1000.0
    by_name['document_bytes']['slope'] = 200.0
    by_name['document_parse_us']['slope'] = 100.0
    by_name['store_watch_calls']['slope'] = 1.0
    by_name['lease_tick_us']['slope'] = 10.0
    by_name['loss_writes']['slope'] = 1.0
    by_name['loss_writes']['intercept'] = 0.0
    by_name['heartbeat_bytes']['intercept'] = 70.0
    known = values(made)
    # 65e6 requests of 5 ms are 325,000 at once, in 4 slots used to 60%.
    assert known['backend_servers'] == pytest.approx(135_416.67, rel=1e-6)
    assert known['servers_per_daemon'] == pytest.approx(29.4384, rel=1e-4)
    assert known['requests_per_daemon'] == pytest.approx(14_130.43, rel=1e-6)
    assert known['lookups_per_process'] == pytest.approx(1000.0)
    assert known['rate_shortfall'] == pytest.approx(14.13043, rel=1e-6)
    assert known['streams_bytes'] == pytest.approx(4_599_000.0)
    assert known['document_value_bytes'] == pytest.approx(27_083_333.3, rel=1e-6)
    assert known['document_value_shortfall'] == pytest.approx(25.8287, rel=1e-4)
    assert known['document_parse_s'] == pytest.approx(13.541667, rel=1e-6)
    assert known['changes_per_s'] == pytest.approx(0.162037, rel=1e-5)
    # 16 watchers ask twice a second and once more for each change.
    assert known['watch_calls_per_s'] == pytest.approx(34.59259, rel=1e-6)
    assert known['vm_list_poll_s'] == pytest.approx(9.2)
    assert known['vm_list_share'] == pytest.approx(0.25)
    # 10 us for each of 135,417 leases, every 30 ms.
    assert known['lease_tick_cores'] == pytest.approx(45.1389, rel=1e-5)
    # 40 daemons with 58.9 leases each, at 400 writes a second.
    assert known['rack_s'] == pytest.approx(5.887681, rel=1e-6)
    # 70 bytes to and fro with each of 4,600 daemons, once a second.
    assert known['slow_heartbeat_bytes_per_s'] == pytest.approx(644_000.0)


def test_numbers_are_rounded_to_three_digits_unless_whole() -> None:
    numbers = [0, 0.012345, 1.005, 12.3456, 999.6, 135_416.67, -4.567, 4_601]
    rounded = ['0', '0.0123', '1.00', '12.3', '1,000', '135,000', '-4.57', '4,601']
    assert [number(item) for item in numbers] == rounded


def test_inputs_have_names_of_their_own(report: dict[str, Any]) -> None:
    names = [item.name for item in INPUTS] + [item['name'] for item in report['slopes']]
    assert len(set(names)) == len(names)


def test_a_bent_line_shows() -> None:
    def points(costs: list[float]) -> list[Point]:
        return [Point(n, c, c, c) for n, c in zip((10, 20, 40), costs, strict=True)]

    straight = fit_slope('a', 'us', '', points([25.0, 45.0, 85.0]))
    assert (straight.slope, straight.intercept) == pytest.approx((2.0, 5.0))
    assert straight.r2 == pytest.approx(1.0)
    bent = fit_slope('b', 'us', '', points([100.0, 400.0, 1600.0]))
    assert bent.unit_ratio == pytest.approx(4.0)
    assert bent.r2 < 0.99
