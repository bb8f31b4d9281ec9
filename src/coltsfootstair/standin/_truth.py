"""The form of what a stand-in saw; times are seconds of the machine's monotonic clock."""

from __future__ import annotations

from typing import TypedDict

__all__ = ['BackendServerTruth', 'GrantTruth', 'RequestTruth', 'StoreTruth']


class RequestTruth(TypedDict):
    """One request as a backend server saw it; ``end`` is ``None`` while it runs."""

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
"""One granted range; ``to`` of a grant in force is the time of asking."""


class BackendServerTruth(TypedDict):
    """All that a backend server saw.

    ``requests`` holds what it ran; ``refused`` what it refused without running it.
    ``beyond_cold`` counts requests sent beyond the one that it bears while cold.
    """

    name: str
    requests: list[RequestTruth]
    refused: list[RequestTruth]
    max_in_flight: int
    max_connections: int
    beyond_cold: int
    grants: list[GrantTruth]


class StoreTruth(TypedDict):
    """Calls of the store, counted by kind."""

    reads: int
    writes: int
    watches: int
