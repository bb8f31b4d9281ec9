"""Slopes of requests through daemons that run as separate processes."""

from __future__ import annotations

import http.client
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, ClassVar, NamedTuple

from tests.scenarios.processes import build_document_text, wait_until

from bench._fit import Point, fit_slope
from bench._gauge import read_process_cpu_us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.processes import System

    from bench._fit import Slope

__all__ = ['measure_request_slopes', 'start_system']

REQUEST_COUNTS = (200, 400, 800)
UPLOAD_SIZES_MB = (4, 8, 16)
UPLOAD_COUNT = 6
CALLER_COUNT = 4
"""Callers that send concurrently; fewer than the slots, so that no request waits for one."""

SATURATING_CALLER_COUNTS = (8, 16, 32)
SATURATION_WINDOW_S = 1.0
LATENCY_REQUEST_COUNTS = (100, 200, 400)
IDLE_WINDOW_S = 3.0
BYTES_PER_MB = 1_000_000
TIMEOUT_S = 30.0

COORDINATOR = 'daemon-north'
ENTRY = 'daemon-south'
BACKEND_SERVERS = [
    ('lookup-1', 'lookups'),
    ('lookup-2', 'lookups'),
    ('booking-1', 'bookings'),
    ('scan-1', 'scans'),
]
SERVICES = [
    ('lookups', True, 'lookup'),
    ('bookings', False, 'booking'),
    ('scans', False, 'upload'),
]


class RequestKind(NamedTuple):
    """A kind of request, as a caller sends it."""

    name: str
    method: str
    path: str
    body: bytes


LOOKUP = RequestKind('lookup', 'GET', '/lookups/slot', b'')
BOOKING = RequestKind('booking', 'POST', '/bookings/new', b'b' * 300)


def start_system(system: System) -> None:
    """Start two daemons, one of which coordinates all backend servers."""
    for name, _ in BACKEND_SERVERS:
        system.start_backend_server(name, 'north', '--service-ms', '0', '--slots', '32')
    system.start_daemon(COORDINATOR, 'north')
    system.start_daemon(ENTRY, 'south')
    system.wait_ready()
    servers = [
        (name, service, 'north', system.address_by_backend_server[name])
        for name, service in BACKEND_SERVERS
    ]
    document = build_document_text(['north', 'south'], SERVICES, servers, slots=32)
    system.apply_document(COORDINATOR, document)
    requests = [(f'/lookups/{number}', f'key-{number}') for number in range(20)]
    requests += [('/bookings/x', ''), ('/scans/x', '')]
    system.wait_until_served([COORDINATOR, ENTRY], requests)
    wait_until(lambda: _warm_up(system), 'the backend servers are warm')


def _warm_up(system: System) -> bool:
    """Send enough requests to end the cold start of the backend servers.

    :return: always true; ``wait_until`` calls this again after an error of a connection
    """
    for kind in (LOOKUP, BOOKING):
        _send_requests(system, ENTRY, kind, 50, CALLER_COUNT)
    return True


def measure_request_slopes(system: System) -> Iterator[Slope]:
    """Measure lookups, bookings and uploads, without and with the hop to the coordinator."""
    for kind in (LOOKUP, BOOKING):
        yield from _measure_cpu_slopes(system, kind)
        yield from _measure_latency_slopes(system, kind)
    yield from _measure_upload_slopes(system)
    for kind in (LOOKUP, BOOKING):
        yield _measure_throughput(system, kind, COORDINATOR, 'own')
        yield _measure_throughput(system, kind, ENTRY, 'hop')


def _measure_cpu_slopes(system: System, kind: RequestKind) -> Iterator[Slope]:
    own = [
        _measure_daemons_cpu_us(system, COORDINATOR, kind, request_count)
        for request_count in REQUEST_COUNTS
    ]
    hop = [
        _measure_daemons_cpu_us(system, ENTRY, kind, request_count)
        for request_count in REQUEST_COUNTS
    ]
    yield _fit_cpu_slope(
        f'{kind.name}_own_us', 'entry and coordinator in one', kind, own, COORDINATOR
    )
    yield _fit_cpu_slope(f'{kind.name}_entry_us', 'entry before the hop', kind, hop, ENTRY)
    yield _fit_cpu_slope(
        f'{kind.name}_coordinator_us', 'coordinator, hop', kind, hop, COORDINATOR
    )


def _fit_cpu_slope(
    name: str, role: str, kind: RequestKind, runs: list[dict[str, list[float]]], daemon: str
) -> Slope:
    points = [
        _make_point(request_count, run[daemon])
        for request_count, run in zip(REQUEST_COUNTS, runs, strict=True)
    ]
    return fit_slope(
        name, 'us per request', f'{kind.name}: processor time of the {role}', points
    )


def _make_point(size: float, values: list[float]) -> Point:
    return Point(size, statistics.median(values), min(values), max(values))


def _measure_daemons_cpu_us(
    system: System, daemon: str, kind: RequestKind, request_count: int
) -> dict[str, list[float]]:
    """Return the processor time of each daemon for ``request_count`` requests, by run."""
    used_us_by_daemon: dict[str, list[float]] = {COORDINATOR: [], ENTRY: []}
    # 3 runs of each size.
    for _ in range(3):
        meter = _CpuMeter(system)
        _send_requests(system, daemon, kind, request_count, CALLER_COUNT)
        for name, values in used_us_by_daemon.items():
            values.append(meter.read_us_above_idle(name))
    return used_us_by_daemon


class _CpuMeter:
    """Meters the processor time that daemons use beyond their use while idle.

    It counts from its construction. The use while idle is measured once per process.
    """

    _idle_us_per_s_by_daemon: ClassVar[dict[str, float]] = {}

    def __init__(self, system: System) -> None:
        self._system = system
        if not self._idle_us_per_s_by_daemon:
            self._idle_us_per_s_by_daemon.update(_measure_idle_us_per_s(system))
        self._started_at = time.monotonic()
        self._us_before = {
            name: _read_process_us(system, name) for name in (COORDINATOR, ENTRY)
        }

    def read_us_above_idle(self, name: str) -> float:
        """Return the processor time of a daemon beyond its use while idle."""
        seconds = time.monotonic() - self._started_at
        used_us = _read_process_us(self._system, name) - self._us_before[name]
        return used_us - self._idle_us_per_s_by_daemon[name] * seconds


def _measure_idle_us_per_s(system: System) -> dict[str, float]:
    names = (COORDINATOR, ENTRY)
    us_before = {name: _read_process_us(system, name) for name in names}
    # Never set: only waited for, to sleep.
    threading.Event().wait(IDLE_WINDOW_S)
    return {
        name: (_read_process_us(system, name) - us_before[name]) / IDLE_WINDOW_S
        for name in names
    }


def _read_process_us(system: System, name: str) -> float:
    return read_process_cpu_us(system.process_by_name[name].pid)


def _measure_latency_slopes(system: System, kind: RequestKind) -> Iterator[Slope]:
    """Time sequential requests, alternately through both daemons.

    The path 'own' leads through the coordinator only, the path 'hop' through the other daemon
    and then the coordinator.
    """
    daemon_by_path = {'own': COORDINATOR, 'hop': ENTRY}
    points: dict[str, list[Point]] = {path_name: [] for path_name in daemon_by_path}
    for request_count in LATENCY_REQUEST_COUNTS:
        totals: dict[str, list[float]] = {path_name: [] for path_name in daemon_by_path}
        # 3 runs of each size.
        for _ in range(3):
            for path_name, seconds in _time_alternately(
                system, kind, daemon_by_path, request_count
            ).items():
                totals[path_name].append(seconds * 1e6)
        for path_name, values in totals.items():
            points[path_name].append(_make_point(request_count, values))
    for path_name in daemon_by_path:
        about = f'{kind.name}: time of requests one after the other, way {path_name}'
        yield fit_slope(
            f'{kind.name}_{path_name}_latency_us', 'us per request', about, points[path_name]
        )


def _time_alternately(
    system: System, kind: RequestKind, daemon_by_path: dict[str, str], request_count: int
) -> dict[str, float]:
    connection_by_path = {
        path_name: _connect(system.get_callers_address(name))
        for path_name, name in daemon_by_path.items()
    }
    total_by_path = dict.fromkeys(daemon_by_path, 0.0)
    for number in range(request_count):
        for path_name, connection in connection_by_path.items():
            total_by_path[path_name] += _time_request(connection, kind, str(number))
    for connection in connection_by_path.values():
        connection.close()
    return total_by_path


def _measure_upload_slopes(system: System) -> Iterator[Slope]:
    points_by_slope: dict[str, list[Point]] = {}
    for size in UPLOAD_SIZES_MB:
        kind = RequestKind('upload', 'POST', '/scans/photo', bytes(size * BYTES_PER_MB))
        own = _measure_uploads(system, COORDINATOR, kind)
        hop = _measure_uploads(system, ENTRY, kind)
        for name, values in (
            ('upload_own_us_per_mb', own[COORDINATOR]),
            ('upload_entry_us_per_mb', hop[ENTRY]),
            ('upload_coordinator_us_per_mb', hop[COORDINATOR]),
            ('upload_own_latency_us_per_mb', own['latency']),
            ('upload_hop_latency_us_per_mb', hop['latency']),
        ):
            points_by_slope.setdefault(name, []).append(_make_point(size, values))
    for name, points in points_by_slope.items():
        yield fit_slope(name, 'us per MB', f'one upload, mean of {UPLOAD_COUNT}', points)


def _measure_uploads(system: System, daemon: str, kind: RequestKind) -> dict[str, list[float]]:
    """Measure three runs of uploads, one upload at a time.

    :return: for each run, the processor time per upload of each daemon, by its name, and
        under ``latency`` the median time of an upload; all in microseconds
    """
    values_by_name: dict[str, list[float]] = {COORDINATOR: [], ENTRY: [], 'latency': []}
    for _ in range(3):
        meter = _CpuMeter(system)
        times = _send_requests(system, daemon, kind, UPLOAD_COUNT, 1)
        for name in (COORDINATOR, ENTRY):
            values_by_name[name].append(meter.read_us_above_idle(name) / UPLOAD_COUNT)
        values_by_name['latency'].append(statistics.median(times) * 1e6)
    return values_by_name


def _measure_throughput(
    system: System, kind: RequestKind, daemon: str, path_name: str
) -> Slope:
    """Measure the rate of answers by the number of callers.

    A flat line shows that the daemon is saturated.
    """
    points = []
    for caller_count in SATURATING_CALLER_COUNTS:
        # 2 runs of each size.
        rates = [_measure_rate(system, daemon, kind, caller_count) for _ in range(2)]
        points.append(_make_point(caller_count, rates))
    about = f'{kind.name}: requests a second answered through one daemon, way {path_name}'
    return fit_slope(
        f'{kind.name}_{path_name}_per_s', 'requests a second per caller', about, points
    )


def _measure_rate(system: System, daemon: str, kind: RequestKind, caller_count: int) -> float:
    ends_at = time.monotonic() + SATURATION_WINDOW_S
    address = system.get_callers_address(daemon)
    with ThreadPoolExecutor(caller_count) as executor:
        futures = [
            executor.submit(_send_until, address, kind, number, ends_at)
            for number in range(caller_count)
        ]
        return sum(future.result() for future in futures) / SATURATION_WINDOW_S


def _send_until(address: str, kind: RequestKind, caller_number: int, ends_at: float) -> int:
    connection = _connect(address)
    answered_count = 0
    while time.monotonic() < ends_at:
        answered_count += _send_request(connection, kind, f'{caller_number}-{answered_count}')
    connection.close()
    return answered_count


def _send_requests(
    system: System, daemon: str, kind: RequestKind, request_count: int, caller_count: int
) -> list[float]:
    """Send requests and return how long each took, in seconds."""
    address = system.get_callers_address(daemon)
    with ThreadPoolExecutor(caller_count) as executor:
        requests_per_caller = request_count // caller_count
        futures = [
            executor.submit(_send_series, address, kind, requests_per_caller)
            for _ in range(caller_count)
        ]
        return [seconds for future in futures for seconds in future.result()]


def _send_series(address: str, kind: RequestKind, request_count: int) -> list[float]:
    connection = _connect(address)
    times = [_time_request(connection, kind, str(number)) for number in range(request_count)]
    connection.close()
    return times


def _time_request(
    connection: http.client.HTTPConnection, kind: RequestKind, key: str
) -> float:
    """Return the seconds that the first successful attempt took.

    Refused attempts are retried at once and not counted.
    """
    started_at = time.perf_counter()
    while not _send_request(connection, kind, key):
        started_at = time.perf_counter()
    return time.perf_counter() - started_at


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(':')
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


def _send_request(connection: http.client.HTTPConnection, kind: RequestKind, key: str) -> bool:
    """Send one request and return whether it was answered with status 200."""
    headers = {'Coltsfootstair-Key': f'key-{key}'} if kind is LOOKUP else {}
    connection.request(kind.method, kind.path, kind.body or None, headers)
    response = connection.getresponse()
    response.read()
    return response.status == 200
