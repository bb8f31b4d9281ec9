"""Lets one daemon's requests to limited backend servers pass when they have a permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.peers import PermitAnswer, PermitRequest
from coltsfootstair.permits import MIN_LIMIT_PER_S, Permit, PermitClient, PermitGate
from coltsfootstair.placement import RequestPacer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.limits._named import NamedLimits
    from coltsfootstair.peers import WorkspacePermitRequest

__all__ = ['LimitGate']

UNANSWERED_SHARE = 0.3
"""Share of a limit that daemons which get no answer of a keeper use together, in addition to
what the keeper issues to others."""

Incarnation = tuple[str, int]


class LimitGate(PermitGate[Incarnation]):
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
        send_request: Callable[[PermitRequest | WorkspacePermitRequest], PermitAnswer | None],
        get_daemon_count: Callable[[], int],
        random_source: random.Random,
        count_limit: Callable[[str], None] = lambda _: None,
    ) -> None:
        client = PermitClient(clock, send_request, count_limit)
        super().__init__(clock, client, random_source, count_limit)
        self._name = name
        self._limits = limits
        self._get_daemon_count = get_daemon_count
        self._unanswered_pacer = RequestPacer()

    def on_answer(self, answer: PermitAnswer) -> None:
        """Pass the keeper's answer to the request that waits for it."""
        self.client.on_answer(answer)

    def forget_ended(self) -> None:
        """Drop what is known of servers without a limit."""
        limited = set(self._limits.list_limited())
        self._unanswered_pacer.forget_ended(limited)
        self.forget_all_but(limited)

    def _get_limit_per_s(self, subject: Incarnation) -> float | None:
        return self._limits.get(subject)

    async def _ask(
        self, subject: Incarnation, limit_per_s: float, count: int, max_wait_s: float
    ) -> PermitAnswer | None:
        age_s = round(self._limits.get_age_s(subject), 3)
        return await self.client.ask(
            lambda number: PermitRequest(
                self._name, number, subject, limit_per_s, age_s, count, round(max_wait_s, 3)
            )
        )

    def _use_unanswered_share(
        self, subject: Incarnation, limit_per_s: float, max_wait_s: float
    ) -> Permit | float:
        now = self._clock.monotonic()
        rate_per_s = UNANSWERED_SHARE * max(MIN_LIMIT_PER_S, limit_per_s)
        daemon_count = self._get_daemon_count()
        pacer = self._unanswered_pacer
        pacer.schedule_first_request(
            subject, now, rate_per_s, daemon_count, self._random.random()
        )
        wait_s = pacer.get_wait_s(subject, now)
        if wait_s > max_wait_s:
            return wait_s
        pacer.on_request_sent(subject, now + wait_s, rate_per_s, daemon_count)
        return Permit(now + wait_s, limit_per_s)
