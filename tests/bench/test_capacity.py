"""Tests of the capacity page, its figures and the fit of slopes."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from bench._fit import Point, fit_slope
from bench._inputs import INPUTS
from bench.capacity import PAGE_PATH, SLOPES_PATH, evaluate_report, format_number, render_page

MIN_SIZE_COUNT = 3


@pytest.fixture(scope='module')
def report() -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(SLOPES_PATH.read_text())
    return loaded


def test_page_is_up_to_date_with_the_slopes(report: dict[str, Any]) -> None:
    assert PAGE_PATH.read_text() == render_page(report), 'run python -m bench.capacity'


def test_each_slope_is_a_least_squares_fit_of_three_sizes_or_more(
    report: dict[str, Any],
) -> None:
    for slope in report['slopes']:
        sizes = [point['size'] for point in slope['points']]
        costs = [point['value'] for point in slope['points']]
        assert len(set(sizes)) == len(sizes) >= MIN_SIZE_COUNT, slope['name']
        assert sizes == sorted(sizes)
        mean_size, mean_cost = sum(sizes) / len(sizes), sum(costs) / len(costs)
        covariance_sum = sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        expected_slope = covariance_sum / sum((size - mean_size) ** 2 for size in sizes)
        assert slope['slope'] == pytest.approx(expected_slope, abs=1e-6), slope['name']
        expected_intercept = mean_cost - expected_slope * mean_size
        assert slope['intercept'] == pytest.approx(expected_intercept, abs=1e-3)


def test_page_depends_on_each_slope(report: dict[str, Any]) -> None:
    original_page = render_page(report)
    for index in range(len(report['slopes'])):
        changed_report = copy.deepcopy(report)
        changed_report['slopes'][index]['slope'] = report['slopes'][index]['slope'] * 2 + 1
        assert render_page(changed_report) != original_page


def test_figures_match_manual_calculations(report: dict[str, Any]) -> None:
    changed_report = copy.deepcopy(report)
    slope_by_name = {slope['name']: slope for slope in changed_report['slopes']}
    slope_by_name['lookup_entry_us']['slope'] = 400.0
    slope_by_name['lookup_coordinator_us']['slope'] = 600.0
    slope_by_name['stream_resident_bytes']['slope'] = 1000.0
    slope_by_name['document_bytes']['slope'] = 200.0
    slope_by_name['document_parse_us']['slope'] = 100.0
    slope_by_name['store_watch_calls']['slope'] = 1.0
    slope_by_name['lease_tick_us']['slope'] = 10.0
    slope_by_name['loss_writes']['slope'] = 1.0
    slope_by_name['loss_writes']['intercept'] = 0.0
    slope_by_name['heartbeat_bytes']['intercept'] = 70.0
    value_by_name = evaluate_report(changed_report)
    # 65e6 requests/s of 5 ms are 325,000 at once; each server has 4 slots, 60% of them in use.
    assert value_by_name['backend_servers'] == pytest.approx(135_416.67, rel=1e-6)
    assert value_by_name['servers_per_daemon'] == pytest.approx(29.4384, rel=1e-4)
    assert value_by_name['requests_per_daemon'] == pytest.approx(14_130.43, rel=1e-6)
    assert value_by_name['lookups_per_process'] == pytest.approx(1000.0)
    assert value_by_name['rate_shortfall'] == pytest.approx(14.13043, rel=1e-6)
    assert value_by_name['streams_bytes'] == pytest.approx(4_599_000.0)
    assert value_by_name['document_value_bytes'] == pytest.approx(27_083_333.3, rel=1e-6)
    assert value_by_name['document_value_shortfall'] == pytest.approx(25.8287, rel=1e-4)
    assert value_by_name['document_parse_s'] == pytest.approx(13.541667, rel=1e-6)
    assert value_by_name['changes_per_s'] == pytest.approx(0.162037, rel=1e-5)
    # 16 watchers call the store twice a second and once more for each change.
    assert value_by_name['watch_calls_per_s'] == pytest.approx(34.59259, rel=1e-6)
    assert value_by_name['vm_list_poll_s'] == pytest.approx(9.2)
    assert value_by_name['vm_list_share'] == pytest.approx(0.25)
    # 10 us for each of 135,417 leases, every 30 ms.
    assert value_by_name['lease_tick_cores'] == pytest.approx(45.1389, rel=1e-5)
    # 40 daemons with 58.9 leases each, at 400 writes per second.
    assert value_by_name['rack_s'] == pytest.approx(5.887681, rel=1e-6)
    # 70 bytes of heartbeat and reply, in both directions, with 4,600 daemons once a second.
    assert value_by_name['slow_heartbeat_bytes_per_s'] == pytest.approx(644_000.0)


def test_numbers_are_rounded_to_three_digits_unless_whole() -> None:
    numbers = [0, 0.012345, 1.005, 12.3456, 999.6, 135_416.67, -4.567, 4_601]
    rounded = ['0', '0.0123', '1.00', '12.3', '1,000', '135,000', '-4.57', '4,601']
    assert [format_number(item) for item in numbers] == rounded


def test_names_of_inputs_and_slopes_are_unique(report: dict[str, Any]) -> None:
    names = [item.name for item in INPUTS] + [item['name'] for item in report['slopes']]
    assert len(set(names)) == len(names)


def test_curved_costs_lower_r2_and_raise_the_unit_ratio() -> None:
    def make_points(costs: list[float]) -> list[Point]:
        return [
            Point(size, cost, cost, cost)
            for size, cost in zip((10, 20, 40), costs, strict=True)
        ]

    linear = fit_slope('a', 'us', '', make_points([25.0, 45.0, 85.0]))
    assert (linear.slope, linear.intercept) == pytest.approx((2.0, 5.0))
    assert linear.r2 == pytest.approx(1.0)
    curved = fit_slope('b', 'us', '', make_points([100.0, 400.0, 1600.0]))
    assert curved.unit_ratio == pytest.approx(4.0)
    assert curved.r2 < 0.99
