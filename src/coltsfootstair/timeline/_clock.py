"""A hybrid logical clock: stamps close to wall-clock time that respect causality."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import NamedTuple

__all__ = ['HybridClock', 'HybridTime']

MAX_AHEAD_MS = 60_000
"""Greatest lead of a remote stamp over the local wall clock, in milliseconds; a stamp that is
further ahead is ignored."""

_COUNTER_BITS = 16


class HybridTime(NamedTuple):
    """A stamp of an event; the stamp of a cause is smaller than that of its effect.

    :param wall_ms: milliseconds since 1970, of the most advanced wall clock known
    :param counter: orders the events of one millisecond
    """

    wall_ms: int
    counter: int

    def pack(self) -> int:
        """Return the stamp as one number, in the same order."""
        return (self.wall_ms << _COUNTER_BITS) + self.counter

    @classmethod
    def unpack(cls, number: int) -> HybridTime:
        """Return the stamp that ``pack`` turned into ``number``."""
        return cls(number >> _COUNTER_BITS, number & ((1 << _COUNTER_BITS) - 1))

    def __str__(self) -> str:
        moment = datetime.fromtimestamp(self.wall_ms / 1000, UTC)
        return f'{moment:%Y-%m-%dT%H:%M:%S}.{self.wall_ms % 1000:03}Z+{self.counter}'


class HybridClock:
    """Issues the stamps of one process; not thread-safe."""

    def __init__(self) -> None:
        self._last = HybridTime(0, 0)

    @property
    def latest(self) -> HybridTime:
        """The greatest stamp issued or received."""
        return self._last

    def tick(self, now_ms: int) -> HybridTime:
        """Return the stamp of an event that happens now.

        :param now_ms: local wall-clock time, in milliseconds since 1970
        """
        self._last = max(HybridTime(now_ms, 0), _successor(self._last))
        return self._last

    def receive(self, remote: HybridTime, now_ms: int) -> bool:
        """Advance this clock to the stamp of a received message.

        :param now_ms: local wall-clock time, in milliseconds since 1970
        :return: false if the stamp is ignored because it is too far ahead
        """
        if remote.wall_ms > now_ms + MAX_AHEAD_MS:
            return False
        self._last = max(self._last, remote)
        return True


def _successor(stamp: HybridTime) -> HybridTime:
    return HybridTime.unpack(stamp.pack() + 1)
