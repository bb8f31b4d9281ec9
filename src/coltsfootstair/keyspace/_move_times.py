"""How long moves of key ranges take, as a daemon sees them in the tables."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.keyspace._table import KeyTable

__all__ = ['MoveTimes']

ASSUMED_MOVE_S = 0.4
"""Duration that is assumed until a move was seen, in seconds."""

REMEMBERED_MOVE_COUNT = 32
"""Number of the last moves whose mean duration is the estimate."""


class MoveTimes:
    """Measures moves from the table that plans one to the table that has it granted.

    Ranges that nobody owned before need no release and are left out.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._planned_at_by_fence_by_service: dict[str, dict[int, float]] = {}
        self._durations_s: deque[float] = deque(maxlen=REMEMBERED_MOVE_COUNT)

    def apply_table(self, service: str, table: KeyTable) -> None:
        """Apply a table that has just become known."""
        now = self._clock.monotonic()
        planned_at_by_fence = self._planned_at_by_fence_by_service.get(service, {})
        self._planned_at_by_fence_by_service[service] = {
            key_range.fence: planned_at_by_fence.get(key_range.fence, now)
            for key_range in table.ranges
            if not key_range.is_granted and key_range.previous_owners
        }
        for key_range in table.ranges:
            planned_at = planned_at_by_fence.get(key_range.fence)
            if key_range.is_granted and planned_at is not None:
                self._durations_s.append(now - planned_at)

    def estimate_s(self) -> float:
        """Return how long a move takes from its plan to its grant, in seconds."""
        if not self._durations_s:
            return ASSUMED_MOVE_S
        return sum(self._durations_s) / len(self._durations_s)
