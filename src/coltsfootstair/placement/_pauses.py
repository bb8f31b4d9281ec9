"""Pauses that backend servers have asked one daemon for, and its return after them."""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootstair.placement._choose import MAX_REQUESTS_PER_SLOT

__all__ = [
    'Pause',
    'ReturnPace',
    'ServerPauses',
    'compute_caller_retry_after_s',
    'compute_return_pace',
]

MIN_RETURN_SPREAD_S = 0.1
"""Least time after the end of a pause over which daemons come back, in seconds."""

MAX_RETURN_SPREAD_S = 2.0
"""Longest time after the end of a pause over which daemons come back, in seconds."""

MIN_RETURN_STEP_S = 0.2
"""Least duration of a step of the return, in seconds."""

RETURN_GROWTH = 2.0
"""Factor from the limit of one step of the return to that of the next."""

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


class ReturnPace(NamedTuple):
    """How one daemon comes back to a server after a pause.

    :param delay_s: time from the end of the pause until the first request, in seconds
    :param step_s: duration of each step, in seconds
    :param full_limit: number of requests at once from which the limit of a step is none
    """

    delay_s: float
    step_s: float
    full_limit: float


def compute_return_pace(
    service_time_s: float, slots: int, daemon_count: int, random_share: float
) -> ReturnPace:
    """Return the pace at which one of ``daemon_count`` daemons comes back.

    The first requests of all daemons come over the time in which the server works them off,
    within bounds.

    :param random_share: a random number from 0 to 1
    """
    spread_s = min(
        MAX_RETURN_SPREAD_S, max(MIN_RETURN_SPREAD_S, daemon_count * service_time_s / slots)
    )
    return ReturnPace(
        random_share * spread_s,
        max(MIN_RETURN_STEP_S, service_time_s),
        MAX_REQUESTS_PER_SLOT * slots,
    )


class Pause:
    """One pause, and the return after it in steps.

    The first step allows one request at once, each further one twice as many.

    :param retry_after_s: duration that the server asked for, in seconds
    :param started_at: monotonic time at which the answer that asked for it came
    :ivar in_flight: requests that were chosen for the server since then and have not ended
    """

    __slots__ = ('_pace', '_resumes_at', 'ends_at', 'in_flight', 'retry_after_s')

    def __init__(self, retry_after_s: float, started_at: float, pace: ReturnPace) -> None:
        self.retry_after_s = retry_after_s
        self.ends_at = started_at + retry_after_s
        self.in_flight = 0
        self._pace = pace
        self._resumes_at = self.ends_at + pace.delay_s

    def get_wait_s(self, now: float) -> float:
        """Return the seconds until the first request may be sent; 0 if it may be now."""
        return max(0.0, self._resumes_at - now)

    def compute_limit(self, now: float) -> float:
        """Return how many requests may be in flight; infinite when the return is over."""
        if now < self._resumes_at:
            return 0.0
        step_count = math.floor((now - self._resumes_at) / self._pace.step_s)
        full_step_count = math.log(max(1.0, self._pace.full_limit), RETURN_GROWTH)
        return math.inf if step_count >= full_step_count else RETURN_GROWTH**step_count


class ServerPauses:
    """Pauses by incarnation of the backend server that asked for them.

    It handles a server that turns requests away and states for how long it wants no further
    ones from this daemon. Other daemons and later incarnations of the server are not affected.
    """

    def __init__(self) -> None:
        self._pause_by_incarnation: dict[tuple[str, int], Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no pause and no return after one is known."""
        return not self._pause_by_incarnation

    def start(
        self, incarnation: tuple[str, int], retry_after_s: float, now: float, pace: ReturnPace
    ) -> bool:
        """Start a pause in place of an earlier one; 0 s ends one that is in force.

        Return whether its duration differs from that of the one in force.
        """
        previous = self._pause_by_incarnation.get(incarnation)
        if retry_after_s <= 0 and (previous is None or previous.ends_at <= now):
            return False
        self._pause_by_incarnation[incarnation] = Pause(retry_after_s, now, pace)
        return (
            previous is None
            or previous.ends_at <= now
            or previous.retry_after_s != retry_after_s
        )

    def get_wait_s(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the seconds until the server may be sent requests; 0 if it may be now."""
        pause = self._pause_by_incarnation.get(incarnation)
        return 0.0 if pause is None else pause.get_wait_s(now)

    def compute_room(self, incarnation: tuple[str, int], now: float) -> float:
        """Return how many more requests may be sent to the server now, by its last pause."""
        pause = self._pause_by_incarnation.get(incarnation)
        return math.inf if pause is None else pause.compute_limit(now) - pause.in_flight

    def on_request_chosen(self, incarnation: tuple[str, int]) -> Pause | None:
        """Count a request for the server; return the pause that it is counted in, if any."""
        pause = self._pause_by_incarnation.get(incarnation)
        if pause is not None:
            pause.in_flight += 1
        return pause

    def may_send(self, incarnation: tuple[str, int], counted_in: Pause | None) -> bool:
        """Whether no pause has begun since a request was chosen for the server.

        :param counted_in: what ``on_request_chosen`` returned for the request
        """
        pause = self._pause_by_incarnation.get(incarnation)
        return pause is None or pause is counted_in

    @staticmethod
    def on_request_ended(counted_in: Pause | None) -> None:
        """Count the end of a request, however it ended."""
        if counted_in is not None:
            counted_in.in_flight -= 1

    def forget_ended(self, now: float) -> None:
        """Remove the pauses after which the return is over.

        A server whose entry is missing for a moment keeps its pause.
        """
        for incarnation, pause in list(self._pause_by_incarnation.items()):
            if math.isinf(pause.compute_limit(now)):
                del self._pause_by_incarnation[incarnation]
