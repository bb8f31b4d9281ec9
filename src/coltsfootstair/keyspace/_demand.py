"""Request rate of each key and mean service time of each owner."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootstair.peers import LoadFigures

__all__ = ['KeyDemand']

REQUEST_DECAY_S = 2.5
"""Time constant of the exponential decay of request rates, in seconds; which keys are busy
changes within seconds."""

ANSWER_WEIGHT = 0.03
"""Weight of one answer in the moving average of an owner's service time."""

MIN_RATE_PER_S = 0.02
"""Requests per second below which the rate of a key is dropped."""


class KeyDemand:
    """Request rates and service times of one service, from the reports of all daemons."""

    def __init__(self) -> None:
        self._rate_by_key: dict[int, float] = {}
        self._decayed_at = 0.0
        self._mean_service_time_s_by_server: dict[str, float] = {}
        self._answer_count_by_server: dict[str, int] = {}

    def count_requests(self, request_count_by_key: Mapping[int, int], now: float) -> None:
        """Add the requests of one report to the rates of their keys."""
        self._decay(now)
        for key, count in request_count_by_key.items():
            self._rate_by_key[key] = self._rate_by_key.get(key, 0.0) + count / REQUEST_DECAY_S

    def apply_figures(self, server: str, figures: LoadFigures) -> None:
        """Apply one daemon's figures of one owner to its mean service time."""
        if not figures.answer_count:
            return
        mean_s = figures.service_time_sum_s / figures.answer_count
        previous_mean_s = self._mean_service_time_s_by_server.setdefault(server, mean_s)
        answer_count = self._answer_count_by_server.get(server, 0) + figures.answer_count
        self._answer_count_by_server[server] = answer_count
        # A plain mean at first, so that one untypical first answer is soon outweighed.
        weight = max(
            figures.answer_count / answer_count,
            1.0 - (1.0 - ANSWER_WEIGHT) ** figures.answer_count,
        )
        self._mean_service_time_s_by_server[server] = previous_mean_s + weight * (
            mean_s - previous_mean_s
        )

    def compute_rate_by_key(self, now: float) -> dict[int, float]:
        """Return the requests per second by key."""
        self._decay(now)
        return self._rate_by_key

    def estimate_service_time_s(self, server: str, default_s: float) -> float:
        """Return the mean service time of an owner, in seconds.

        For an owner that has not answered yet, this is the median of the other owners.

        :param default_s: returned while no owner of the service has answered, in seconds
        """
        mean_s = self._mean_service_time_s_by_server.get(server)
        if mean_s is not None:
            return mean_s
        if self._mean_service_time_s_by_server:
            return statistics.median(self._mean_service_time_s_by_server.values())
        return default_s

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        # At most ten times per time constant, since each decay goes through all keys.
        if elapsed_s < REQUEST_DECAY_S / 10:
            return
        factor = math.exp(-elapsed_s / REQUEST_DECAY_S)
        self._decayed_at = now
        self._rate_by_key = {
            key: rate * factor
            for key, rate in self._rate_by_key.items()
            if rate * factor > MIN_RATE_PER_S
        }
