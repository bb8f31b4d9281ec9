"""Measures what a daemon costs, and what the way through a second one adds.

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

CALLERS = 8
SMALL_BYTES = 200
UPLOAD_BYTES = 1_000_000
UPLOAD_SHARE = 10
"""One upload is sent for so many other requests."""

SWITCH_INTERVAL_S = 0.0005
_CENTRES = ('here',)

PLAN = Plan(
    (
        Service('lookups', True, ServiceKind.LOOKUP, _CENTRES),
        Service('bookings', False, ServiceKind.BOOKING, _CENTRES),
        Service('scans', False, ServiceKind.UPLOAD, _CENTRES),
    ),
    tuple(
        ServerPlan(f'{name}-1', name, 'here', slots=CALLERS, service_ms=0.0)
        for name in ('lookups', 'bookings', 'scans')
    ),
    (DaemonPlan('daemon-1', 'here'), DaemonPlan('daemon-2', 'here')),
)

app = cyclopts.App(help='Measure the cost of a daemon and of an extra hop.')


class _Way(NamedTuple):
    """One way to a backend server."""

    name: str
    address: str


@app.default
def extra_hop(*, requests: int = 1000) -> None:
    """Measure and print a table.

    :param requests: how many are sent for each row; a tenth of it for uploads
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    rows = []
    with Processes(PLAN) as processes:
        processes.start()
        for service in PLAN.services:
            for way in _ways(processes, service.name):
                rows.append(
                    (service.name, way.name, *_measure(way.address, service, requests))
                )
    heads = ('service', 'way', 'p50 ms', 'p99 ms', f'requests a second, {CALLERS} callers')
    print(render_table('One request at a time, then many', heads, rows))


def _ways(processes: Processes, service: str) -> list[_Way]:
    server = f'{service}-1'
    coordinator = processes.coordinator(server)
    address_by_name = dict(
        zip((each.name for each in PLAN.daemons), processes.daemons(), strict=True)
    )
    relayed = next(name for name in address_by_name if name != coordinator)
    return [
        _Way('straight to the backend server', processes.address(server)),
        _Way('through its coordinator', address_by_name[coordinator]),
        _Way('through another daemon', address_by_name[relayed]),
    ]


def _measure(address: str, service: Service, requests: int) -> tuple[str, str, str]:
    upload = service.kind is ServiceKind.UPLOAD
    count = requests // UPLOAD_SHARE if upload else requests
    alone = _send(address, service, count, 'alone')
    clock = SystemClock()
    began_at = clock.monotonic()
    with ThreadPoolExecutor(CALLERS) as executor:
        parts = [
            executor.submit(_send, address, service, count // CALLERS, f'caller-{number}')
            for number in range(CALLERS)
        ]
        sent = sum(len(part.result()) for part in parts)
    rate = sent / (clock.monotonic() - began_at)
    p50, p99 = compute_latencies_ms(alone, 50, 99)
    return f'{p50:.2f}', f'{p99:.2f}', f'{rate:.0f}'


def _send(address: str, service: Service, count: int, name: str) -> list[Sample]:
    clock = SystemClock()
    caller = Caller(clock)
    upload = service.kind is ServiceKind.UPLOAD
    body = bytes(UPLOAD_BYTES if upload else SMALL_BYTES)
    samples = []
    for number in range(count):
        booking = service.kind is ServiceKind.BOOKING
        operation_id = f'{address}-{name}-{number}' if booking else ''
        request = Request(service.name, f'key-{number}', operation_id, body, len(body))
        sent_at = clock.monotonic()
        caller.connect(address)
        answer = caller.send(address, request)
        if not answer.served_by:
            raise RuntimeError(f'{service.name} through {address}: {answer}')
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
