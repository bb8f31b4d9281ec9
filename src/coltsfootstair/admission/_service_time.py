"""Measures how long requests take at a backend server."""

from __future__ import annotations

__all__ = ['ServiceTime']

INITIAL_SERVICE_S = 0.01
"""Expected service time before the first measurement, in seconds.

Also the lower bound when expected times are halved.
"""

INITIAL_UPLOAD_S = 1.0
"""Expected service time of an upload before the first measurement, in seconds."""

RECENT_WEIGHT = 0.2
"""Weight of a new measurement in the recent mean and in the mean of uploads."""

USUAL_WEIGHT = 0.01
"""Weight of a new measurement in the usual mean."""

STALE_AFTER_S = 1.0
"""Time without an answer after which expected service times are halved, in seconds."""


class ServiceTime:
    """Moving means of service times in seconds: recent, usual, and that of uploads.

    A request that runs longer than the recent mean raises the expected time before it is
    answered. After ``STALE_AFTER_S`` without an answer the expected time is halved, so that
    a server that was slow once is given requests again.
    """

    __slots__ = (
        '_has_measurement',
        '_oldest_running_s',
        '_recent_s',
        '_updated_at',
        'upload_s',
        'usual_s',
    )

    def __init__(self, now: float) -> None:
        self._has_measurement = False
        self._updated_at = now
        self._oldest_running_s = 0.0
        self._recent_s = INITIAL_SERVICE_S
        self.usual_s = INITIAL_SERVICE_S
        self.upload_s = INITIAL_UPLOAD_S

    @property
    def recent_s(self) -> float:
        """The seconds that a request is expected to take now."""
        return max(self._recent_s, self._oldest_running_s)

    def add(self, duration_s: float, now: float, *, is_upload: bool) -> None:
        """Add the service time of an answered request."""
        self._updated_at = now
        if is_upload:
            self.upload_s += RECENT_WEIGHT * (duration_s - self.upload_s)
            return
        self._oldest_running_s = 0.0
        if not self._has_measurement:
            self._has_measurement = True
            self._recent_s = self.usual_s = duration_s
            return
        self._recent_s += RECENT_WEIGHT * (duration_s - self._recent_s)
        self.usual_s += USUAL_WEIGHT * (duration_s - self.usual_s)

    def tick(self, now: float, running_s: float) -> None:
        """Update the expected times.

        :param running_s: seconds for which the oldest unanswered request has run
        """
        self._oldest_running_s = running_s
        if now - self._updated_at < STALE_AFTER_S:
            return
        self._updated_at = now
        self.upload_s = max(self.upload_s / 2, INITIAL_SERVICE_S)
        if self._recent_s > self.usual_s:
            self._recent_s = max(self._recent_s / 2, self.usual_s)
        else:
            self.usual_s = self._recent_s = max(self._recent_s / 2, INITIAL_SERVICE_S)
