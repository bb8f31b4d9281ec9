"""The two deployments at the sizes that the requirements name, and the load on them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from coltsfootstair.demo import DaemonPlan, Plan, ServerPlan
from coltsfootstair.document import Service, ServiceKind
from coltsfootstair.load import BookingLoad, Load, LookupLoad, UploadLoad

__all__ = ['DEPLOYMENTS', 'SERVICE_TIME_MS', 'Deployment']

SERVICE_TIME_MS = 10.0
"""Time that a request takes at a backend server that is not slowed down."""

UNCHECKED_SERVER_INTERVAL = 4
"""Of the backend servers that own no keys, one in this many does not check grants.

All backend servers that own keys check grants: the time for which a key has no owner is
determined from the grants that they have.
"""


class Deployment(NamedTuple):
    """The plan of a deployment and the load on it.

    :param taken_out_data_centre: the data centre that operators take out and bring back
    :param lookup_service: the service whose latency is measured
    """

    name: str
    plan: Plan
    loads: tuple[Load, ...]
    taken_out_data_centre: str
    lookup_service: str


class _ServiceSize(NamedTuple):
    """A service and the number of its backend servers."""

    service: Service
    server_count: int


def _make_plan(
    data_centres: Sequence[str],
    service_sizes: Sequence[_ServiceSize],
    daemon_count: int,
    connections_per_server: int,
) -> Plan:
    servers = []
    for size in service_sizes:
        for number in range(size.server_count):
            servers.append(
                ServerPlan(
                    f'{size.service.name}-{number + 1}',
                    size.service.name,
                    data_centres[number % len(data_centres)],
                    connections=connections_per_server,
                    checks_grants=size.service.divided_by_key
                    or bool((number + 1) % UNCHECKED_SERVER_INTERVAL),
                    service_ms=SERVICE_TIME_MS,
                )
            )
    return Plan(
        tuple(size.service for size in service_sizes),
        tuple(servers),
        tuple(
            DaemonPlan(f'daemon-{number + 1}', data_centres[number % len(data_centres)])
            for number in range(daemon_count)
        ),
    )


_LAKESHORE_DATA_CENTRES = ('lake-east', 'lake-north', 'lake-south', 'lake-west')
_TESFAYE_DATA_CENTRES = ('bole', 'kera', 'piassa')

LAKESHORE = Deployment(
    'lakeshore',
    _make_plan(
        _LAKESHORE_DATA_CENTRES,
        (
            _ServiceSize(
                Service('lookups', True, ServiceKind.LOOKUP, _LAKESHORE_DATA_CENTRES), 17
            ),
            _ServiceSize(
                Service('bookings', False, ServiceKind.BOOKING, _LAKESHORE_DATA_CENTRES), 8
            ),
            _ServiceSize(
                Service('scans', False, ServiceKind.UPLOAD, _LAKESHORE_DATA_CENTRES), 8
            ),
        ),
        daemon_count=9,
        connections_per_server=110,
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
    _make_plan(
        _TESFAYE_DATA_CENTRES,
        (
            _ServiceSize(
                Service('calendar', True, ServiceKind.LOOKUP, _TESFAYE_DATA_CENTRES), 14
            ),
            _ServiceSize(
                Service('reservations', False, ServiceKind.BOOKING, _TESFAYE_DATA_CENTRES), 8
            ),
            _ServiceSize(
                Service('models', False, ServiceKind.UPLOAD, _TESFAYE_DATA_CENTRES), 6
            ),
        ),
        daemon_count=8,
        connections_per_server=50,
    ),
    (
        LookupLoad('calendar', rate_per_s=120.0, key_count=2000),
        BookingLoad('reservations', rate_per_s=20.0),
        UploadLoad('models', uploader_count=4, size_bytes=2_000_000, bytes_per_s=400_000.0),
    ),
    'kera',
    'calendar',
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (LAKESHORE, TESFAYE)}
