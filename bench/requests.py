"""Measures requests under load and faults: ``python -m bench.requests [PART ...]``.

The parts are ``policy`` (a model of one server), ``stragglers``, ``cold``, ``unknown`` and
``uploads``; all by default. ``--full`` uses the sizes of the brief. Run in a checkout of an
earlier version, it measures that one.
"""

from __future__ import annotations

import argparse
import json
import random
import signal
import threading
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from tests.scenarios.processes import System, build_document_text

from bench._straggler_model import measure_policies
from coltsfootstair.clock import SystemClock
from coltsfootstair.load import (
    BookingLoad,
    LoadGenerator,
    LookupLoad,
    Outcome,
    UploadLoad,
    compute_latencies_ms,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from coltsfootstair.load import Load, Sample

SERVICES = [
    ('lookups', True, 'lookup'),
    ('bookings', False, 'booking'),
    ('scans', False, 'upload'),
]
PLACES = ['north', 'south', 'east']
SEED = 7
SLOW_MS = 45
SLOW_S = (2.0, 20.0)
RESULT_UNKNOWN = (400, 402)


class Size(NamedTuple):
    """How large the measured system is.

    :param upload_bytes: bytes of each of the crews' bodies
    """

    daemons: int
    lookup_servers: int
    booking_servers: int
    scan_servers: int
    lookups_per_s: float
    bookings_per_s: float
    seconds: float
    upload_bytes: int
    crews: int = 8
    crew_bytes_per_s: float = 200_000


SMALL = Size(4, 6, 3, 4, 150, 30, 20, 5_000_000)
FULL = Size(9, 17, 8, 8, 400, 80, 60, 50_000_000)


def main() -> None:
    """Run the parts that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*', default=list(PART_BY_NAME))
    parser.add_argument('--full', action='store_true')
    arguments = parser.parse_args()
    for name in arguments.parts:
        result = PART_BY_NAME[name](FULL if arguments.full else SMALL)
        print(json.dumps({'part': name, **result}), flush=True)


def measure_stragglers(size: Size) -> dict[str, object]:
    """Compare lookups with no slow server, and with some slowed 10 times at random."""
    return {
        'no slow server': _lookups(size, lambda system, stop: None),
        'slowed': _lookups(size, _slow_at_random),
    }


def _lookups(
    size: Size, disturb: Callable[[System, threading.Event], None]
) -> dict[str, object]:
    with _running(size) as system:
        _load(system, size, [LookupLoad('lookups', size.lookups_per_s)], 5.0)
        stop = threading.Event()
        disturber = threading.Thread(target=disturb, args=(system, stop), daemon=True)
        disturber.start()
        load = LookupLoad('lookups', size.lookups_per_s)
        samples = _load(system, size, [load], size.seconds)
        stop.set()
        disturber.join()
        return _summary(samples)


def _slow_at_random(system: System, stop: threading.Event) -> None:
    source = random.Random(SEED)
    names = [name for name in system.address_by_backend_server if name.startswith('lookup')]
    for name in names:
        system.set_fault(name, load_report='lie')
    while not stop.is_set():
        slowed = source.sample(names, max(1, len(names) // 6))
        for name in slowed:
            system.set_fault(name, slow_ms=SLOW_MS)
        stop.wait(source.uniform(*SLOW_S))
        for name in slowed:
            system.set_fault(name, slow_ms=0)
        stop.wait(1.0)


def measure_cold(size: Size) -> dict[str, object]:
    """Count requests beyond what cold servers bear, with true and with lying reports."""
    result: dict[str, object] = {}
    for words, lie in (('reports true', False), ('reports lie', True)):
        with _running(size) as system:
            load = [LookupLoad('lookups', size.lookups_per_s)]
            _load(system, size, load, 10.0)
            names = [n for n in system.address_by_backend_server if n.startswith('lookup')]
            for name in names:
                system.set_fault(name, cold=True, **({'load_report': 'lie'} if lie else {}))
            samples = _load(system, size, load, 10.0)
            beyond = [system.read_truth(name)['beyond_cold'] for name in names]
            result[words] = {'beyond cold by server': beyond, **_summary(samples)}
    return result


def measure_unknown(size: Size) -> dict[str, object]:
    """Count outcomes of bookings while daemons are lost one after the other."""
    with _running(size) as system:
        killed: list[str] = []

        def lose_daemons() -> None:
            for number in (1, 2):
                if stop.wait(size.seconds / 4):
                    return
                name = f'd{number}'
                killed.append(name)
                system.process_by_name[name].send_signal(signal.SIGKILL)

        stop = threading.Event()
        loser = threading.Thread(target=lose_daemons, daemon=True)
        loser.start()
        load = BookingLoad('bookings', size.bookings_per_s)
        samples = _load(system, size, [load], size.seconds, without=killed)
        stop.set()
        loser.join()
        names = [n for n in system.address_by_backend_server if n.startswith('booking')]
        ran = Counter(
            one['operation_id']
            for name in names
            for one in system.read_truth(name)['requests']
            if one['operation_id']
        )
        not_run = {s.operation_id for s in samples if s.ran == 'no'}
        whole = {s.operation_id for s in samples if s.outcome is Outcome.COMPLETE}
        unknown = {s.operation_id for s in samples if s.result in RESULT_UNKNOWN} - whole
        return {
            'ran twice': sum(count > 1 for count in ran.values()),
            'not run, but ran': len({i for i in not_run if i in ran} - whole),
            'operations': len({s.operation_id for s in samples}),
            'unknown in the end': len(unknown),
            **_summary(samples),
        }


def measure_uploads(size: Size) -> dict[str, object]:
    """Upload from slow crews through one daemon while it serves lookups."""
    with _running(size) as system:
        lookups = LookupLoad('lookups', size.lookups_per_s / 3)
        alone = _load(system, size, [lookups], 10.0, only='d1')
        upload_s = size.upload_bytes / size.crew_bytes_per_s
        crews = UploadLoad('scans', size.crews, size.upload_bytes, size.crew_bytes_per_s)
        samples = _load(system, size, [lookups, crews], upload_s, only='d1')
        beside = [s for s in samples if s.service == 'lookups']
        uploads = [s for s in samples if s.service == 'scans']
        return {
            'bytes of each upload': size.upload_bytes,
            'lookups alone': _summary(alone),
            'lookups beside': _summary(beside),
            'uploads': _summary(uploads),
            'peak memory of the daemon, MB': _peak_mb(system.process_by_name['d1'].pid),
        }


PART_BY_NAME: dict[str, Callable[[Size], dict[str, object]]] = {
    'policy': lambda size: measure_policies(),
    'stragglers': measure_stragglers,
    'cold': measure_cold,
    'unknown': measure_unknown,
    'uploads': measure_uploads,
}


def _running(size: Size) -> System:
    """Start a system of ``size`` and wait until it serves."""
    system = System()
    try:
        system.start_store()
        servers = list(_servers(size))
        for name, _, place in servers:
            system.start_backend_server(name, place)
        daemons = [f'd{number}' for number in range(1, size.daemons + 1)]
        for number, name in enumerate(daemons):
            system.start_daemon(name, PLACES[number % len(PLACES)])
        system.wait_ready()
        addressed = [(*item, system.address_by_backend_server[item[0]]) for item in servers]
        system.apply_document('d1', build_document_text(PLACES, SERVICES, addressed))
        paths = [('/lookups/x', f'k{n}') for n in range(20)]
        system.wait_served(daemons, [*paths, ('/bookings/x', ''), ('/scans/x', '')])
    except BaseException:
        system.__exit__()
        raise
    return system


def _servers(size: Size) -> Iterable[tuple[str, str, str]]:
    counts = (size.lookup_servers, size.booking_servers, size.scan_servers)
    for (service, _, _), count in zip(SERVICES, counts, strict=True):
        for number in range(count):
            yield f'{service[:-1]}-{number}', service, PLACES[number % len(PLACES)]


def _load(
    system: System,
    size: Size,
    loads: Sequence[Load],
    seconds: float,
    *,
    without: list[str] | None = None,
    only: str = '',
) -> list[Sample]:
    names = [only] if only else [f'd{number}' for number in range(1, size.daemons + 1)]
    address_by_name = {name: system.get_callers_address(name) for name in names}

    def daemons() -> list[str]:
        lost = without or []
        return [address for name, address in address_by_name.items() if name not in lost]

    generator = LoadGenerator(daemons, loads, seconds, SEED, SystemClock())
    generator.start()
    return generator.join()


def _summary(samples: Iterable[Sample]) -> dict[str, object]:
    samples = list(samples)
    p50, p99, p999 = compute_latencies_ms(samples, 50, 99, 99.9)
    outcomes = Counter(sample.outcome.value for sample in samples)
    codes = Counter(s.result for s in samples if s.outcome is Outcome.REFUSED)
    return {
        'requests': len(samples),
        'p50 ms': p50,
        'p99 ms': p99,
        'p99.9 ms': p999,
        'outcomes': dict(outcomes),
        'refusals by code': {str(code): count for code, count in codes.items()},
    }


def _peak_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


if __name__ == '__main__':
    main()
