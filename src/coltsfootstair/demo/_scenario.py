"""The system, the loads and the interventions of the demo."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.demo._plan import DaemonPlan, Plan, ServerPlan
from coltsfootstair.demo._system import System
from coltsfootstair.document import Service, ServiceKind
from coltsfootstair.load import BookingLoad, Load, LoadGenerator, LookupLoad, UploadLoad

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.demo._run_record import RunRecord

__all__ = ['PLAN', 'run_demo']

SEED = 1
SLOW_MS = 45.0
"""Milliseconds added to each request of the slowed server; 5 ms become ten times as long."""

_DATA_CENTRES = ('north', 'south')
_KILLED_SERVER = 'lookup-north-2'
_SLOWED_SERVER = 'lookup-north-1'

PLAN = Plan(
    (
        Service('slots', True, ServiceKind.LOOKUP, _DATA_CENTRES),
        Service('bookings', False, ServiceKind.BOOKING, _DATA_CENTRES),
        Service('scans', False, ServiceKind.UPLOAD, _DATA_CENTRES),
    ),
    tuple(
        ServerPlan(f'{name}-{data_centre}-{number}', service, data_centre)
        for service, name, count in (
            ('slots', 'lookup', 2),
            ('bookings', 'booking', 2),
            ('scans', 'scan', 1),
        )
        for data_centre in _DATA_CENTRES
        for number in range(1, count + 1)
    ),
    (
        DaemonPlan('north-1', 'north'),
        DaemonPlan('south-1', 'south'),
        DaemonPlan('south-2', 'south'),
    ),
)

# All daemons and stand-ins share one interpreter, so the load is small.
LOADS: tuple[Load, ...] = (
    LookupLoad('slots', rate_per_s=20.0),
    BookingLoad('bookings', rate_per_s=5.0),
    UploadLoad('scans', uploader_count=1, size_bytes=2_000_000, bytes_per_s=1_000_000.0),
)


class _Step(NamedTuple):
    """An intervention, due after a share of the run's duration."""

    after_share: float
    intervene: Callable[[System], None]


_STEPS = (
    _Step(0.15, lambda system: system.take_out('south')),
    _Step(0.45, lambda system: system.bring_back('south')),
    _Step(0.65, lambda system: system.slow_server(_SLOWED_SERVER, SLOW_MS)),
    _Step(0.75, lambda system: system.slow_server(_SLOWED_SERVER, 0.0)),
    _Step(0.8, lambda system: system.kill_server(_KILLED_SERVER)),
)


def run_demo(duration_s: float, clock: Clock) -> RunRecord:
    """Run the demo, with a load that lasts for ``duration_s``.

    :raises NotServingError: the system did not serve in time
    """
    system = System(PLAN, clock)
    try:
        system.start()
        started_at = clock.monotonic()
        load = LoadGenerator(system.list_caller_addresses, LOADS, duration_s, SEED, clock)
        load.start()
        _run_steps(system, started_at, duration_s, clock)
        return system.build_run_record(load.join(), started_at)
    finally:
        system.stop()


def _run_steps(system: System, started_at: float, duration_s: float, clock: Clock) -> None:
    # Never set: only waited for, to sleep.
    pause = threading.Event()
    for step in _STEPS:
        due_at = started_at + step.after_share * duration_s
        pause.wait(max(0.0, due_at - clock.monotonic()))
        step.intervene(system)
