"""Slopes of what daemons spend on control while no caller asks, by backend servers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tests.scenarios.processes import System, build_document_text

from bench._fit import Point, fit
from bench._gauge import process_cpu_us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['control_slopes']

SERVERS = (2, 4, 8)
SETTLE_S = 2.0
WINDOW_S = 1.5
WINDOWS = 3
COORDINATOR = 'daemon-north'
STANDBY = 'daemon-south'
ABOUT_BY_NAME = {
    'control_coordinator_us': "a coordinator's processor time for each second",
    'control_standby_us': "its standby's processor time for each second",
    'control_store_calls': "two daemons' calls to the store for each second",
}


def control_slopes() -> Iterator[Slope]:
    """Measure an idle system of two daemons, of which one coordinates all servers."""
    points: dict[str, list[Point]] = {name: [] for name in ABOUT_BY_NAME}
    for servers in SERVERS:
        for name, values in _idle(servers).items():
            ordered = sorted(values)
            point = Point(servers, ordered[len(ordered) // 2], ordered[0], ordered[-1])
            points[name].append(point)
    for name, about in ABOUT_BY_NAME.items():
        unit = 'calls/s' if name.endswith('calls') else 'us/s'
        yield fit(name, f'{unit} per backend server', f'{about}, idle', points[name])


def _idle(servers: int) -> dict[str, list[float]]:
    pause = threading.Event()
    values: dict[str, list[float]] = {name: [] for name in ABOUT_BY_NAME}
    with System() as system:
        _start(system, servers)
        pause.wait(SETTLE_S)
        for _ in range(WINDOWS):
            before = _totals(system)
            pause.wait(WINDOW_S)
            for name, total in _totals(system).items():
                values[name].append((total - before[name]) / WINDOW_S)
    return values


def _start(system: System, servers: int) -> None:
    names = [f'lookup-{number}' for number in range(servers)]
    system.start_store()
    for name in names:
        system.start_backend_server(name, 'north')
    system.start_daemon(COORDINATOR, 'north')
    system.start_daemon(STANDBY, 'south')
    system.wait_ready()
    rows = [
        (name, 'lookups', 'north', system.address_by_backend_server[name]) for name in names
    ]
    text = build_document_text(['north', 'south'], [('lookups', True, 'lookup')], rows)
    system.apply_document(COORDINATOR, text)
    keys = [(f'/lookups/{number}', f'key-{number}') for number in range(20)]
    system.wait_served([COORDINATOR, STANDBY], keys)


def _totals(system: System) -> dict[str, float]:
    calls = system.read_truth('store')
    pid_by_name = {name: process.pid for name, process in system.process_by_name.items()}
    return {
        'control_coordinator_us': process_cpu_us(pid_by_name[COORDINATOR]),
        'control_standby_us': process_cpu_us(pid_by_name[STANDBY]),
        'control_store_calls': calls['reads'] + calls['writes'] + calls['watches'],
    }
