"""The grants that a backend server has received, with their history."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import GrantTruth

__all__ = ['GrantCall', 'GrantedRange', 'ReceivedGrants', 'is_valid_range']

MAX_TOKEN = 2**63
"""Largest fencing token that is accepted."""

MAX_RANGE_ROWS = 65536
"""Maximum number of rows in one granted range."""


class GrantedRange(NamedTuple):
    """Rows ``first`` to ``last``, granted under the fencing token ``token``."""

    first: int
    last: int
    token: int


class GrantCall(msgspec.Struct):
    """The body of a grant call.

    :param until: expiry on the backend server's clock, in seconds
    :param ranges: first row, last row and fencing token of each range
    :param instance: incarnation of the backend server that the call is meant for
    """

    until: float
    ranges: list[tuple[int, int, int]]
    instance: str = ''


class ReceivedGrants:
    """Applies grant calls, and records when each range was granted."""

    def __init__(self) -> None:
        self._expiry = 0.0
        self._granted_at_by_range: dict[GrantedRange, float] = {}
        self._history: list[tuple[GrantedRange, float, float]] = []
        self._highest_token_by_row: dict[int, int] = {}
        self._token_by_row: dict[int, int] = {}

    def is_stale(self, ranges: list[GrantedRange]) -> bool:
        """Check whether a range has a lower token than one of its rows has had before."""
        return any(
            new_range.token < self._highest_token_by_row.get(row, 0)
            for new_range in ranges
            if new_range not in self._granted_at_by_range
            for row in range(new_range.first, new_range.last + 1)
        )

    def apply(self, ranges: list[GrantedRange], expiry: float, now: float) -> None:
        """Grant ``ranges`` until ``expiry``, in place of all earlier ranges."""
        self._end_expired(now)
        new_ranges = dict.fromkeys(ranges) if expiry > now else {}
        for ended_range in [
            each for each in self._granted_at_by_range if each not in new_ranges
        ]:
            self._history.append(
                (ended_range, self._granted_at_by_range.pop(ended_range), now)
            )
        for new_range in new_ranges:
            if new_range not in self._granted_at_by_range:
                self._granted_at_by_range[new_range] = now
        self._token_by_row = {
            row: current_range.token
            for current_range in self._granted_at_by_range
            for row in range(current_range.first, current_range.last + 1)
        }
        self._highest_token_by_row.update(self._token_by_row)
        self._expiry = expiry

    def is_granted(self, row: int, token: int | None, now: float) -> bool:
        """Check whether ``row`` is granted under exactly ``token``."""
        return now < self._expiry and self._token_by_row.get(row, -1) == token

    def get_truth(self, now: float) -> list[GrantTruth]:
        """Return all grants so far."""
        self._end_expired(now)
        ended = [_build_truth(*entry, in_force=False) for entry in self._history]
        current_ranges = self._granted_at_by_range.items()
        return ended + [
            _build_truth(each, granted_at, now, in_force=True)
            for each, granted_at in current_ranges
        ]

    def _end_expired(self, now: float) -> None:
        if now < self._expiry:
            return
        ended = [
            (each, granted_at, self._expiry)
            for each, granted_at in self._granted_at_by_range.items()
        ]
        self._history += ended
        self._granted_at_by_range.clear()


def is_valid_range(granted_range: GrantedRange) -> bool:
    """Check the order of the first and last row, their distance, and the token."""
    is_ordered = (
        0 <= granted_range.first <= granted_range.last < granted_range.first + MAX_RANGE_ROWS
    )
    return is_ordered and 0 <= granted_range.token <= MAX_TOKEN


def _build_truth(
    granted_range: GrantedRange, granted_at: float, to: float, *, in_force: bool
) -> GrantTruth:
    return {
        'first': granted_range.first,
        'last': granted_range.last,
        'token': granted_range.token,
        'from': granted_at,
        'to': to,
        'in_force': in_force,
    }
