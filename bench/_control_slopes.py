"""Slopes of what idle daemons spend on control, by the number of backend servers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tests.scenarios.processes import System, build_document_text

from bench._fit import Point, fit_slope
from bench._gauge import read_process_cpu_us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_control_slopes']

SERVER_COUNTS = (2, 4, 8)
SETTLE_S = 2.0
"""Pause between the first answers and the first window, in seconds."""

WINDOW_S = 1.5
"""Length of a window in which processor time and calls are counted, in seconds."""

WINDOW_COUNT = 3
"""Number of windows; their median is the cost."""

COORDINATOR = 'daemon-north'
STANDBY = 'daemon-south'
ABOUT_BY_SLOPE = {
    'control_coordinator_us': "a coordinator's processor time for each second",
    'control_standby_us': "its standby's processor time for each second",
    'control_store_calls': "two daemons' calls to the store for each second",
}


def measure_control_slopes() -> Iterator[Slope]:
    """Measure an idle system of two daemons, one of which coordinates all backend servers."""
    points: dict[str, list[Point]] = {name: [] for name in ABOUT_BY_SLOPE}
    for server_count in SERVER_COUNTS:
        for name, rates in _measure_idle(server_count).items():
            ordered = sorted(rates)
            point = Point(server_count, ordered[len(ordered) // 2], ordered[0], ordered[-1])
            points[name].append(point)
    for name, about in ABOUT_BY_SLOPE.items():
        unit = 'calls/s' if name.endswith('calls') else 'us/s'
        yield fit_slope(name, f'{unit} per backend server', f'{about}, idle', points[name])


def _measure_idle(server_count: int) -> dict[str, list[float]]:
    # Never set: only waited for, to sleep.
    pause = threading.Event()
    rates: dict[str, list[float]] = {name: [] for name in ABOUT_BY_SLOPE}
    with System() as system:
        _start_system(system, server_count)
        pause.wait(SETTLE_S)
        for _ in range(WINDOW_COUNT):
            totals_before = _read_totals(system)
            pause.wait(WINDOW_S)
            for name, total in _read_totals(system).items():
                rates[name].append((total - totals_before[name]) / WINDOW_S)
    return rates


def _start_system(system: System, server_count: int) -> None:
    names = [f'lookup-{number}' for number in range(server_count)]
    system.start_store()
    for name in names:
        system.start_backend_server(name, 'north')
    system.start_daemon(COORDINATOR, 'north')
    system.start_daemon(STANDBY, 'south')
    system.wait_ready()
    server_entries = [
        (name, 'lookups', 'north', system.address_by_backend_server[name]) for name in names
    ]
    document = build_document_text(
        ['north', 'south'], [('lookups', True, 'lookup')], server_entries
    )
    system.apply_document(COORDINATOR, document)
    keys = [(f'/lookups/{number}', f'key-{number}') for number in range(20)]
    system.wait_until_served([COORDINATOR, STANDBY], keys)


def _read_totals(system: System) -> dict[str, float]:
    call_counts = system.read_truth('store')
    pid_by_name = {name: process.pid for name, process in system.process_by_name.items()}
    return {
        'control_coordinator_us': read_process_cpu_us(pid_by_name[COORDINATOR]),
        'control_standby_us': read_process_cpu_us(pid_by_name[STANDBY]),
        'control_store_calls': call_counts['reads']
        + call_counts['writes']
        + call_counts['watches'],
    }
