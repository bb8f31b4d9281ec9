"""Slopes of requests through daemons that are processes of their own."""

from __future__ import annotations

import http.client
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, ClassVar, NamedTuple

from tests.scenarios.processes import build_document_text, wait_until

from bench._fit import Point, fit
from bench._gauge import process_cpu_us

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.processes import System

    from bench._fit import Slope

__all__ = ['request_slopes', 'start_system']

COUNTS = (200, 400, 800)
UPLOAD_MB = (4, 8, 16)
UPLOADS = 6
CALLERS = 4
"""Callers that send at once, so that the slots of the backend server are never short."""

SATURATING_CALLERS = (8, 16, 32)
SATURATING_S = 1.0
LATENCY_COUNTS = (100, 200, 400)
IDLE_S = 3.0
MB = 1_000_000
TIMEOUT_S = 30.0

COORDINATOR = 'daemon-north'
OTHER = 'daemon-south'
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


class Kind(NamedTuple):
    """One kind of request, as a caller sends it."""

    name: str
    method: str
    path: str
    body: bytes


LOOKUP = Kind('lookup', 'GET', '/lookups/slot', b'')
BOOKING = Kind('booking', 'POST', '/bookings/new', b'b' * 300)


def start_system(system: System) -> None:
    """Start two daemons, of which one coordinates all backend servers."""
    for name, _ in BACKEND_SERVERS:
        system.start_backend_server(name, 'north', '--service-ms', '0', '--slots', '32')
    system.start_daemon(COORDINATOR, 'north')
    system.start_daemon(OTHER, 'south')
    system.wait_ready()
    servers = [
        (name, service, 'north', system.address_by_backend_server[name])
        for name, service in BACKEND_SERVERS
    ]
    text = build_document_text(['north', 'south'], SERVICES, servers, slots=32)
    system.apply_document(COORDINATOR, text)
    requests = [(f'/lookups/{n}', f'key-{n}') for n in range(20)]
    requests += [('/bookings/x', ''), ('/scans/x', '')]
    system.wait_served([COORDINATOR, OTHER], requests)
    wait_until(lambda: _warm(system), 'the backend servers are warm')


def _warm(system: System) -> bool:
    """Send what brings the backend servers out of their cold start."""
    for kind in (LOOKUP, BOOKING):
        _send(system, OTHER, kind, 50, CALLERS)
    return True


def request_slopes(system: System) -> Iterator[Slope]:
    """Measure lookups, bookings and uploads, without and with the extra hop."""
    for kind in (LOOKUP, BOOKING):
        yield from _cpu_slopes(system, kind)
        yield from _hop_latency(system, kind)
    yield from _upload_slopes(system)
    for kind in (LOOKUP, BOOKING):
        yield _throughput(system, kind, COORDINATOR, 'own')
        yield _throughput(system, kind, OTHER, 'hop')


def _cpu_slopes(system: System, kind: Kind) -> Iterator[Slope]:
    own = [_cpu(system, COORDINATOR, kind, n) for n in COUNTS]
    hop = [_cpu(system, OTHER, kind, n) for n in COUNTS]
    yield _line(f'{kind.name}_own_us', 'entry and coordinator in one', kind, own, COORDINATOR)
    yield _line(f'{kind.name}_entry_us', 'entry before the hop', kind, hop, OTHER)
    yield _line(f'{kind.name}_coordinator_us', 'coordinator, hop', kind, hop, COORDINATOR)


def _line(
    name: str, role: str, kind: Kind, runs: list[dict[str, list[float]]], daemon: str
) -> Slope:
    points = [_point(n, run[daemon]) for n, run in zip(COUNTS, runs, strict=True)]
    return fit(name, 'us per request', f'{kind.name}: processor time of the {role}', points)


def _point(size: float, values: list[float]) -> Point:
    return Point(size, statistics.median(values), min(values), max(values))


def _cpu(system: System, daemon: str, kind: Kind, count: int) -> dict[str, list[float]]:
    """Return the processor time of both daemons for ``count`` requests, a few times."""
    used: dict[str, list[float]] = {COORDINATOR: [], OTHER: []}
    for _ in range(3):
        spent = _Spent(system)
        _send(system, daemon, kind, count, CALLERS)
        for name, values in used.items():
            values.append(spent.beyond_idle_us(name))
    return used


class _Spent:
    """Processor time since its making, without what a daemon spends while it is idle."""

    _idle_by_name: ClassVar[dict[str, float]] = {}

    def __init__(self, system: System) -> None:
        self._system = system
        if not self._idle_by_name:
            self._idle_by_name.update(_idle_us_per_s(system))
        self._begun = time.monotonic()
        self._before = {name: _process_us(system, name) for name in (COORDINATOR, OTHER)}

    def beyond_idle_us(self, name: str) -> float:
        """Return the microseconds that a daemon has had more than in idleness."""
        seconds = time.monotonic() - self._begun
        used = _process_us(self._system, name) - self._before[name]
        return used - self._idle_by_name[name] * seconds


def _idle_us_per_s(system: System) -> dict[str, float]:
    names = (COORDINATOR, OTHER)
    before = {name: _process_us(system, name) for name in names}
    threading.Event().wait(IDLE_S)
    return {name: (_process_us(system, name) - before[name]) / IDLE_S for name in names}


def _process_us(system: System, name: str) -> float:
    return process_cpu_us(system.process_by_name[name].pid)


def _hop_latency(system: System, kind: Kind) -> Iterator[Slope]:
    """Time requests one after the other, by turns through both daemons."""
    ways = {'own': COORDINATOR, 'hop': OTHER}
    points: dict[str, list[Point]] = {way: [] for way in ways}
    for count in LATENCY_COUNTS:
        totals: dict[str, list[float]] = {way: [] for way in ways}
        for _ in range(3):
            for way, seconds in _by_turns(system, kind, ways, count).items():
                totals[way].append(seconds * 1e6)
        for way, values in totals.items():
            points[way].append(_point(count, values))
    for way in ways:
        about = f'{kind.name}: time of requests one after the other, way {way}'
        yield fit(f'{kind.name}_{way}_latency_us', 'us per request', about, points[way])


def _by_turns(
    system: System, kind: Kind, ways: dict[str, str], count: int
) -> dict[str, float]:
    connection_by_way = {
        way: _connect(system.get_callers_address(name)) for way, name in ways.items()
    }
    total_by_way = dict.fromkeys(ways, 0.0)
    for number in range(count):
        for way, connection in connection_by_way.items():
            total_by_way[way] += _timed(connection, kind, str(number))
    for connection in connection_by_way.values():
        connection.close()
    return total_by_way


def _upload_slopes(system: System) -> Iterator[Slope]:
    runs: dict[str, list[Point]] = {}
    for size in UPLOAD_MB:
        kind = Kind('upload', 'POST', '/scans/photo', bytes(size * MB))
        own = _upload_run(system, COORDINATOR, kind)
        hop = _upload_run(system, OTHER, kind)
        for name, values in (
            ('upload_own_us_per_mb', own[COORDINATOR]),
            ('upload_entry_us_per_mb', hop[OTHER]),
            ('upload_coordinator_us_per_mb', hop[COORDINATOR]),
            ('upload_own_latency_us_per_mb', own['latency']),
            ('upload_hop_latency_us_per_mb', hop['latency']),
        ):
            runs.setdefault(name, []).append(_point(size, values))
    for name, points in runs.items():
        yield fit(name, 'us per MB', f'one upload, mean of {UPLOADS}', points)


def _upload_run(system: System, daemon: str, kind: Kind) -> dict[str, list[float]]:
    used: dict[str, list[float]] = {COORDINATOR: [], OTHER: [], 'latency': []}
    for _ in range(3):
        spent = _Spent(system)
        times = _send(system, daemon, kind, UPLOADS, 1)
        for name in (COORDINATOR, OTHER):
            used[name].append(spent.beyond_idle_us(name) / UPLOADS)
        used['latency'].append(statistics.median(times) * 1e6)
    return used


def _throughput(system: System, kind: Kind, daemon: str, way: str) -> Slope:
    """Count what is answered in a fixed time, by callers; a flat line is saturated."""
    points = []
    for callers in SATURATING_CALLERS:
        rates = [_rate(system, daemon, kind, callers) for _ in range(2)]
        points.append(_point(callers, rates))
    about = f'{kind.name}: requests a second answered through one daemon, way {way}'
    return fit(f'{kind.name}_{way}_per_s', 'requests a second per caller', about, points)


def _rate(system: System, daemon: str, kind: Kind, callers: int) -> float:
    end = time.monotonic() + SATURATING_S
    address = system.get_callers_address(daemon)
    with ThreadPoolExecutor(callers) as executor:
        jobs = [executor.submit(_until, address, kind, n, end) for n in range(callers)]
        return sum(job.result() for job in jobs) / SATURATING_S


def _until(address: str, kind: Kind, caller: int, end: float) -> int:
    connection = _connect(address)
    done = 0
    while time.monotonic() < end:
        done += _request(connection, kind, f'{caller}-{done}')
    connection.close()
    return done


def _send(system: System, daemon: str, kind: Kind, count: int, callers: int) -> list[float]:
    """Send requests and return how long each took, in seconds."""
    address = system.get_callers_address(daemon)
    with ThreadPoolExecutor(callers) as executor:
        share = count // callers
        jobs = [executor.submit(_series, address, kind, share) for _ in range(callers)]
        return [seconds for job in jobs for seconds in job.result()]


def _series(address: str, kind: Kind, count: int) -> list[float]:
    connection = _connect(address)
    times = [_timed(connection, kind, str(number)) for number in range(count)]
    connection.close()
    return times


def _timed(connection: http.client.HTTPConnection, kind: Kind, key: str) -> float:
    """Return the seconds of the try that was answered; a refusal is no answer."""
    begun = time.perf_counter()
    while not _request(connection, kind, key):
        begun = time.perf_counter()
    return time.perf_counter() - begun


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(':')
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


def _request(connection: http.client.HTTPConnection, kind: Kind, key: str) -> bool:
    """Send one request; true if it was answered and not refused."""
    headers = {'Coltsfootstair-Key': f'key-{key}'} if kind is LOOKUP else {}
    connection.request(kind.method, kind.path, kind.body or None, headers)
    response = connection.getresponse()
    response.read()
    return response.status == 200
