"""Lets one daemon's requests to limited backend servers pass when they have a permit."""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.limits._issuer import MAX_ADVICE_S, MIN_LIMIT_PER_S
from coltsfootstair.peers import PermitAnswer, PermitRequest
from coltsfootstair.placement import RequestPacer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.limits._named import NamedLimits

__all__ = ['Denial', 'LimitGate', 'Permit']

PERMIT_VALIDITY_S = 0.5
"""How long after its begin a permit is valid, in seconds; longer than opening a connection may
take."""

ANSWER_TIMEOUT_S = 0.08
"""How long a daemon waits for the keeper's answer to a request for permits, in seconds; many
times the network delay between data centres."""

MAX_SEND_COUNT = 2
"""How often a request for permits is sent, since a datagram may be lost."""

KEEPER_PAUSE_S = 0.3
"""How long a daemon asks for no further permits after the keeper has not answered, in seconds;
the interval between two reports."""

UNANSWERED_SHARE = 0.3
"""Share of a limit that daemons which get no answer of a keeper use together, in addition to
what the keeper issues to others."""

SPARE_SPAN_S = 0.2
"""Time for which a daemon with frequent requests asks for permits in advance, in seconds."""

RATE_DECAY_S = 1.0
"""Time constant with which the rate of requests to a server decays, in seconds."""

MIN_DENIAL_S = 0.02
"""Shortest time for which a denial is remembered, in seconds."""

ADVICE_SPREAD_SHARE = 0.25
"""Longest random delay of a refused caller beyond its time, as a share of that."""

LOWERED_RATIO = 1.5
"""Ratio of the limit of a permit to the one in force from which the permit is void."""


class Permit(NamedTuple):
    """Allows one request to a limited server.

    :param starts_at: monotonic time from which it is valid
    :param limit_per_s: limit of the server when it was asked for, in requests a second
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
    """No request may be sent to a limited server in time.

    :param retry_after_s: time after which a caller may be served, in seconds
    """

    retry_after_s: float


class _Refusal:
    """The last refusal for one server, and what the callers since then were told.

    :param next_at: monotonic time at which the next free permit begins
    :param advised_at: monotonic time at which the next refused caller may be served
    :param interval_s: time from one permit of all daemons to the next, in seconds
    """

    __slots__ = ('advised_at', 'interval_s', 'next_at')

    def __init__(self, next_at: float, advised_at: float, interval_s: float) -> None:
        self.next_at = next_at
        self.advised_at = advised_at
        self.interval_s = interval_s

    def compute_retry_after_s(self, now: float, random_share: float) -> float:
        """Return what to tell the next refused caller: a later time than the last one."""
        advised_s = min(MAX_ADVICE_S, max(self.advised_at, self.next_at) - now)
        self.advised_at = now + advised_s + self.interval_s
        return advised_s * (1.0 + ADVICE_SPREAD_SHARE * random_share)


class LimitGate:
    """Gets permits for one daemon's requests to limited servers.

    The keeper issues them. A daemon that gets no answer of a keeper uses an equal share of
    ``UNANSWERED_SHARE`` of the limit.

    :param send_request: sends a request for permits to the keeper; returns the answer if this
        daemon is the keeper, else ``None``
    :param get_daemon_count: returns the number of daemons
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        limits: NamedLimits,
        send_request: Callable[[PermitRequest], PermitAnswer | None],
        get_daemon_count: Callable[[], int],
        random_source: random.Random,
        count_limit: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._limits = limits
        self._send_request = send_request
        self._get_daemon_count = get_daemon_count
        self._random = random_source
        self._count_limit = count_limit
        self._numbers = itertools.count(1)
        self._answer_by_number: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._spares_by_incarnation: dict[tuple[str, int], list[Permit]] = {}
        self._refusal_by_incarnation: dict[tuple[str, int], _Refusal] = {}
        self._rate_by_incarnation: dict[tuple[str, int], tuple[float, float]] = {}
        self._unanswered_pacer = RequestPacer()
        self._asks_again_at = -math.inf

    def get_wait_s(self, incarnation: tuple[str, int]) -> float:
        """Return the seconds until the server may be sent a request, as far as is known."""
        if self._limits.get(incarnation) is None:
            return 0.0
        refusal = self._refusal_by_incarnation.get(incarnation)
        return 0.0 if refusal is None else max(0.0, refusal.next_at - self._clock.monotonic())

    def may_send(self, incarnation: tuple[str, int], permit: Permit | None) -> bool:
        """Whether a request with ``permit`` may be sent now."""
        limit_per_s = self._limits.get(incarnation)
        if limit_per_s is None:
            return True
        return permit is not None and permit.is_valid(self._clock.monotonic(), limit_per_s)

    async def acquire(
        self, incarnation: tuple[str, int], max_wait_s: float
    ) -> Permit | Denial | None:
        """Return a permit once it is valid, or ``None`` if the server names no limit.

        :param max_wait_s: longest time until the permit begins, in seconds
        """
        limit_per_s = self._limits.get(incarnation)
        if limit_per_s is None:
            return None
        permit = self._take_spare(incarnation, limit_per_s, max_wait_s)
        if permit is None:
            refused = self._deny_while_refused(incarnation, max_wait_s)
            if refused is not None:
                return refused
            acquired = await self._request(incarnation, limit_per_s, max_wait_s)
            if isinstance(acquired, Denial):
                self._count_limit('denied')
                return acquired
            permit = acquired
        wait_s = permit.starts_at - self._clock.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return permit

    def on_answer(self, answer: PermitAnswer) -> None:
        """Pass the keeper's answer to the request that waits for it."""
        waiting = self._answer_by_number.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def forget_ended(self) -> None:
        """Drop what is known of servers without a limit."""
        limited = set(self._limits.list_limited())
        self._unanswered_pacer.forget_ended(limited)
        for by_incarnation in (
            self._spares_by_incarnation,
            self._refusal_by_incarnation,
            self._rate_by_incarnation,
        ):
            for incarnation in by_incarnation.keys() - limited:
                del by_incarnation[incarnation]

    def _take_spare(
        self, incarnation: tuple[str, int], limit_per_s: float, max_wait_s: float
    ) -> Permit | None:
        spares = self._spares_by_incarnation.get(incarnation)
        if not spares:
            return None
        now = self._clock.monotonic()
        spares[:] = [spare for spare in spares if spare.is_valid(now, limit_per_s)]
        if spares and spares[0].starts_at - now <= max_wait_s:
            return spares.pop(0)
        return None

    def _deny_while_refused(
        self, incarnation: tuple[str, int], max_wait_s: float
    ) -> Denial | None:
        refusal = self._refusal_by_incarnation.get(incarnation)
        wait_s = 0.0 if refusal is None else refusal.next_at - self._clock.monotonic()
        if refusal is None or wait_s <= max_wait_s:
            return None
        self._count_limit('denied')
        return self._deny(refusal)

    def _deny(self, refusal: _Refusal) -> Denial:
        now = self._clock.monotonic()
        return Denial(refusal.compute_retry_after_s(now, self._random.random()))

    async def _request(
        self, incarnation: tuple[str, int], limit_per_s: float, max_wait_s: float
    ) -> Permit | Denial:
        now = self._clock.monotonic()
        count = 1 + math.floor(SPARE_SPAN_S * self._update_rate(incarnation, now))
        answer = None
        if now >= self._asks_again_at:
            answer = await self._ask(incarnation, limit_per_s, count, max_wait_s)
        if answer is None:
            return self._use_unanswered_share(incarnation, limit_per_s, max_wait_s)
        now = self._clock.monotonic()
        permits = [Permit(now + delay_s, limit_per_s) for delay_s in answer.delays_s]
        if len(permits) < count:
            refusal = self._refusal_by_incarnation[incarnation] = _Refusal(
                now + max(MIN_DENIAL_S, answer.next_wait_s),
                now + answer.retry_after_s,
                1.0 / max(MIN_LIMIT_PER_S, limit_per_s),
            )
            if not permits:
                return self._deny(refusal)
        self._spares_by_incarnation.setdefault(incarnation, []).extend(permits[1:])
        return permits[0]

    async def _ask(
        self,
        incarnation: tuple[str, int],
        limit_per_s: float,
        count: int,
        max_wait_s: float,
    ) -> PermitAnswer | None:
        number = next(self._numbers)
        waiting: asyncio.Future[PermitAnswer] = asyncio.get_running_loop().create_future()
        self._answer_by_number[number] = waiting
        request = PermitRequest(
            self._name,
            number,
            incarnation,
            limit_per_s,
            round(self._limits.get_age_s(incarnation), 3),
            count,
            round(max_wait_s, 3),
        )
        try:
            for _ in range(MAX_SEND_COUNT):
                answer = self._send_request(request)
                if answer is not None:
                    return answer
                await asyncio.wait({waiting}, timeout=ANSWER_TIMEOUT_S)
                if waiting.done():
                    return waiting.result()
            self._asks_again_at = self._clock.monotonic() + KEEPER_PAUSE_S
            self._count_limit('keeper did not answer')
            return None
        finally:
            del self._answer_by_number[number]

    def _use_unanswered_share(
        self, incarnation: tuple[str, int], limit_per_s: float, max_wait_s: float
    ) -> Permit | Denial:
        now = self._clock.monotonic()
        rate_per_s = UNANSWERED_SHARE * max(MIN_LIMIT_PER_S, limit_per_s)
        daemon_count = self._get_daemon_count()
        pacer = self._unanswered_pacer
        pacer.schedule_first_request(
            incarnation, now, rate_per_s, daemon_count, self._random.random()
        )
        wait_s = pacer.get_wait_s(incarnation, now)
        if wait_s > max_wait_s:
            # The keeper is asked again after the pause.
            known_wait_s = max(MIN_DENIAL_S, min(wait_s, KEEPER_PAUSE_S))
            refusal = self._refusal_by_incarnation[incarnation] = _Refusal(
                now + known_wait_s, now + known_wait_s, KEEPER_PAUSE_S
            )
            return self._deny(refusal)
        pacer.on_request_sent(incarnation, now + wait_s, rate_per_s, daemon_count)
        return Permit(now + wait_s, limit_per_s)

    def _update_rate(self, incarnation: tuple[str, int], now: float) -> float:
        """Count one request for permits; return their rate before it, per second."""
        rate_per_s, counted_at = self._rate_by_incarnation.get(incarnation, (0.0, now))
        rate_per_s *= math.exp(-(now - counted_at) / RATE_DECAY_S)
        self._rate_by_incarnation[incarnation] = (rate_per_s + 1.0 / RATE_DECAY_S, now)
        return rate_per_s
