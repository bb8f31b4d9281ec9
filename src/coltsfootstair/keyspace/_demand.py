"""Request rate of each key and mean service time of each owner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.keyspace._planner import KeyRates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootstair.peers import LoadFigures

__all__ = ['KeyDemand']

FIRST_REPORT_SPAN_S = 0.3
"""Time in which the requests of the first report have come, in seconds: the interval between
the reports of a daemon."""

REQUEST_DECAY_S = 4.0
"""Time constant of the exponential decay of request rates, in seconds; which keys are busy
changes within seconds."""

ANSWER_WEIGHT = 0.03
"""Weight of one answer in the moving average of an owner's service time."""

PRIOR_ANSWER_COUNT = 4.0
"""Number of answers of an owner that weigh as much as the mean of all owners in its service
time. Requests differ more from each other than the owners do."""

MIN_RATE_PER_S = 0.02
"""Requests per second below which the rate of a key is dropped."""


class KeyDemand:
    """Request rates and service times of one service, from the reports of all daemons."""

    def __init__(self) -> None:
        self._rate_by_key: dict[int, float] = {}
        self._decayed_at = 0.0
        self._first_counted_at: float | None = None
        self._mean_service_time_s_by_server: dict[str, float] = {}
        self._answer_count_by_server: dict[str, int] = {}
        self._total_answer_count = 0
        self._total_service_time_s = 0.0

    @property
    def has_requests(self) -> bool:
        """Whether any requests were counted."""
        return self._first_counted_at is not None

    def count_requests(self, request_count_by_key: Mapping[int, int], now: float) -> None:
        """Add the requests of one report to the rates of their keys."""
        self._decay(now)
        if self._first_counted_at is None:
            # The requests of the first report came before it.
            self._first_counted_at = now - FIRST_REPORT_SPAN_S
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
        self._total_answer_count += figures.answer_count
        self._total_service_time_s += figures.service_time_sum_s
        # A plain mean at first, so that one untypical first answer is soon outweighed.
        weight = max(
            figures.answer_count / answer_count,
            1.0 - (1.0 - ANSWER_WEIGHT) ** figures.answer_count,
        )
        self._mean_service_time_s_by_server[server] = previous_mean_s + weight * (
            mean_s - previous_mean_s
        )

    def compute_rates(self, now: float) -> KeyRates:
        """Return the requests per second by key, and over which time they were counted."""
        self._decay(now)
        if self._first_counted_at is None:
            return KeyRates({})
        # Right after the start, the decayed counts contain only a part of what they will.
        elapsed_s = max(0.0, now - self._first_counted_at)
        known_share = 1.0 - math.exp(-elapsed_s / REQUEST_DECAY_S)
        if known_share <= 0.0:
            return KeyRates({})
        # An exponential decay averages over twice its time constant.
        window_s = 2.0 * REQUEST_DECAY_S * math.tanh(elapsed_s / (2.0 * REQUEST_DECAY_S))
        return KeyRates(
            {key: rate / known_share for key, rate in self._rate_by_key.items()}, window_s
        )

    def estimate_service_time_s(self, server: str, default_s: float) -> float:
        """Return the mean service time of an owner, in seconds.

        An owner with few answers is taken to be about as fast as all of them together.

        :param default_s: returned while no owner of the service has answered, in seconds
        """
        if not self._total_answer_count:
            return default_s
        prior_s = self._total_service_time_s / self._total_answer_count
        answer_count = self._answer_count_by_server.get(server, 0)
        mean_s = self._mean_service_time_s_by_server.get(server, prior_s)
        own_weight = answer_count / (answer_count + PRIOR_ANSWER_COUNT)
        return prior_s + own_weight * (mean_s - prior_s)

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
