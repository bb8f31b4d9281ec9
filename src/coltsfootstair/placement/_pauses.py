"""Pauses that backend servers have asked one daemon for."""

from __future__ import annotations

import math

__all__ = ['Pause', 'ServerPauses', 'compute_caller_retry_after_s']

RETRY_AFTER_SPREAD_SHARE = 0.1
"""Longest random delay of a caller beyond the end of a pause, as a share of the time until
then."""

MIN_RETRY_AFTER_SPREAD_S = 0.1
"""Longest random delay of a caller after a short pause, in seconds."""

RETRY_AFTER_UNIT_S = 0.01
"""Unit in which callers are told a delay, in seconds."""


def compute_caller_retry_after_s(pause_wait_s: float, random_share: float) -> float:
    """Return the delay to tell a caller whose request only paused servers could serve.

    It is never shorter than the pause, and random beyond, so that the callers do not come back
    at the same moment.

    :param pause_wait_s: time until the first of these servers may be sent requests, in seconds
    :param random_share: a random number from 0 to 1
    """
    spread_s = max(MIN_RETRY_AFTER_SPREAD_S, RETRY_AFTER_SPREAD_SHARE * pause_wait_s)
    delay_s = pause_wait_s + spread_s * random_share
    return round(math.ceil(delay_s / RETRY_AFTER_UNIT_S) * RETRY_AFTER_UNIT_S, 2)


class Pause:
    """One pause.

    :param retry_after_s: duration that the server asked for, in seconds
    :param ends_at: monotonic time at which it ends
    """

    __slots__ = ('ends_at', 'retry_after_s')

    def __init__(self, retry_after_s: float, ends_at: float) -> None:
        self.retry_after_s = retry_after_s
        self.ends_at = ends_at


class ServerPauses:
    """Pauses by incarnation of the backend server that asked for them.

    It handles a server that turns requests away and states for how long it wants no further
    ones from this daemon. Other daemons and later incarnations of the server are not affected.
    """

    def __init__(self) -> None:
        self._pause_by_incarnation: dict[tuple[str, int], Pause] = {}

    def start(self, incarnation: tuple[str, int], retry_after_s: float, now: float) -> bool:
        """Start a pause in place of an earlier one; 0 s is no pause.

        Return whether it differs from the one in force.
        """
        previous = self._pause_by_incarnation.pop(incarnation, None)
        if retry_after_s > 0:
            pause = Pause(retry_after_s, now + retry_after_s)
            self._pause_by_incarnation[incarnation] = pause
        previous_s = (
            0.0 if previous is None or previous.ends_at <= now else previous.retry_after_s
        )
        return retry_after_s != previous_s

    def get_wait_s(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the seconds until the server may be sent requests; 0 if it may be now."""
        pause = self._pause_by_incarnation.get(incarnation)
        return 0.0 if pause is None else max(0.0, pause.ends_at - now)

    def forget_ended(self, now: float) -> None:
        """Remove the pauses that are over.

        A server whose entry is missing for a moment keeps its pause.
        """
        for incarnation, pause in list(self._pause_by_incarnation.items()):
            if pause.ends_at <= now:
                del self._pause_by_incarnation[incarnation]
