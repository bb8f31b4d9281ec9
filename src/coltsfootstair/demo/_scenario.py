"""What happens in the demo, and when."""

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

__all__ = ['PLAN', 'run']

SEED = 1
SLOW_MS = 45.0
"""What makes a request of 5 ms ten times as long, in milliseconds."""

_DATA_CENTRES = ('north', 'south')
_LOST = 'lookup-north-2'
_SLOWED = 'lookup-north-1'

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

# One interpreter runs every daemon and stand-in here, so the load is a small one.
LOADS: tuple[Load, ...] = (
    LookupLoad('slots', rate_per_s=20.0),
    BookingLoad('bookings', rate_per_s=5.0),
    UploadLoad('scans', uploader_count=1, size_bytes=2_000_000, bytes_per_s=1_000_000.0),
)


class _Step(NamedTuple):
    """Something done after a share of the run's time."""

    after: float
    act: Callable[[System], None]


_STEPS = (
    _Step(0.15, lambda system: system.take_out('south')),
    _Step(0.45, lambda system: system.bring_back('south')),
    _Step(0.65, lambda system: system.slow(_SLOWED, SLOW_MS)),
    _Step(0.75, lambda system: system.slow(_SLOWED, 0.0)),
    _Step(0.8, lambda system: system.lose(_LOST)),
)


def run(seconds: float, clock: Clock) -> RunRecord:
    """Run the demo for ``seconds``.

    :raises NotServingError: the system did not begin to serve
    """
    system = System(PLAN, clock)
    try:
        system.start()
        started_at = clock.monotonic()
        load = LoadGenerator(system.daemons, LOADS, seconds, SEED, clock)
        load.start()
        _act(system, started_at, seconds, clock)
        return system.observe(load.join(), started_at)
    finally:
        system.stop()


def _act(system: System, started_at: float, seconds: float, clock: Clock) -> None:
    pause = threading.Event()
    for step in _STEPS:
        due_at = started_at + step.after * seconds
        pause.wait(max(0.0, due_at - clock.monotonic()))
        step.act(system)
