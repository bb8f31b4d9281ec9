"""Rates of events that decay with time."""

from __future__ import annotations

import math

__all__ = ['DecayingRate']

DECAY_S = 2.0
"""Time constant with which a rate follows the events, in seconds."""


class DecayingRate:
    """Rate of events, as an exponentially weighted average.

    The sum over several daemons is the average of the sum of their events.
    """

    __slots__ = ('_counted_at', '_rate_per_s')

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._counted_at = -math.inf

    def add(self, count: int, now: float) -> None:
        """Count ``count`` events."""
        self._rate_per_s = self.get(now) + count / DECAY_S
        self._counted_at = max(self._counted_at, now)

    def get(self, now: float) -> float:
        """Return the rate, in events a second; a time before the last event counts as its."""
        if self._rate_per_s == 0.0:
            return 0.0
        return self._rate_per_s * math.exp(-max(0.0, now - self._counted_at) / DECAY_S)
