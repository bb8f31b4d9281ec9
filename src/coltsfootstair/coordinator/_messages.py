"""Events that other tasks post to the coordinator task."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.admission import Outcome, ProbeResult
from coltsfootstair.coordinator._exchange import Exchange
from coltsfootstair.document import BackendServer, Service
from coltsfootstair.inner import ReplicationMessage, RowHandedOver, Stream
from coltsfootstair.results import Refusal

__all__ = [
    'CancelExchange',
    'CoordinationAllowed',
    'CoordinationRevoked',
    'CoordinatorEvent',
    'ExchangeEnded',
    'ExchangeInterrupted',
    'ReplicationReceived',
    'RowHandoverReceived',
    'RowsGranted',
    'RowsOwned',
    'ServerLoad',
    'ServerProbed',
    'StandbyConnectFinished',
    'StandbyRoleEnded',
    'StreamClosed',
    'SubmitExchange',
]


class SubmitExchange(NamedTuple):
    """A request has arrived for a backend server.

    The entry daemon believes that this daemon coordinates the server; it is checked here.
    """

    exchange: Exchange


class CancelExchange(NamedTuple):
    """The caller of a request has left."""

    request_id: str


class ExchangeEnded(NamedTuple):
    """A dispatched request no longer occupies its slot.

    :param duration_s: from dispatch to the end, in seconds
    :param refusal: sent to the caller in place of a complete answer; ``None`` if there was
        an answer
    """

    backend_server: str
    request_id: str
    outcome: Outcome
    duration_s: float
    refusal: Refusal | None = None


class ExchangeInterrupted(NamedTuple):
    """An exchange broke off, and the server may still run the request.

    :param until: the request occupies its slot until then, in local monotonic seconds
    """

    backend_server: str
    request_id: str
    until: float


class CoordinationAllowed(NamedTuple):
    """This daemon may coordinate the server, under the limits of the operators' document.

    It is posted again when the document changes the server or its service.
    """

    server: BackendServer
    service: Service


class CoordinationRevoked(NamedTuple):
    """This daemon may no longer coordinate the server."""

    backend_server: str


class RowsGranted(NamedTuple):
    """The rows that are granted to the server, at least until ``valid_until``.

    :param token_by_row: the fencing token of each row
    :param stopping: rows to be reported as idle once no request waits or runs for them
    :param hot_row_by_key: the row of each hot key, which is admitted under it alone
    :param valid_until: earliest expiry of the grants, in local monotonic seconds
    """

    backend_server: str
    token_by_row: Mapping[int, int] = {}
    stopping: frozenset[int] = frozenset()
    hot_row_by_key: Mapping[str, int] = {}
    valid_until: float = -math.inf


class ServerProbed(NamedTuple):
    """A probe of the server was answered or failed."""

    backend_server: str
    probe_result: ProbeResult


class RowsOwned(NamedTuple):
    """The rows that a coordinated server owns, and the standby of its coordinator.

    :param epoch_by_row: the epoch of each row, which rises with each change of its owner
    :param stopping: those rows that accept no new operations
    :param standby: the daemon that the lease record names as standby, or an empty string
    :param lease_epoch: rises with each change of the coordinator
    """

    backend_server: str
    epoch_by_row: Mapping[int, int]
    stopping: frozenset[int]
    standby: str
    lease_epoch: int


class RowHandoverReceived(NamedTuple):
    """The previous coordinator of a row has sent the records of its operations."""

    message: RowHandedOver


class StandbyRoleEnded(NamedTuple):
    """This daemon is no longer the standby for a server, by its lease record."""

    backend_server: str


class StandbyConnectFinished(NamedTuple):
    """An attempt to connect to the standby has ended.

    :param stream: ``None`` if the standby could not be reached
    """

    backend_server: str
    standby: str
    stream: Stream | None


class StreamClosed(NamedTuple):
    """A stream to another daemon has closed."""

    stream: Stream


class ReplicationReceived(NamedTuple):
    """Another daemon has sent a message of the replication of operation records."""

    stream: Stream
    message: ReplicationMessage


class ServerLoad(NamedTuple):
    """The load and limit of a server at present.

    :param phase: state of the server's admission, for operators
    :param in_flight: requests that may be running at the server
    :param waiting: requests that wait for a slot
    :param limit: requests that may run at the server at once, at present
    """

    phase: str
    in_flight: int
    waiting: int
    limit: int


CoordinatorEvent = (
    SubmitExchange
    | CancelExchange
    | ExchangeEnded
    | ExchangeInterrupted
    | CoordinationAllowed
    | CoordinationRevoked
    | RowsGranted
    | ServerProbed
    | RowsOwned
    | RowHandoverReceived
    | StandbyRoleEnded
    | StandbyConnectFinished
    | StreamClosed
    | ReplicationReceived
)
