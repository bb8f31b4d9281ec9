"""What stand-ins return under ``/-/truth``; times are seconds of the monotonic clock."""

from __future__ import annotations

from typing import TypedDict

__all__ = ['BackendServerTruth', 'GrantTruth', 'RequestTruth', 'StoreTruth']


class RequestTruth(TypedDict):
    """One request, as a backend server received it.

    ``slot`` is the row and ``token`` the fencing token that came with it, if any. ``end`` is
    ``None`` while the request runs.
    """

    request_id: str
    operation_id: str
    service: str
    key: str
    slot: int | None
    token: int | None
    start: float
    end: float | None
    bytes: int
    status: int | None


GrantTruth = TypedDict(
    'GrantTruth',
    {
        'first': int,
        'last': int,
        'token': int,
        'from': float,
        'to': float,
        'in_force': bool,
    },
)
"""One granted range of rows; ``to`` of a grant in force is the time of the query."""


class BackendServerTruth(TypedDict):
    """All that a backend server recorded.

    ``requests`` lists the requests that it ran, ``refused`` those that it refused without
    running them. ``beyond_cold`` counts the requests that arrived while it was cold and had
    another one in flight; a cold server has the capacity for only one.
    """

    name: str
    requests: list[RequestTruth]
    refused: list[RequestTruth]
    max_in_flight: int
    max_connections: int
    beyond_cold: int
    grants: list[GrantTruth]


class StoreTruth(TypedDict):
    """Number of calls to the store, by kind."""

    reads: int
    writes: int
    watches: int
