"""Reports that the operators' interface shows, and the results of its changes."""

from __future__ import annotations

import enum
from typing import NamedTuple

__all__ = [
    'Applied',
    'ApplyResult',
    'Conflict',
    'DaemonState',
    'DaemonStatus',
    'Dangerous',
    'Faulty',
    'OwnerReport',
    'OwnerStatus',
    'RefusalCount',
    'ServerStatus',
    'StatusReport',
    'Unavailable',
    'VersionedText',
]


class DaemonState(enum.StrEnum):
    """State of a daemon."""

    READY = 'ready'
    STARTING = 'starting'
    STOPPING = 'stopping'
    UNREACHABLE = 'unreachable'


class RefusalCount(NamedTuple):
    """Number of requests that a daemon has refused with one result code since its start."""

    code: int
    title: str
    requests: int


class DaemonStatus(NamedTuple):
    """State of one daemon.

    It comes from the daemon itself or, if that does not answer, from the platform's VM list.

    :param incarnation: this start of the daemon
    :param version: version of the document in force there; 0 if none is
    :param document_age_s: seconds since that version was known to be the newest; -1 if
        unknown
    """

    name: str
    data_centre: str
    state: DaemonState
    incarnation: str = ''
    version: int = 0
    document_age_s: float = -1.0
    store_reachable: bool = False
    refusals: tuple[RefusalCount, ...] = ()


class ServerStatus(NamedTuple):
    """State of one backend server, as its coordinator reports it.

    :param state: ``in`` or ``out`` by the document; ``out`` as well if its data centre is out
    :param coordinator: name of its coordinator; empty if it has none
    :param standby: name of the daemon that replaces its coordinator if that fails
    :param phase: its phase as its coordinator sees it, such as ``cold``
    :param in_flight: requests sent to it that have not ended
    :param waiting: requests that wait at its coordinator
    :param limit: requests that it may be given at once at present
    :param slots: requests that it works on at once by the document
    """

    name: str
    service: str
    data_centre: str
    state: str
    coordinator: str = ''
    standby: str = ''
    phase: str = ''
    in_flight: int = 0
    waiting: int = 0
    limit: int = 0
    slots: int = 0


class OwnerStatus(NamedTuple):
    """The rows of a service's table that one backend server owns.

    :param rows: numbers of the rows, as ranges
    :param next_server: backend server that the rows are moving to; empty if they stay
    """

    service: str
    server: str
    rows: str
    row_count: int
    next_server: str = ''


class OwnerReport(NamedTuple):
    """The owner of one key.

    :param row: number of the row in the service's table that the key falls into
    :param server: the owner; empty if the row has none
    :param token: fencing token of the owner for the row
    :param next_server: backend server that the row is moving to; empty if it stays
    :param coordinator: name of the owner's coordinator; empty if it has none
    :param why: how the owner came to own the row, for people
    """

    service: str
    key: str
    row: int
    server: str
    token: int
    next_server: str
    coordinator: str
    why: str


class StatusReport(NamedTuple):
    """The state of the whole system, as one daemon gathers it.

    :param daemon: name of the daemon that gathered it
    :param version: newest version of the document in force in any daemon
    """

    daemon: str
    version: int
    daemons: tuple[DaemonStatus, ...]
    backend_servers: tuple[ServerStatus, ...]
    owners: tuple[OwnerStatus, ...]


class VersionedText(NamedTuple):
    """The document in TOML and its version; version 0 if there is no document yet."""

    text: str
    version: int


class Applied(NamedTuple):
    """The change is in the store.

    :param version: version of the document with the change
    :param changes: what it changed; empty if there was nothing to change
    """

    version: int
    changes: tuple[str, ...]


class Conflict(NamedTuple):
    """The change was not applied to the present version, since another change came first.

    :param version: the present version
    :param changes: what differs between the expected version and the present one
    :param detail: a further explanation, if there is one
    """

    version: int
    changes: tuple[str, ...]
    detail: str = ''


class Dangerous(NamedTuple):
    """The change was not applied, because it is dangerous and was not forced."""

    dangers: tuple[str, ...]


class Faulty(NamedTuple):
    """The change was not applied, because the document has faults."""

    faults: tuple[str, ...]


class Unavailable(NamedTuple):
    """The store did not answer; ``detail`` says whether the change may take effect."""

    detail: str


ApplyResult = Applied | Conflict | Dangerous | Faulty | Unavailable
