"""What a gateway counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['GatewayMetrics']

BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper ends of the latency histogram's classes, in seconds."""


class GatewayMetrics:
    """Counts requests by route and outcome, and their times."""

    def __init__(self) -> None:
        self._count_by_end: dict[tuple[str, str], int] = {}

    def ended(self, route: str, outcome: str, seconds: float) -> None:
        """Count one request."""
        end = (route, outcome)
        self._count_by_end[end] = self._count_by_end.get(end, 0) + 1

    def counts(self) -> Iterator[tuple[str, str, int]]:
        """Return the counts by route and outcome."""
        for (route, outcome), count in self._count_by_end.items():
            yield route, outcome, count
