"""How often each key is asked for, and how fast each owner answers."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootstair.peers import LoadFigures

__all__ = ['KeyDemand']

REQUEST_DECAY_S = 2.5
"""Time constant with which past requests lose weight, in seconds; busy keys change within
seconds."""

ANSWER_WEIGHT = 0.03
"""Weight of one answer in an owner's mean service time."""

MIN_RATE_PER_S = 0.02
"""Requests a second below which a key is forgotten."""


class KeyDemand:
    """Sums up the reports of all daemons for one service."""

    def __init__(self) -> None:
        self._rate_by_key: dict[int, float] = {}
        self._decayed_at = 0.0
        self._mean_service_s_by_server: dict[str, float] = {}
        self._answer_count_by_server: dict[str, int] = {}

    def count_requests(self, requests_by_key: Mapping[int, int], now: float) -> None:
        """Count the requests of one report."""
        self._decay(now)
        for key, count in requests_by_key.items():
            self._rate_by_key[key] = self._rate_by_key.get(key, 0.0) + count / REQUEST_DECAY_S

    def apply_figures(self, server: str, figures: LoadFigures) -> None:
        """Take one daemon's figures of one owner."""
        if not figures.answer_count:
            return
        mean_s = figures.service_time_sum_s / figures.answer_count
        known = self._mean_service_s_by_server.setdefault(server, mean_s)
        answers = self._answer_count_by_server.get(server, 0) + figures.answer_count
        self._answer_count_by_server[server] = answers
        # The plain mean at first, so that one odd answer does not count for long.
        weight = max(
            figures.answer_count / answers,
            1.0 - (1.0 - ANSWER_WEIGHT) ** figures.answer_count,
        )
        self._mean_service_s_by_server[server] = known + weight * (mean_s - known)

    def compute_rate_by_key(self, now: float) -> dict[int, float]:
        """Return requests a second by key."""
        self._decay(now)
        return self._rate_by_key

    def estimate_service_s(self, server: str, usual_s: float) -> float:
        """Return the mean service time of an owner, in seconds.

        :param usual_s: what to expect before any answer
        """
        known = self._mean_service_s_by_server.get(server)
        if known is not None:
            return known
        if self._mean_service_s_by_server:
            return statistics.median(self._mean_service_s_by_server.values())
        return usual_s

    def _decay(self, now: float) -> None:
        passed_s = now - self._decayed_at
        if passed_s < REQUEST_DECAY_S / 10:
            return
        factor = math.exp(-passed_s / REQUEST_DECAY_S)
        self._decayed_at = now
        self._rate_by_key = {
            key: weight * factor
            for key, weight in self._rate_by_key.items()
            if weight * factor > MIN_RATE_PER_S
        }
