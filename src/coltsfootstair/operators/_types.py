"""What the operators' interface shows, and the outcomes of the changes it makes."""

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
    """What is known of a daemon."""

    READY = 'ready'
    STARTING = 'starting'
    STOPPING = 'stopping'
    UNREACHABLE = 'unreachable'


class RefusalCount(NamedTuple):
    """How often a daemon refused requests with one result code since its start."""

    code: int
    title: str
    requests: int


class DaemonStatus(NamedTuple):
    """One daemon, as it describes itself or as the platform lists it.

    :param version: the version of the document in force there; 0 if none is
    :param document_age_s: seconds since that version was known to be the newest, or -1
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
    """One backend server, as its coordinator sees it.

    :param state: ``in`` or ``out`` by the document, with its data centre counted in
    :param standby: the daemon that may replace its coordinator
    :param phase: what its coordinator makes of it, such as ``cold``
    :param limit: requests that it is given at once at present
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

    :param rows: their numbers, as ranges
    :param next_server: where the rows are moving; empty if they stay
    """

    service: str
    server: str
    rows: str
    row_count: int
    next_server: str = ''


class OwnerReport(NamedTuple):
    """Who owns one key, and why.

    :param row: the row of the service's table that the key falls into
    :param why: how the owner came to have it
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
    """The whole system, as one daemon sees it.

    :param daemon: the daemon that was asked
    :param version: the newest version of the document that any daemon has in force
    """

    daemon: str
    version: int
    daemons: tuple[DaemonStatus, ...]
    backend_servers: tuple[ServerStatus, ...]
    owners: tuple[OwnerStatus, ...]


class VersionedText(NamedTuple):
    """The document's TOML and its version; version 0 if there is none yet."""

    text: str
    version: int


class Applied(NamedTuple):
    """The change has taken effect in the store.

    :param changes: what it changed; empty if all was so already
    """

    version: int
    changes: tuple[str, ...]


class Conflict(NamedTuple):
    """Another change came first.

    :param changes: what differs between the version that was expected and the present one
    """

    version: int
    changes: tuple[str, ...]
    detail: str = ''


class Dangerous(NamedTuple):
    """The change was not made, since it needs an explicit word."""

    dangers: tuple[str, ...]


class Faulty(NamedTuple):
    """The document is not allowed."""

    faults: tuple[str, ...]


class Unavailable(NamedTuple):
    """The store did not answer; the change may or may not take effect yet."""

    detail: str


ApplyResult = Applied | Conflict | Dangerous | Faulty | Unavailable
