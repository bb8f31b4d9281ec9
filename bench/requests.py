"""Measures requests under load and faults: ``python -m bench.requests [PART ...]``.

The parts are ``policy`` (a simulation of one backend server), ``stragglers``, ``cold``,
``unknown`` and ``uploads``; all by default. ``--full`` uses the sizes that the requirements
name. Run it in a checkout of an earlier version to measure that version.
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
DATA_CENTRES = ['north', 'south', 'east']
SEED = 7
SLOWDOWN_MS = 45
"""Milliseconds added to each request of a slowed server; 5 ms become ten times as long."""

SLOWDOWN_DURATION_RANGE_S = (2.0, 20.0)
"""Shortest and longest slowdown, in seconds."""

OUTCOME_UNKNOWN_CODES = (400, 402)
"""Result codes that leave open whether the request ran."""


class SystemSize(NamedTuple):
    """The size of the measured system and of its load.

    :param duration_s: duration of a measurement
    :param upload_bytes: size of each upload
    :param uploader_count: callers that upload at the same time
    :param uploader_bytes_per_s: rate at which each of them sends
    """

    daemon_count: int
    lookup_server_count: int
    booking_server_count: int
    scan_server_count: int
    lookups_per_s: float
    bookings_per_s: float
    duration_s: float
    upload_bytes: int
    uploader_count: int = 8
    uploader_bytes_per_s: float = 200_000


# Numbers of daemons and of lookup, booking and scan servers; lookups and bookings a second;
# seconds of a measurement; bytes of an upload.
SMALL_SIZE = SystemSize(4, 6, 3, 4, 150, 30, 20, 5_000_000)
FULL_SIZE = SystemSize(9, 17, 8, 8, 400, 80, 60, 50_000_000)


def main() -> None:
    """Run the parts that the command line names and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*', default=list(MEASUREMENT_BY_NAME))
    parser.add_argument('--full', action='store_true')
    arguments = parser.parse_args()
    for name in arguments.parts:
        result = MEASUREMENT_BY_NAME[name](FULL_SIZE if arguments.full else SMALL_SIZE)
        print(json.dumps({'part': name, **result}), flush=True)


def measure_stragglers(size: SystemSize) -> dict[str, object]:
    """Compare lookups without slow backend servers and with some 10 times as slow.

    The backend servers are slow at random times.
    """
    return {
        'no slow server': _measure_lookups(size, lambda system, stop: None),
        'slowed': _measure_lookups(size, _slow_servers_at_random),
    }


def _measure_lookups(
    size: SystemSize, disturb: Callable[[System, threading.Event], None]
) -> dict[str, object]:
    with _start_system(size) as system:
        _run_load(system, size, [LookupLoad('lookups', size.lookups_per_s)], 5.0)
        stop = threading.Event()
        disturbing_thread = threading.Thread(target=disturb, args=(system, stop), daemon=True)
        disturbing_thread.start()
        load = LookupLoad('lookups', size.lookups_per_s)
        samples = _run_load(system, size, [load], size.duration_s)
        stop.set()
        disturbing_thread.join()
        return _summarise(samples)


def _slow_servers_at_random(system: System, stop: threading.Event) -> None:
    random_source = random.Random(SEED)
    names = [name for name in system.address_by_backend_server if name.startswith('lookup')]
    for name in names:
        system.set_fault(name, load_report='lie')
    while not stop.is_set():
        # A sixth of the servers at a time.
        slowed_servers = random_source.sample(names, max(1, len(names) // 6))
        for name in slowed_servers:
            system.set_fault(name, slow_ms=SLOWDOWN_MS)
        stop.wait(random_source.uniform(*SLOWDOWN_DURATION_RANGE_S))
        for name in slowed_servers:
            system.set_fault(name, slow_ms=0)
        stop.wait(1.0)


def measure_cold(size: SystemSize) -> dict[str, object]:
    """Count requests beyond the capacity of cold backend servers.

    One case has honest load reports, the other has reports that hide the load.
    """
    result: dict[str, object] = {}
    for case, reports_lie in (('reports true', False), ('reports lie', True)):
        with _start_system(size) as system:
            load = [LookupLoad('lookups', size.lookups_per_s)]
            _run_load(system, size, load, 10.0)
            names = [
                name for name in system.address_by_backend_server if name.startswith('lookup')
            ]
            for name in names:
                system.set_fault(
                    name, cold=True, **({'load_report': 'lie'} if reports_lie else {})
                )
            samples = _run_load(system, size, load, 10.0)
            requests_beyond_cold = [system.read_truth(name)['beyond_cold'] for name in names]
            result[case] = {
                'beyond cold by server': requests_beyond_cold,
                **_summarise(samples),
            }
    return result


def measure_unknown(size: SystemSize) -> dict[str, object]:
    """Count outcomes of bookings while daemons are killed one after the other."""
    with _start_system(size) as system:
        killed_daemons: list[str] = []

        def kill_daemons() -> None:
            for number in (1, 2):
                if stop.wait(size.duration_s / 4):
                    return
                name = f'd{number}'
                killed_daemons.append(name)
                system.process_by_name[name].send_signal(signal.SIGKILL)

        stop = threading.Event()
        killer_thread = threading.Thread(target=kill_daemons, daemon=True)
        killer_thread.start()
        load = BookingLoad('bookings', size.bookings_per_s)
        samples = _run_load(
            system, size, [load], size.duration_s, killed_daemons=killed_daemons
        )
        stop.set()
        killer_thread.join()
        names = [
            name for name in system.address_by_backend_server if name.startswith('booking')
        ]
        run_count_by_operation = Counter(
            request['operation_id']
            for name in names
            for request in system.read_truth(name)['requests']
            if request['operation_id']
        )
        not_run_operations = {sample.operation_id for sample in samples if sample.ran == 'no'}
        complete_operations = {
            sample.operation_id for sample in samples if sample.outcome is Outcome.COMPLETE
        }
        unknown_operations = {
            sample.operation_id for sample in samples if sample.result in OUTCOME_UNKNOWN_CODES
        } - complete_operations
        return {
            'ran twice': sum(count > 1 for count in run_count_by_operation.values()),
            'not run, but ran': len(
                {
                    operation_id
                    for operation_id in not_run_operations
                    if operation_id in run_count_by_operation
                }
                - complete_operations
            ),
            'operations': len({sample.operation_id for sample in samples}),
            'unknown in the end': len(unknown_operations),
            **_summarise(samples),
        }


def measure_uploads(size: SystemSize) -> dict[str, object]:
    """Measure lookups through one daemon, alone and beside slow uploads."""
    with _start_system(size) as system:
        lookups = LookupLoad('lookups', size.lookups_per_s / 3)
        lookups_alone = _run_load(system, size, [lookups], 10.0, only_daemon='d1')
        upload_s = size.upload_bytes / size.uploader_bytes_per_s
        upload_load = UploadLoad(
            'scans',
            size.uploader_count,
            size.upload_bytes,
            size.uploader_bytes_per_s,
        )
        samples = _run_load(system, size, [lookups, upload_load], upload_s, only_daemon='d1')
        lookups_beside = [sample for sample in samples if sample.service == 'lookups']
        uploads = [sample for sample in samples if sample.service == 'scans']
        return {
            'bytes of each upload': size.upload_bytes,
            'lookups alone': _summarise(lookups_alone),
            'lookups beside': _summarise(lookups_beside),
            'uploads': _summarise(uploads),
            # The value is in MiB, whatever the key says.
            'peak memory of the daemon, MB': _read_peak_memory_mib(
                system.process_by_name['d1'].pid
            ),
        }


MEASUREMENT_BY_NAME: dict[str, Callable[[SystemSize], dict[str, object]]] = {
    'policy': lambda size: measure_policies(),
    'stragglers': measure_stragglers,
    'cold': measure_cold,
    'unknown': measure_unknown,
    'uploads': measure_uploads,
}


def _start_system(size: SystemSize) -> System:
    """Start a system of ``size`` and wait until it serves requests."""
    system = System()
    try:
        system.start_store()
        servers = list(_list_servers(size))
        for name, _, data_centre in servers:
            system.start_backend_server(name, data_centre)
        daemon_names = [f'd{number}' for number in range(1, size.daemon_count + 1)]
        for number, name in enumerate(daemon_names):
            system.start_daemon(name, DATA_CENTRES[number % len(DATA_CENTRES)])
        system.wait_ready()
        servers_with_address = [
            (*item, system.address_by_backend_server[item[0]]) for item in servers
        ]
        system.apply_document(
            'd1', build_document_text(DATA_CENTRES, SERVICES, servers_with_address)
        )
        paths = [('/lookups/x', f'k{number}') for number in range(20)]
        system.wait_until_served(daemon_names, [*paths, ('/bookings/x', ''), ('/scans/x', '')])
    except BaseException:
        system.__exit__()
        raise
    return system


def _list_servers(size: SystemSize) -> Iterable[tuple[str, str, str]]:
    counts = (size.lookup_server_count, size.booking_server_count, size.scan_server_count)
    for (service, _, _), count in zip(SERVICES, counts, strict=True):
        for number in range(count):
            yield f'{service[:-1]}-{number}', service, DATA_CENTRES[number % len(DATA_CENTRES)]


def _run_load(
    system: System,
    size: SystemSize,
    loads: Sequence[Load],
    duration_s: float,
    *,
    killed_daemons: list[str] | None = None,
    only_daemon: str = '',
) -> list[Sample]:
    names = (
        [only_daemon]
        if only_daemon
        else [f'd{number}' for number in range(1, size.daemon_count + 1)]
    )
    address_by_name = {name: system.get_callers_address(name) for name in names}

    def list_caller_addresses() -> list[str]:
        killed_names = killed_daemons or []
        return [
            address for name, address in address_by_name.items() if name not in killed_names
        ]

    generator = LoadGenerator(list_caller_addresses, loads, duration_s, SEED, SystemClock())
    generator.start()
    return generator.join()


def _summarise(samples: Iterable[Sample]) -> dict[str, object]:
    samples = list(samples)
    p50, p99, p999 = compute_latencies_ms(samples, 50, 99, 99.9)
    outcomes = Counter(sample.outcome.value for sample in samples)
    code_counts = Counter(
        sample.result for sample in samples if sample.outcome is Outcome.REFUSED
    )
    return {
        'requests': len(samples),
        'p50 ms': p50,
        'p99 ms': p99,
        'p99.9 ms': p999,
        'outcomes': dict(outcomes),
        'refusals by code': {str(code): count for code, count in code_counts.items()},
    }


def _read_peak_memory_mib(pid: int) -> float:
    """Return the greatest resident memory of a process so far, in MiB; 0 if unknown."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


if __name__ == '__main__':
    main()
