"""Measures the cost of one daemon and of the hop through a second one.

Run it as ``python -m bench.extra_hop``.
"""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import cyclopts

from bench._processes import Processes
from coltsfootstair.clock import SystemClock
from coltsfootstair.demo import DaemonPlan, Plan, ServerPlan, render_table
from coltsfootstair.document import Service, ServiceKind
from coltsfootstair.load import Caller, Outcome, Request, Sample, compute_latencies_ms

CALLER_COUNT = 8
SMALL_BODY_BYTES = 200
UPLOAD_BODY_BYTES = 1_000_000
REQUESTS_PER_UPLOAD = 10
"""Number of other requests for each upload."""

SWITCH_INTERVAL_S = 0.0005
"""The interpreter's switch interval, in seconds.

It is shorter than the default of 0.005 s, so that the threads wait less for each other.
"""

_DATA_CENTRES = ('here',)

PLAN = Plan(
    (
        Service('lookups', True, ServiceKind.LOOKUP, _DATA_CENTRES),
        Service('bookings', False, ServiceKind.BOOKING, _DATA_CENTRES),
        Service('scans', False, ServiceKind.UPLOAD, _DATA_CENTRES),
    ),
    tuple(
        ServerPlan(f'{name}-1', name, 'here', slots=CALLER_COUNT, service_ms=0.0)
        for name in ('lookups', 'bookings', 'scans')
    ),
    (DaemonPlan('daemon-1', 'here'), DaemonPlan('daemon-2', 'here')),
)

app = cyclopts.App(help='Measure the cost of a daemon and of an extra hop.')


class _Path(NamedTuple):
    """A path to a backend server: the address that requests on it are sent to."""

    name: str
    address: str


@app.default
def run(*, requests: int = 1000) -> None:
    """Measure and print a table.

    :param requests: requests to send for each row of the table; a tenth of it for uploads
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    rows = []
    with Processes(PLAN) as processes:
        processes.start()
        for service in PLAN.services:
            for path in _list_paths(processes, service.name):
                rows.append(
                    (service.name, path.name, *_measure_path(path.address, service, requests))
                )
    headings = (
        'service',
        'path',
        'p50 ms',
        'p99 ms',
        f'requests a second, {CALLER_COUNT} callers',
    )
    print(
        render_table(
            'Latency of one request at a time, and rate of concurrent requests', headings, rows
        )
    )


def _list_paths(processes: Processes, service: str) -> list[_Path]:
    server = f'{service}-1'
    coordinator = processes.find_coordinator(server)
    address_by_name = dict(
        zip(
            (daemon.name for daemon in PLAN.daemons),
            processes.list_caller_addresses(),
            strict=True,
        )
    )
    other_daemon = next(name for name in address_by_name if name != coordinator)
    return [
        _Path('straight to the backend server', processes.get_address(server)),
        _Path('through its coordinator', address_by_name[coordinator]),
        _Path('through another daemon', address_by_name[other_daemon]),
    ]


def _measure_path(address: str, service: Service, requests: int) -> tuple[str, str, str]:
    is_upload = service.kind is ServiceKind.UPLOAD
    request_count = requests // REQUESTS_PER_UPLOAD if is_upload else requests
    sequential_samples = _send_requests(address, service, request_count, 'alone')
    clock = SystemClock()
    started_at = clock.monotonic()
    with ThreadPoolExecutor(CALLER_COUNT) as executor:
        futures = [
            executor.submit(
                _send_requests,
                address,
                service,
                request_count // CALLER_COUNT,
                f'caller-{number}',
            )
            for number in range(CALLER_COUNT)
        ]
        answered_count = sum(len(future.result()) for future in futures)
    rate_per_s = answered_count / (clock.monotonic() - started_at)
    p50, p99 = compute_latencies_ms(sequential_samples, 50, 99)
    return f'{p50:.2f}', f'{p99:.2f}', f'{rate_per_s:.0f}'


def _send_requests(
    address: str, service: Service, request_count: int, caller_name: str
) -> list[Sample]:
    clock = SystemClock()
    caller = Caller(clock)
    is_upload = service.kind is ServiceKind.UPLOAD
    body = bytes(UPLOAD_BODY_BYTES if is_upload else SMALL_BODY_BYTES)
    samples = []
    for number in range(request_count):
        is_booking = service.kind is ServiceKind.BOOKING
        operation_id = f'{address}-{caller_name}-{number}' if is_booking else ''
        request = Request(service.name, f'key-{number}', operation_id, body, len(body))
        sent_at = clock.monotonic()
        caller.connect(address)
        answer = caller.send(address, request)
        if not answer.served_by:
            raise RuntimeError(
                f'no backend server answered {service.name} through {address}: {answer}'
            )
        # Any answer of a backend server counts as complete: one that did not pass through a
        # daemon has no result code, so ``Caller`` classifies it as a refusal.
        samples.append(
            Sample(
                service.name,
                request.key,
                operation_id,
                answer.request_id,
                sent_at,
                clock.monotonic() - sent_at,
                Outcome.COMPLETE,
                answer.result,
                '',
                address,
            )
        )
    caller.close()
    return samples


if __name__ == '__main__':
    app()
