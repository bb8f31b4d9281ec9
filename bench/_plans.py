"""The two deployments at the sizes of the brief, and the load on them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from coltsfootstair.demo import DaemonPlan, Plan, ServerPlan
from coltsfootstair.document import Service, ServiceKind
from coltsfootstair.load import BookingLoad, Load, LookupLoad, UploadLoad

__all__ = ['DEPLOYMENTS', 'SERVICE_MS', 'Deployment']

SERVICE_MS = 10.0
"""How long a request takes a backend server that is not slowed, in milliseconds."""

UNCHECKED_EVERY = 4
"""One in so many backend servers that own no keys does not check who orders it.

Those that own keys all check, since the time for which a key has no owner is read off
the grants that they hold.
"""


class Deployment(NamedTuple):
    """A plan and the load on it.

    :param leaving: the data centre that is taken out and brought back
    :param lookups: the service whose latency is measured
    """

    name: str
    plan: Plan
    loads: tuple[Load, ...]
    leaving: str
    lookups: str


class _Kind(NamedTuple):
    """A service and how many backend servers it has."""

    service: Service
    servers: int


def _plan(
    data_centres: Sequence[str], kinds: Sequence[_Kind], daemons: int, connections: int
) -> Plan:
    servers = []
    for kind in kinds:
        for number in range(kind.servers):
            servers.append(
                ServerPlan(
                    f'{kind.service.name}-{number + 1}',
                    kind.service.name,
                    data_centres[number % len(data_centres)],
                    connections=connections,
                    checks_grants=kind.service.divided_by_key
                    or bool((number + 1) % UNCHECKED_EVERY),
                    service_ms=SERVICE_MS,
                )
            )
    return Plan(
        tuple(kind.service for kind in kinds),
        tuple(servers),
        tuple(
            DaemonPlan(f'daemon-{number + 1}', data_centres[number % len(data_centres)])
            for number in range(daemons)
        ),
    )


_LAKES = ('lake-east', 'lake-north', 'lake-south', 'lake-west')
_TUNNELS = ('bole', 'kera', 'piassa')

LAKESHORE = Deployment(
    'lakeshore',
    _plan(
        _LAKES,
        (
            _Kind(Service('lookups', True, ServiceKind.LOOKUP, _LAKES), 17),
            _Kind(Service('bookings', False, ServiceKind.BOOKING, _LAKES), 8),
            _Kind(Service('scans', False, ServiceKind.UPLOAD, _LAKES), 8),
        ),
        daemons=9,
        connections=110,
    ),
    (
        LookupLoad('lookups', rate_per_s=120.0, key_count=2000),
        BookingLoad('bookings', rate_per_s=20.0),
        UploadLoad('scans', uploader_count=4, size_bytes=2_000_000, bytes_per_s=400_000.0),
    ),
    'lake-south',
    'lookups',
)

TESFAYE = Deployment(
    'tesfaye',
    _plan(
        _TUNNELS,
        (
            _Kind(Service('calendar', True, ServiceKind.LOOKUP, _TUNNELS), 14),
            _Kind(Service('reservations', False, ServiceKind.BOOKING, _TUNNELS), 8),
            _Kind(Service('models', False, ServiceKind.UPLOAD, _TUNNELS), 6),
        ),
        daemons=8,
        connections=50,
    ),
    (
        LookupLoad('calendar', rate_per_s=120.0, key_count=2000),
        BookingLoad('reservations', rate_per_s=20.0),
        UploadLoad('models', uploader_count=4, size_bytes=2_000_000, bytes_per_s=400_000.0),
    ),
    'kera',
    'calendar',
)

DEPLOYMENTS = {each.name: each for each in (LAKESHORE, TESFAYE)}
