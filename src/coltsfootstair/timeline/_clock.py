"""A hybrid logical clock: near the calendar time, and never against causality."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import NamedTuple

__all__ = ['HybridClock', 'HybridTime']

MAX_AHEAD_MS = 60_000
"""How far another process may pull this clock ahead of the machine's own, in milliseconds."""

_COUNTER_BITS = 16


class HybridTime(NamedTuple):
    """A stamp; a cause has a smaller one than its effect.

    :param wall_ms: milliseconds since 1970, of the fastest clock heard of
    :param counter: orders what happened within one millisecond
    """

    wall_ms: int
    counter: int

    def pack(self) -> int:
        """Return the stamp as one number, in the same order."""
        return (self.wall_ms << _COUNTER_BITS) + self.counter

    @classmethod
    def unpack(cls, number: int) -> HybridTime:
        """Return the stamp that ``pack`` made ``number`` of."""
        return cls(number >> _COUNTER_BITS, number & ((1 << _COUNTER_BITS) - 1))

    def __str__(self) -> str:
        moment = datetime.fromtimestamp(self.wall_ms / 1000, UTC)
        return f'{moment:%Y-%m-%dT%H:%M:%S}.{self.wall_ms % 1000:03}Z+{self.counter}'


class HybridClock:
    """The stamps of one process; not safe for several threads at once."""

    def __init__(self) -> None:
        self._last = HybridTime(0, 0)

    @property
    def latest(self) -> HybridTime:
        """The last stamp given or received."""
        return self._last

    def tick(self, now_ms: int) -> HybridTime:
        """Return the stamp of an event that happens at the machine's ``now_ms``."""
        self._last = max(HybridTime(now_ms, 0), _next(self._last))
        return self._last

    def receive(self, remote: HybridTime, now_ms: int) -> bool:
        """Take note of the stamp on a message.

        :return: whether the sender's clock is near enough to be followed
        """
        if remote.wall_ms > now_ms + MAX_AHEAD_MS:
            return False
        self._last = max(self._last, remote)
        return True


def _next(stamp: HybridTime) -> HybridTime:
    return HybridTime.unpack(stamp.pack() + 1)
