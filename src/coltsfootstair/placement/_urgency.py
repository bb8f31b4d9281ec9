"""Decides which requests leave the queues of backend servers to more urgent ones."""

from __future__ import annotations

import math

from coltsfootstair.placement._choose import MAX_REQUESTS_PER_SLOT

__all__ = ['UrgencyGate']

URGENT_MEMORY_S = 2.0
"""How long after a more urgent request that found no free slot others leave it the queues, in
seconds; in a large fleet a daemon gets urgent requests of a service every second or so."""

YIELDING_REQUESTS_PER_SLOT = 1.0
"""Number of requests per slot from which a backend server gets no less urgent request: it
takes free slots only."""

UNYIELDING_SHARE = 0.1
"""Share of the less urgent requests that queue like urgent ones, so that none are starved."""


class UrgencyGate:
    """Tells how long a queue each request of one daemon may join.

    It handles a service that is short of room while urgent and less urgent requests ask for
    it: the less urgent ones wait in the daemon for a free slot, and the queues of the servers
    are left to the urgent ones. While urgent requests find free slots nobody yields, so that
    no room is idle.
    """

    def __init__(self) -> None:
        # Time of the last request without a free slot by priority, for each service.
        self._short_at_by_priority_by_service: dict[str, dict[int, float]] = {}
        self._credit_by_service: dict[str, float] = {}

    def record_shortage(self, service: str, priority: int, now: float) -> None:
        """Record a request that has found no free slot.

        :param priority: 0 is the most urgent
        """
        self._short_at_by_priority_by_service.setdefault(service, {})[priority] = now

    def choose_queue_limit(self, service: str, priority: int, now: float) -> float:
        """Return the requests per slot up to which a request joins a server's queue.

        To be called once for each request, since a share of those that must yield do not.
        """
        short_at_by_priority = self._short_at_by_priority_by_service.get(service, {})
        urgent_at = max(
            (at for other, at in short_at_by_priority.items() if other < priority),
            default=-math.inf,
        )
        if now - urgent_at > URGENT_MEMORY_S:
            return MAX_REQUESTS_PER_SLOT
        credit = self._credit_by_service.get(service, 0.0) + UNYIELDING_SHARE
        is_unyielding = credit >= 1.0
        self._credit_by_service[service] = credit - 1.0 if is_unyielding else credit
        return MAX_REQUESTS_PER_SLOT if is_unyielding else YIELDING_REQUESTS_PER_SLOT
