"""Events that the coordinator task takes from other tasks."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.admission._messages import Observed, Outcome
from coltsfootstair.coordinator._exchange import Exchange
from coltsfootstair.document import BackendServer, Service

__all__ = [
    'CancelExchange',
    'CoordinatorEvent',
    'ExchangeEnded',
    'RightsGiven',
    'RightsTaken',
    'RowsGranted',
    'ServerLoad',
    'ServerObserved',
    'SubmitExchange',
]


class SubmitExchange(NamedTuple):
    """A request for a backend server that this daemon is thought to coordinate."""

    exchange: Exchange


class CancelExchange(NamedTuple):
    """The caller has gone."""

    request_id: str


class ExchangeEnded(NamedTuple):
    """A dispatched request no longer occupies its slot."""

    backend_server: str
    request_id: str
    outcome: Outcome
    seconds: float


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
    observed: Observed


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
    | RightsGiven
    | RightsTaken
    | RowsGranted
    | ServerObserved
)
