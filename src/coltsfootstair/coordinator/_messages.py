"""Events that the coordinator task takes from other tasks."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.admission import Outcome, ProbeResult
from coltsfootstair.coordinator._exchange import Exchange
from coltsfootstair.document import BackendServer, Service
from coltsfootstair.inner import NotesMessage, RowHanded, Stream
from coltsfootstair.results import Refusal

__all__ = [
    'CancelExchange',
    'CoordinatorEvent',
    'ExchangeEnded',
    'ExchangeLost',
    'NotesReceived',
    'RightsGiven',
    'RightsTaken',
    'RowReceived',
    'RowsGranted',
    'RowsOwned',
    'ServerLoad',
    'ServerObserved',
    'StandbyLinked',
    'StandbySeen',
    'StreamClosed',
    'SubmitExchange',
]


class SubmitExchange(NamedTuple):
    """A request for a backend server that this daemon is thought to coordinate."""

    exchange: Exchange


class CancelExchange(NamedTuple):
    """The caller has gone."""

    request_id: str


class ExchangeEnded(NamedTuple):
    """A dispatched request no longer occupies its slot.

    :param refusal: what its caller got in place of a whole answer, if anything
    """

    backend_server: str
    request_id: str
    outcome: Outcome
    seconds: float
    refusal: Refusal | None = None


class ExchangeLost(NamedTuple):
    """An exchange broke off, and the server may still work on it until ``until``."""

    backend_server: str
    request_id: str
    until: float


class RightsGiven(NamedTuple):
    """This daemon may act as the server's coordinator, under the document's limits."""

    server: BackendServer
    service: Service


class RightsTaken(NamedTuple):
    """This daemon may no longer act as the server's coordinator."""

    backend_server: str


class RowsGranted(NamedTuple):
    """The rows that the server holds for certain until ``valid_until``.

    :param token_by_row: the fencing token of each row
    :param stopping: rows that are to be reported once nothing runs for them
    :param hot_row_by_key: keys that are admitted under their own rows only
    :param valid_until: local monotonic seconds
    """

    backend_server: str
    token_by_row: Mapping[int, int] = {}
    stopping: frozenset[int] = frozenset()
    hot_row_by_key: Mapping[str, int] = {}
    valid_until: float = -math.inf


class ServerObserved(NamedTuple):
    """A probe was answered, or failed."""

    backend_server: str
    observed: ProbeResult


class RowsOwned(NamedTuple):
    """The rows of the table that this coordinator's server owns, and who stands by.

    :param epoch_by_row: the epoch of each row, which rises with its owner
    :param stopping: rows of them that take no new operations
    :param standby: the daemon that the record names, or an empty string
    :param lease_epoch: rises with each change of the coordinator
    """

    backend_server: str
    epoch_by_row: Mapping[int, int]
    stopping: frozenset[int]
    standby: str
    lease_epoch: int


class RowReceived(NamedTuple):
    """A coordinator has handed over what it knew of a row's operations."""

    message: RowHanded


class StandbySeen(NamedTuple):
    """A record of another coordinator names another standby than this daemon."""

    backend_server: str


class StandbyLinked(NamedTuple):
    """The way to a standby was opened, or could not be."""

    backend_server: str
    standby: str
    stream: Stream | None


class StreamClosed(NamedTuple):
    """An inner stream has ended."""

    stream: Stream


class NotesReceived(NamedTuple):
    """A peer has sent a message about notes."""

    stream: Stream
    message: NotesMessage


class ServerLoad(NamedTuple):
    """What a server is given at present.

    :param phase: what its coordinator makes of it, for people
    :param in_flight: requests that may be running there
    :param limit: requests that may run there at once at present
    """

    phase: str
    in_flight: int
    waiting: int
    limit: int


CoordinatorEvent = (
    SubmitExchange
    | CancelExchange
    | ExchangeEnded
    | ExchangeLost
    | RightsGiven
    | RightsTaken
    | RowsGranted
    | ServerObserved
    | RowsOwned
    | RowReceived
    | StandbySeen
    | StandbyLinked
    | StreamClosed
    | NotesReceived
)
