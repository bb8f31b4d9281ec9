"""Lets one daemon's requests under shared limits pass when they have a permit."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Generic, NamedTuple

from coltsfootstair.permits._client import KEEPER_PAUSE_S
from coltsfootstair.permits._issuer import MAX_ADVICE_S, MIN_LIMIT_PER_S, SubjectT

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.peers import PermitAnswer
    from coltsfootstair.permits._client import PermitClient

__all__ = ['Denial', 'Permit', 'PermitGate']

PERMIT_VALIDITY_S = 0.5
"""How long after its begin a permit is valid, in seconds; longer than opening a connection may
take."""

SPARE_SPAN_S = 0.2
"""Time for which a daemon with frequent requests asks for permits in advance, in seconds."""

RATE_DECAY_S = 1.0
"""Time constant with which the rate of requests for permits decays, in seconds."""

MIN_DENIAL_S = 0.02
"""Shortest time for which a denial is remembered, in seconds."""

ADVICE_SPREAD_SHARE = 0.25
"""Longest random delay of a refused caller beyond its time, as a share of that."""

LOWERED_RATIO = 1.5
"""Ratio of the limit of a permit to the one in force from which the permit is void."""


class Permit(NamedTuple):
    """Allows one request under a shared limit.

    :param starts_at: monotonic time from which it is valid
    :param limit_per_s: limit when it was asked for, in requests a second
    """

    starts_at: float
    limit_per_s: float

    def is_valid(self, now: float, limit_per_s: float) -> bool:
        """Whether the request may still be sent, under the limit in force."""
        return (
            now <= self.starts_at + PERMIT_VALIDITY_S
            and self.limit_per_s <= LOWERED_RATIO * limit_per_s
        )


class Denial(NamedTuple):
    """No request may begin under a shared limit in time.

    :param retry_after_s: time after which a caller may be served, in seconds
    :param is_over_limit: whether the keeper says that the limit is used up; otherwise it has
        not answered, and what this daemon may use by itself is used up
    """

    retry_after_s: float
    is_over_limit: bool = True


class _Refusal:
    """The last refusal for one subject, and what the callers since then were told.

    :param next_at: monotonic time at which the next free permit begins
    :param advised_at: monotonic time at which the next refused caller may be served
    :param interval_s: time from one permit of all daemons to the next, in seconds
    :param is_over_limit: as in ``Denial``
    """

    __slots__ = ('advised_at', 'interval_s', 'is_over_limit', 'next_at')

    def __init__(
        self, next_at: float, advised_at: float, interval_s: float, *, is_over_limit: bool
    ) -> None:
        self.next_at = next_at
        self.advised_at = advised_at
        self.interval_s = interval_s
        self.is_over_limit = is_over_limit

    def compute_retry_after_s(self, now: float, random_share: float) -> float:
        """Return what to tell the next refused caller: a later time than the last one."""
        advised_s = min(MAX_ADVICE_S, max(self.advised_at, self.next_at) - now)
        self.advised_at = now + advised_s + self.interval_s
        return advised_s * (1.0 + ADVICE_SPREAD_SHARE * random_share)


class PermitGate(Generic[SubjectT]):
    """Gets permits for one daemon's requests under limits that all daemons share.

    The keeper issues them. Subclasses state the limits, and what this daemon may use while no
    keeper answers.

    :param client: asks the keeper
    """

    def __init__(
        self,
        clock: Clock,
        client: PermitClient,
        random_source: random.Random,
        count_outcome: Callable[[str], None] = lambda _: None,
    ) -> None:
        self.client = client
        self._clock = clock
        self._random = random_source
        self._count_outcome = count_outcome
        self._spares_by_subject: dict[SubjectT, list[Permit]] = {}
        self._refusal_by_subject: dict[SubjectT, _Refusal] = {}
        self._rate_by_subject: dict[SubjectT, tuple[float, float]] = {}

    def _get_limit_per_s(self, subject: SubjectT) -> float | None:
        """Return the limit in force, in requests a second; ``None`` if there is none."""
        raise NotImplementedError

    async def _ask(
        self, subject: SubjectT, limit_per_s: float, count: int, max_wait_s: float
    ) -> PermitAnswer | None:
        """Ask the keeper for permits; return ``None`` without an answer."""
        raise NotImplementedError

    def _use_unanswered_share(
        self, subject: SubjectT, limit_per_s: float, max_wait_s: float
    ) -> Permit | float:
        """Return a permit of this daemon's own, or the seconds until there may be one."""
        raise NotImplementedError

    def get_wait_s(self, subject: SubjectT) -> float:
        """Return the seconds until a request may begin, as far as is known."""
        if self._get_limit_per_s(subject) is None:
            return 0.0
        refusal = self._refusal_by_subject.get(subject)
        return 0.0 if refusal is None else max(0.0, refusal.next_at - self._clock.monotonic())

    def may_send(self, subject: SubjectT, permit: Permit | None) -> bool:
        """Whether a request with ``permit`` may be sent now."""
        limit_per_s = self._get_limit_per_s(subject)
        if limit_per_s is None:
            return True
        return permit is not None and permit.is_valid(self._clock.monotonic(), limit_per_s)

    async def acquire(self, subject: SubjectT, max_wait_s: float) -> Permit | Denial | None:
        """Return a permit once it is valid, or ``None`` if there is no limit.

        :param max_wait_s: longest time until the permit begins, in seconds
        """
        limit_per_s = self._get_limit_per_s(subject)
        if limit_per_s is None:
            return None
        permit = self._take_spare(subject, limit_per_s, max_wait_s)
        if permit is None:
            refused = self._deny_while_refused(subject, max_wait_s)
            if refused is not None:
                return refused
            acquired = await self._request(subject, limit_per_s, max_wait_s)
            if isinstance(acquired, Denial):
                self._count_outcome('denied')
                return acquired
            permit = acquired
        wait_s = permit.starts_at - self._clock.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return permit

    def give_back(self, subject: SubjectT, permit: Permit) -> None:
        """Keep the permit of a request that surely has not run for another one."""
        self._spares_by_subject.setdefault(subject, []).append(permit)

    def forget_all_but(self, limited: set[SubjectT]) -> None:
        """Drop what is known of subjects without a limit."""
        for by_subject in (
            self._spares_by_subject,
            self._refusal_by_subject,
            self._rate_by_subject,
        ):
            for subject in by_subject.keys() - limited:
                del by_subject[subject]

    def _take_spare(
        self, subject: SubjectT, limit_per_s: float, max_wait_s: float
    ) -> Permit | None:
        spares = self._spares_by_subject.get(subject)
        if not spares:
            return None
        now = self._clock.monotonic()
        spares[:] = [spare for spare in spares if spare.is_valid(now, limit_per_s)]
        if spares and spares[0].starts_at - now <= max_wait_s:
            return spares.pop(0)
        return None

    def _deny_while_refused(self, subject: SubjectT, max_wait_s: float) -> Denial | None:
        refusal = self._refusal_by_subject.get(subject)
        wait_s = 0.0 if refusal is None else refusal.next_at - self._clock.monotonic()
        if refusal is None or wait_s <= max_wait_s:
            return None
        self._count_outcome('denied')
        return self._deny(refusal)

    def _deny(self, refusal: _Refusal) -> Denial:
        now = self._clock.monotonic()
        retry_after_s = refusal.compute_retry_after_s(now, self._random.random())
        return Denial(retry_after_s, refusal.is_over_limit)

    async def _request(
        self, subject: SubjectT, limit_per_s: float, max_wait_s: float
    ) -> Permit | Denial:
        now = self._clock.monotonic()
        count = 1 + math.floor(SPARE_SPAN_S * self._update_rate(subject, now))
        answer = await self._ask(subject, limit_per_s, count, max_wait_s)
        now = self._clock.monotonic()
        if answer is None:
            own = self._use_unanswered_share(subject, limit_per_s, max_wait_s)
            if isinstance(own, Permit):
                return own
            # The keeper is asked again after the pause.
            known_wait_s = max(MIN_DENIAL_S, min(own, KEEPER_PAUSE_S))
            refusal = self._refusal_by_subject[subject] = _Refusal(
                now + known_wait_s,
                now + known_wait_s,
                KEEPER_PAUSE_S,
                is_over_limit=False,
            )
            return self._deny(refusal)
        permits = [Permit(now + delay_s, limit_per_s) for delay_s in answer.delays_s]
        if len(permits) < count:
            refusal = self._refusal_by_subject[subject] = _Refusal(
                now + max(MIN_DENIAL_S, answer.next_wait_s),
                now + answer.retry_after_s,
                1.0 / max(MIN_LIMIT_PER_S, limit_per_s),
                is_over_limit=True,
            )
            if not permits:
                return self._deny(refusal)
        self._spares_by_subject.setdefault(subject, []).extend(permits[1:])
        return permits[0]

    def _update_rate(self, subject: SubjectT, now: float) -> float:
        """Count one request for permits; return their rate before it, per second."""
        rate_per_s, counted_at = self._rate_by_subject.get(subject, (0.0, now))
        rate_per_s *= math.exp(-(now - counted_at) / RATE_DECAY_S)
        self._rate_by_subject[subject] = (rate_per_s + 1.0 / RATE_DECAY_S, now)
        return rate_per_s
