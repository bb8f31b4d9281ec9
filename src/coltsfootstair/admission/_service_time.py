"""What a request takes at a backend server, as measured."""

from __future__ import annotations

__all__ = ['ServiceTime']

FIRST_GUESS_S = 0.01
LONG_FIRST_GUESS_S = 1.0
RECENT_WEIGHT = 0.2
USUAL_WEIGHT = 0.01
STALE_S = 1.0


class ServiceTime:
    """Moving means of service times in seconds: recent, usual, and that of uploads.

    A request that runs longer than the recent mean raises the expectation before it is
    answered; with no answers for ``STALE_S`` the expectation halves, so that a server
    that was once slow is tried again.
    """

    __slots__ = ('_measured', '_recent_s', '_running_s', '_updated_at', 'long_s', 'usual_s')

    def __init__(self, now: float) -> None:
        self._measured = False
        self._updated_at = now
        self._running_s = 0.0
        self._recent_s = FIRST_GUESS_S
        self.usual_s = FIRST_GUESS_S
        self.long_s = LONG_FIRST_GUESS_S

    @property
    def recent_s(self) -> float:
        """Return the seconds that a request is expected to take now."""
        return max(self._recent_s, self._running_s)

    def add(self, seconds: float, now: float, *, long: bool) -> None:
        """Take in the time of an answered request."""
        self._updated_at = now
        if long:
            self.long_s += RECENT_WEIGHT * (seconds - self.long_s)
            return
        self._running_s = 0.0
        if not self._measured:
            self._measured = True
            self._recent_s = self.usual_s = seconds
            return
        self._recent_s += RECENT_WEIGHT * (seconds - self._recent_s)
        self.usual_s += USUAL_WEIGHT * (seconds - self.usual_s)

    def tick(self, now: float, running_s: float) -> None:
        """Take in that the oldest unanswered request has run for ``running_s``."""
        self._running_s = running_s
        if now - self._updated_at < STALE_S:
            return
        self._updated_at = now
        self.long_s = max(self.long_s / 2, FIRST_GUESS_S)
        if self._recent_s > self.usual_s:
            self._recent_s = max(self._recent_s / 2, self.usual_s)
        else:
            self.usual_s = self._recent_s = max(self._recent_s / 2, FIRST_GUESS_S)
