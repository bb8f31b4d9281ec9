"""The grants of a backend server: what holds now, and what held when."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import GrantTruth

__all__ = ['GrantBook', 'GrantOrder', 'Range', 'is_allowed']

MAX_TOKEN = 2**63

MAX_RANGE_SLOTS = 65536
"""Slots that one granted range may span."""


class Range(NamedTuple):
    """Slots ``first`` to ``last``, granted under ``token``."""

    first: int
    last: int
    token: int


class GrantOrder(msgspec.Struct):
    """The body of a grant order; ``until`` is on the server's clock."""

    until: float
    ranges: list[tuple[int, int, int]]
    instance: str = ''


class GrantBook:
    """Applies grant orders and keeps the history of what was granted."""

    def __init__(self) -> None:
        self._until = 0.0
        self._since_by_range: dict[Range, float] = {}
        self._history: list[tuple[Range, float, float]] = []
        self._highest_by_slot: dict[int, int] = {}
        self._held_by_slot: dict[int, int] = {}

    def stale(self, ranges: list[Range]) -> bool:
        """Tell whether a range has a smaller token than one of its slots has had."""
        return any(
            new.token < self._highest_by_slot.get(slot, 0)
            for new in ranges
            if new not in self._since_by_range
            for slot in range(new.first, new.last + 1)
        )

    def apply(self, ranges: list[Range], until: float, now: float) -> None:
        """Let ``ranges`` hold until ``until`` in place of all earlier ones."""
        self._lapse(now)
        wanted = dict.fromkeys(ranges) if until > now else {}
        for held in [held for held in self._since_by_range if held not in wanted]:
            self._history.append((held, self._since_by_range.pop(held), now))
        for new in wanted:
            if new not in self._since_by_range:
                self._since_by_range[new] = now
        self._held_by_slot = {
            slot: held.token
            for held in self._since_by_range
            for slot in range(held.first, held.last + 1)
        }
        self._highest_by_slot.update(self._held_by_slot)
        self._until = until

    def allows(self, slot: int, token: int | None, now: float) -> bool:
        """Tell whether ``slot`` is granted under exactly ``token``."""
        return now < self._until and self._held_by_slot.get(slot, -1) == token

    def truth(self, now: float) -> list[GrantTruth]:
        """Return every grant so far."""
        self._lapse(now)
        ended = [_truth(*entry, in_force=False) for entry in self._history]
        held = self._since_by_range.items()
        return ended + [_truth(each, since, now, in_force=True) for each, since in held]

    def _lapse(self, now: float) -> None:
        if now < self._until:
            return
        ended = [(held, since, self._until) for held, since in self._since_by_range.items()]
        self._history += ended
        self._since_by_range.clear()


def is_allowed(part: Range) -> bool:
    """Tell whether a range has whole, ordered ends, not too far apart, and a token."""
    in_order = 0 <= part.first <= part.last < part.first + MAX_RANGE_SLOTS
    return in_order and 0 <= part.token <= MAX_TOKEN


def _truth(granted: Range, since: float, to: float, *, in_force: bool) -> GrantTruth:
    return {
        'first': granted.first,
        'last': granted.last,
        'token': granted.token,
        'from': since,
        'to': to,
        'in_force': in_force,
    }
