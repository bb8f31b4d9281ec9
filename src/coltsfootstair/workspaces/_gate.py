"""Lets one daemon's requests of workspaces pass within their limits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.peers import PermitAnswer, WorkspacePermitRequest
from coltsfootstair.permits import Permit, PermitClient, PermitGate
from coltsfootstair.workspaces._rates import DecayingRate

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.permits import Denial
    from coltsfootstair.workspaces._types import Workspace

__all__ = ['FALLBACK_S', 'WorkspaceGate']

FALLBACK_S = 3.0
"""How long a daemon goes on at its last rate after its last sign of a keeper, in seconds;
longer than a keeper is missing when another one takes over."""

MAX_FALLBACK_WAIT_S = 0.3
"""Longest wait for the next request at that rate, in seconds."""

KEEPER_PATIENCE_S = 0.4
"""How long a request waits for the answer of a keeper that stalls, in seconds; longer than it
plans, and a small part of the time that callers have."""

SLACK_SHARE = 0.5
"""Share of the slack of all limits that daemons without a keeper use together."""

NO_PERMITS_RETRY_S = 1.0
"""When a caller is told to come back if this daemon may send nothing of its workspace without
a keeper, in seconds; about as long as the replacement of a keeper takes."""


class WorkspaceGate(PermitGate[str]):
    """Gets permits for one daemon's requests of workspaces with a limit.

    It handles a workspace that sends more than its limit through many daemons, also while the
    keeper is missing: each daemon then goes on at the rate at which it has got permits, so
    that the sum of all stays what the keeper has issued.

    :param slack_per_s: requests a second of one workspace that all daemons together may send
        beyond its limit
    :param get_daemon_count: returns the number of daemons
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        client: PermitClient,
        random_source: random.Random,
        slack_per_s: float,
        get_daemon_count: Callable[[], int],
        count_outcome: Callable[[str], None] = lambda _: None,
    ) -> None:
        super().__init__(clock, client, random_source, count_outcome)
        self._name = name
        self._slack_per_s = slack_per_s
        self._get_daemon_count = get_daemon_count
        self._workspace_by_name: dict[str, Workspace] = {}
        self._issued_rate_by_name: dict[str, DecayingRate] = {}
        self._own_next_at_by_name: dict[str, float] = {}
        self._keeper_heard_at = -math.inf
        self._issuing_heard_at = -math.inf
        self._is_keeper_issuing = False

    def on_keeper_heard(self, heard_at: float, *, is_issuing: bool) -> None:
        """Record a sign of a keeper.

        :param heard_at: monotonic time at which the report was sent that it answers
        :param is_issuing: whether it issues permits
        """
        self._keeper_heard_at = max(self._keeper_heard_at, heard_at)
        self._is_keeper_issuing = is_issuing
        if is_issuing:
            self._issuing_heard_at = max(self._issuing_heard_at, heard_at)

    async def admit(self, workspace: Workspace) -> Permit | Denial | None:
        """Return a permit for a request of a workspace, or ``None`` if it has no limit."""
        self._workspace_by_name[workspace.name] = workspace
        return await self.acquire(workspace.name, 0.0)

    def list_issued_rates(self) -> dict[str, float]:
        """Return the permits a second that this daemon got while a keeper issued them."""
        rates = {
            name: round(rate.get(self._issuing_heard_at), 2)
            for name, rate in self._issued_rate_by_name.items()
        }
        return {name: rate_per_s for name, rate_per_s in rates.items() if rate_per_s > 0}

    def _get_limit_per_s(self, subject: str) -> float | None:
        limit_per_s = self._workspace_by_name[subject].limit_per_s
        return limit_per_s if limit_per_s > 0 else None

    async def _ask(
        self, subject: str, limit_per_s: float, count: int, max_wait_s: float
    ) -> PermitAnswer | None:
        if not self._is_keeper_issuing:
            return None
        burst = self._workspace_by_name[subject].burst
        answer = await self.client.ask(
            lambda number: WorkspacePermitRequest(
                self._name, number, subject, limit_per_s, burst, count
            ),
            KEEPER_PATIENCE_S,
        )
        if answer is not None and answer.delays_s:
            rate = self._issued_rate_by_name.setdefault(subject, DecayingRate())
            rate.add(len(answer.delays_s), self._clock.monotonic())
        return answer

    def _use_unanswered_share(
        self, subject: str, limit_per_s: float, max_wait_s: float
    ) -> Permit | float:
        now = self._clock.monotonic()
        rate_per_s = self._compute_own_rate(subject, now)
        if rate_per_s <= 0:
            return NO_PERMITS_RETRY_S
        interval_s = 1.0 / rate_per_s
        next_at = self._own_next_at_by_name.get(subject, -math.inf)
        if next_at < now - interval_s:
            # Others begin at the same time, each with an own part of its interval.
            next_at = now + self._random.random() * interval_s
            self._own_next_at_by_name[subject] = next_at
        if next_at - now > MAX_FALLBACK_WAIT_S:
            return next_at - now
        self._own_next_at_by_name[subject] = max(now, next_at) + interval_s
        self._count_outcome('without keeper')
        return Permit(max(now, next_at), limit_per_s)

    def _compute_own_rate(self, subject: str, now: float) -> float:
        """Return the requests a second that this daemon may send without a keeper."""
        slack_per_s = SLACK_SHARE * self._slack_per_s / max(1, self._get_daemon_count())
        issued = self._issued_rate_by_name.get(subject)
        if issued is None or now - self._keeper_heard_at > FALLBACK_S:
            return slack_per_s
        return max(slack_per_s, issued.get(self._issuing_heard_at))
