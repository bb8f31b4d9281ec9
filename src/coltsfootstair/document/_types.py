"""The typed form of the operators' document."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = ['BackendServer', 'DataCentre', 'Document', 'Service', 'ServiceKind', 'State']


class State(enum.StrEnum):
    """Whether operators let a data centre or backend server have new work."""

    IN = 'in'
    OUT = 'out'


class ServiceKind(enum.StrEnum):
    """What a service's requests are; only lookups are idempotent."""

    LOOKUP = 'lookup'
    BOOKING = 'booking'
    UPLOAD = 'upload'


class DataCentre(NamedTuple):
    """A data centre that hosts backend servers and daemons."""

    name: str
    state: State = State.IN


class Service(NamedTuple):
    """A service that callers name in the path.

    :param divided_by_key: whether each key has one owner among the backend servers
    """

    name: str
    divided_by_key: bool
    kind: ServiceKind
    data_centres: tuple[str, ...]


class BackendServer(NamedTuple):
    """A backend server and the limits it may carry.

    :param address: ``IP:PORT``
    :param slots: requests it works on at once
    :param connections: connections it accepts
    :param checks_grants: whether it refuses requests whose token is not granted
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
    """The whole operators' document."""

    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    backend_servers: tuple[BackendServer, ...] = ()
