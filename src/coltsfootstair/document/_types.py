"""The typed form of the operators' document."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ['BackendServer', 'DataCentre', 'Document', 'Service', 'ServiceKind', 'State']


class State(enum.StrEnum):
    """Whether operators allow a data centre or backend server to be given new work."""

    IN = 'in'
    OUT = 'out'


class ServiceKind(enum.StrEnum):
    """Kind of a service's requests; only lookups are idempotent."""

    LOOKUP = 'lookup'
    BOOKING = 'booking'
    UPLOAD = 'upload'


class DataCentre(NamedTuple):
    """A data centre that hosts backend servers and daemons."""

    name: str
    state: State = State.IN


class Service(NamedTuple):
    """A service, which callers name in the path of a request.

    :param divided_by_key: whether each key has exactly one owner among the backend servers
    :param data_centres: names of the data centres that its backend servers may be in
    """

    name: str
    divided_by_key: bool
    kind: ServiceKind
    data_centres: tuple[str, ...]


class BackendServer(NamedTuple):
    """A backend server and its limits.

    :param address: ``IP:PORT``
    :param slots: requests it works on at once
    :param connections: connections it accepts at once
    :param checks_grants: whether it refuses requests with a fencing token that is not granted
    """

    name: str
    service: str
    data_centre: str
    address: str
    slots: int
    connections: int
    checks_grants: bool
    state: State = State.IN


class Document(NamedTuple):
    """The operators' document."""

    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
