"""Decides which requests a daemon that stops may still begin."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['GraceTime']

EXIT_MARGIN_S = 0.4
"""How long before the end of its grace time a daemon times out open requests, in seconds."""

BALANCER_REACTION_S = 2.5
"""How long load balancers may still send callers to a daemon that is no longer ready, in
seconds. A load balancer needs two failed readiness probes, which are a second apart."""

ANSWER_TIME_FACTOR = 3.0
"""Multiple of the expected time until an answer that must be left for a request. Answers take
longer than expected, and one that is cut can't be repeated if it may run at most once."""

MIN_RETRY_AFTER_S = 0.1
"""Shortest Retry-After of a request that is refused since its daemon stops, in seconds."""


class GraceTime:
    """The time between the request to stop and the end of the daemon.

    A request whose answer can't be expected by its end is refused before it reaches a server,
    however it came: what a server has begun would be cut.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times_out_at = math.inf
        self._callers_leave_at = math.inf

    def begin(self, grace_s: float) -> None:
        """Begin to stop.

        :param grace_s: time until the process must have ended, in seconds
        """
        now = self._clock.monotonic()
        self._times_out_at = now + grace_s - EXIT_MARGIN_S
        self._callers_leave_at = now + BALANCER_REACTION_S

    @property
    def is_over(self) -> bool:
        """Whether requests that are still in progress are timed out now."""
        return self._clock.monotonic() >= self._times_out_at

    @property
    def have_callers_left(self) -> bool:
        """Whether load balancers send callers to other daemons by now."""
        return self._clock.monotonic() >= self._callers_leave_at

    def has_time_for(self, expected_s: float) -> bool:
        """Whether a request may be begun that is expected to take ``expected_s`` seconds."""
        left_s = self._times_out_at - self._clock.monotonic()
        return left_s > ANSWER_TIME_FACTOR * expected_s

    def refuse(self, expected_s: float) -> Refusal | None:
        """Return the refusal of a request for which there is too little time left.

        Its caller is told to come back when it reaches another daemon.

        :param expected_s: time until its answer, in seconds
        """
        if self.has_time_for(expected_s):
            return None
        now = self._clock.monotonic()
        return Refusal(
            ResultCode.SHUTTING_DOWN,
            Ran.NO,
            f'{max(0.0, self._times_out_at - now):.2f} s are left, its answer is expected'
            f' after {expected_s:.2f} s',
            max(MIN_RETRY_AFTER_S, self._callers_leave_at - now),
        )
