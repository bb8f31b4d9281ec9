"""Issues the requests that limited backend servers take, to all daemons together."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['MIN_LIMIT_PER_S', 'IssuedPermits', 'PermitIssuer']

MIN_LIMIT_PER_S = 0.2
"""Lowest rate at which a limited server is sent requests, in requests a second. Only a further
answer can tell that a limit of zero has ended."""

BURST_REQUEST_COUNT = 2.0
"""Number of requests at once after a time without any."""

START_DELAY_S = 0.5
"""Delay of the first permit for a server, in seconds. Requests that were sent before its limit
was known, or under the permits of an earlier keeper, still arrive in this time."""

MAX_ADVICE_S = 4.0
"""Latest time that a refused caller is told to come back after, in seconds."""


class IssuedPermits(NamedTuple):
    """Answer to one daemon that asks for permits for one server.

    :param delays_s: time until each permit begins, in seconds; one entry a permit
    :param next_wait_s: time until the next free permit begins, in seconds
    :param retry_after_s: when a caller that got none may be served, in seconds. Each refused
        caller is told a later time, so that they do not come back together.
    """

    delays_s: list[float]
    next_wait_s: float
    retry_after_s: float


class PermitIssuer:
    """Issues permits for limited servers, one for each request, at the rate of the limit.

    It handles a server in need that many daemons get requests for: whichever of them has
    requests gets the permits, so that the sum stays within the limit and uses it, however
    unevenly the requests are spread. Permits are issued in the order in which they are asked
    for and are not returned.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_at_by_incarnation: dict[tuple[str, int], float] = {}
        self._advised_at_by_incarnation: dict[tuple[str, int], float] = {}

    def issue(
        self,
        incarnation: tuple[str, int],
        limit_per_s: float,
        share: float,
        count: int,
        max_wait_s: float,
    ) -> IssuedPermits:
        """Issue up to ``count`` permits that begin within ``max_wait_s``.

        :param limit_per_s: requests a second that the server takes from all daemons together
        :param share: share of the limit that this keeper may issue, from 0 to 1
        """
        now = self._clock.monotonic()
        interval_s = 1.0 / (max(MIN_LIMIT_PER_S, limit_per_s) * max(0.01, share))
        next_at = self._next_at_by_incarnation.get(incarnation, now + START_DELAY_S)
        # A limit that has risen, or a share that has, must not be held up by a long interval.
        next_at = min(next_at, max(now + START_DELAY_S, now + max_wait_s + interval_s))
        delays_s: list[float] = []
        while len(delays_s) < count:
            starts_at = max(next_at, now - (BURST_REQUEST_COUNT - 1.0) * interval_s)
            if starts_at - now > max_wait_s:
                break
            delays_s.append(round(max(0.0, starts_at - now), 4))
            next_at = starts_at + interval_s
        self._next_at_by_incarnation[incarnation] = next_at
        next_wait_s = max(0.0, next_at - now)
        retry_after_s = next_wait_s
        if refused_count := count - len(delays_s):
            advised_at = max(next_at, self._advised_at_by_incarnation.get(incarnation, 0.0))
            retry_after_s = min(MAX_ADVICE_S, advised_at - now)
            self._advised_at_by_incarnation[incarnation] = (
                now + retry_after_s + refused_count * interval_s
            )
        return IssuedPermits(delays_s, round(next_wait_s, 4), round(retry_after_s, 4))

    def forget_ended(self, limited_incarnations: set[tuple[str, int]]) -> None:
        """Drop what is known of all incarnations except ``limited_incarnations``."""
        for by_incarnation in (
            self._next_at_by_incarnation,
            self._advised_at_by_incarnation,
        ):
            for incarnation in by_incarnation.keys() - limited_incarnations:
                del by_incarnation[incarnation]
