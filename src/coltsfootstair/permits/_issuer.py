"""Issues requests under limits that all daemons share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

    from coltsfootstair.clock import Clock

__all__ = ['MIN_LIMIT_PER_S', 'IssuedPermits', 'PermitIssuer']

SubjectT = TypeVar('SubjectT', bound='Hashable')

MIN_LIMIT_PER_S = 0.2
"""Lowest rate at which permits are issued, in a second. Only a further answer of a limited
server can tell that its limit of zero has ended."""

BURST_REQUEST_COUNT = 2.0
"""Number of requests at once after a time without any, where no other burst is allowed."""

START_DELAY_S = 0.5
"""Delay of the first permit for a subject whose limit has only just become known, in seconds.
Requests that were sent before, or under the permits of an earlier keeper, still arrive in this
time."""

MAX_ADVICE_S = 4.0
"""Latest time that a refused caller is told to come back after, in seconds."""


class IssuedPermits(NamedTuple):
    """Answer to one daemon that asks for permits for one subject.

    :param delays_s: time until each permit begins, in seconds; one entry a permit
    :param next_wait_s: time until the next free permit begins, in seconds
    :param retry_after_s: when a caller that got none may be served, in seconds. Each refused
        caller is told a later time, so that they do not come back together.
    """

    delays_s: list[float]
    next_wait_s: float
    retry_after_s: float


class PermitIssuer(Generic[SubjectT]):
    """Issues permits for limited subjects, one for each request, at the rate of the limit.

    It handles a server in need, or a workspace at its limit, that many daemons get requests
    for: whichever of them has requests gets the permits, so that the sum stays within the
    limit and uses it, however unevenly the requests are spread. Permits are issued in the
    order in which they are asked for and are not returned.

    :param credit_since: monotonic time from which subjects collect credit, up to their burst;
        ``None`` if each begins ``START_DELAY_S`` after its first request
    """

    def __init__(self, clock: Clock, credit_since: float | None = None) -> None:
        self._clock = clock
        self._credit_since = credit_since
        self._next_at_by_subject: dict[SubjectT, float] = {}
        self._advised_at_by_subject: dict[SubjectT, float] = {}

    def issue(
        self,
        subject: SubjectT,
        limit_per_s: float,
        share: float,
        count: int,
        max_wait_s: float,
        burst_count: float = BURST_REQUEST_COUNT,
    ) -> IssuedPermits:
        """Issue up to ``count`` permits that begin within ``max_wait_s``.

        :param limit_per_s: requests a second of all daemons together
        :param share: share of the limit that this keeper may issue, from 0 to 1
        :param burst_count: number of requests at once after a time without any
        """
        now = self._clock.monotonic()
        interval_s = 1.0 / (max(MIN_LIMIT_PER_S, limit_per_s) * max(0.01, share))
        earliest_at = now + (START_DELAY_S if self._credit_since is None else 0.0)
        next_at = self._next_at_by_subject.get(
            subject, earliest_at if self._credit_since is None else self._credit_since
        )
        # A limit that has risen, or a share that has, must not be held up by a long interval.
        next_at = min(next_at, max(earliest_at, now + max_wait_s + interval_s))
        delays_s: list[float] = []
        while len(delays_s) < count:
            starts_at = max(next_at, now - (max(1.0, burst_count) - 1.0) * interval_s)
            if starts_at - now > max_wait_s:
                break
            delays_s.append(round(max(0.0, starts_at - now), 4))
            next_at = starts_at + interval_s
        self._next_at_by_subject[subject] = next_at
        next_wait_s = max(0.0, next_at - now)
        retry_after_s = next_wait_s
        if refused_count := count - len(delays_s):
            advised_at = max(next_at, self._advised_at_by_subject.get(subject, 0.0))
            retry_after_s = min(MAX_ADVICE_S, advised_at - now)
            self._advised_at_by_subject[subject] = (
                now + retry_after_s + refused_count * interval_s
            )
        return IssuedPermits(delays_s, round(next_wait_s, 4), round(retry_after_s, 4))

    def forget_ended(self, limited: set[SubjectT]) -> None:
        """Drop what is known of all subjects except ``limited``."""
        for by_subject in (self._next_at_by_subject, self._advised_at_by_subject):
            for subject in by_subject.keys() - limited:
                del by_subject[subject]
