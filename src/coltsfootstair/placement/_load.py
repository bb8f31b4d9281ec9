"""What one daemon knows of one backend server's load."""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ['LoadEstimate', 'LoadReport']

REPORT_DECAY_S = 0.6
"""Time constant with which a report's figures give way to their average, in seconds: about
the time in which the requests that it counted end."""

AVERAGE_DECAY_S = 4.0
"""Time constant with which the average of the reports is forgotten, in seconds."""

AVERAGE_WEIGHT = 0.3
"""Weight of a new report in the average of the reports."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of a new measurement in the mean service time."""

FAILURE_WEIGHT = 0.15
"""Weight of a new outcome in the share of failures."""

FAILURE_DECAY_S = 3.0
"""Time constant in which past failures are forgotten, in seconds, so that a server that has
recovered is tried again."""

STALE_REPORT_SERVICE_TIMES = 2.0
"""Mean service times after which a report tells little of the present load: most of the
requests that it counted have ended."""

UNRESPONSIVE_REQUEST_COUNT = 3
"""Requests without an answer from which a server may be taken for silent."""

UNRESPONSIVE_SERVICE_TIMES = 5.0
"""Mean service times without any answer after which it is taken for silent; the longest
usual work takes about as long."""

UNRESPONSIVE_PAUSE_S = 0.5
"""How long a silent server is left alone before it is tried again, in seconds."""

DEFAULT_SERVICE_TIME_S = 0.1
"""Mean service time taken for granted before the first answer, in seconds."""


class LoadReport(NamedTuple):
    """What a backend server says of its load.

    :param pace: how long work takes there at present, 1.0 as usual
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class LoadEstimate:
    """Own requests in flight, the last report, mean service time and failures."""

    __slots__ = (
        '_failed_at',
        '_failure_share',
        '_mean_others',
        '_measured_count',
        '_reported_at',
        '_reported_others',
        '_reported_slowdown',
        'answer_count',
        'in_flight',
        'mean_service_s',
        'service_time_sum_s',
        'slots',
        'unanswered_count',
        'waiting_since',
    )

    def __init__(self, slots: int, service_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self.slots = max(1, slots)
        self.mean_service_s = service_s
        self.in_flight = 0
        self.answer_count = 0
        self._measured_count = 0
        self.service_time_sum_s = 0.0
        self.unanswered_count = 0
        self.waiting_since = math.inf
        self._reported_others = 0.0
        self._mean_others = 0.0
        self._reported_slowdown = 1.0
        self._reported_at = -math.inf
        self._failure_share = 0.0
        self._failed_at = -math.inf

    def on_request_sent(self, now: float) -> None:
        """Count a request that is being sent."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1

    def on_request_ended(self) -> None:
        """Count the end of a request, however it ended."""
        self.in_flight -= 1

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Take the load that came with an answer, or from another daemon.

        Called while the answered request still counts as in flight here.
        """
        self.slots = max(1, report.slots)
        self._reported_others = max(
            0.0, report.running + report.waiting - max(0, self.in_flight - 1)
        )
        mean = self._mean_others * math.exp(-(now - self._reported_at) / AVERAGE_DECAY_S)
        self._mean_others = mean + AVERAGE_WEIGHT * (self._reported_others - mean)
        self._reported_slowdown = max(0.1, report.slowdown)
        self._reported_at = now

    def on_success(self, latency_s: float, now: float) -> None:
        """Take the time of an answer, less the wait that was to be expected for it."""
        self.answer_count += 1
        self.waiting_since = now
        self.unanswered_count = 0
        queued = max(0.0, self.estimate_in_flight(now) - self.slots) / self.slots
        sample = latency_s / (1.0 + queued)
        self.service_time_sum_s += sample
        self._measured_count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / self._measured_count)
        self.mean_service_s += weight * (sample - self.mean_service_s)
        self._failure_share = self.compute_failure_share(now) * (1.0 - FAILURE_WEIGHT)
        self._failed_at = now

    def on_error_answer(self, now: float) -> None:
        """Count an answer that is an error; how soon it came says nothing of the speed."""
        self.answer_count += 1
        self.service_time_sum_s += self.mean_service_s
        self.on_failure(now)

    def on_failure(self, now: float) -> None:
        """Count a request that the server did not serve though it should have."""
        share = self.compute_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        self._failed_at = now

    def on_no_answer(self, now: float) -> None:
        """Count a request or a connection attempt that got no answer at all."""
        self.unanswered_count += 1
        self.on_failure(now)

    def on_any_answer(self, now: float) -> None:
        """Note an answer of any kind."""
        self.unanswered_count = 0
        self.waiting_since = now

    def is_overdue(self, now: float) -> bool:
        """Whether requests here wait for much longer than usual without any answer."""
        if not self.in_flight:
            return self.unanswered_count > 0 and now - self._failed_at < UNRESPONSIVE_PAUSE_S
        return now - self.waiting_since > self._compute_patience_s(now)

    def _compute_patience_s(self, now: float) -> float:
        return (
            UNRESPONSIVE_SERVICE_TIMES
            * self.mean_service_s
            * max(1.0, self.estimate_slowdown(now))
        )

    def is_unresponsive(self, now: float) -> bool:
        """Whether nothing has come back for so long that nothing may come any more."""
        if self.in_flight + self.unanswered_count < UNRESPONSIVE_REQUEST_COUNT:
            return False
        if not self.in_flight:
            return (
                self.unanswered_count >= UNRESPONSIVE_REQUEST_COUNT
                and now - self._failed_at < UNRESPONSIVE_PAUSE_S
            )
        return now - self.waiting_since > self._compute_patience_s(now)

    def is_report_stale(self, now: float) -> bool:
        """Whether the last report is too old to tell what other daemons have sent."""
        return now - self._reported_at > STALE_REPORT_SERVICE_TIMES * self.mean_service_s

    def compute_failure_share(self, now: float) -> float:
        """Return the recent share of failures, from 0 to 1."""
        if self._failure_share == 0.0:
            return 0.0
        return self._failure_share * math.exp(-(now - self._failed_at) / FAILURE_DECAY_S)

    def estimate_in_flight(self, now: float) -> float:
        """Return how many requests the server has at present, by estimate."""
        age_s = now - self._reported_at
        if math.isinf(age_s):
            return float(self.in_flight)
        mean = self._mean_others * math.exp(-age_s / AVERAGE_DECAY_S)
        others = mean + (self._reported_others - mean) * math.exp(-age_s / REPORT_DECAY_S)
        return self.in_flight + others

    def estimate_slowdown(self, now: float) -> float:
        """Return how long work takes at present; back to 1.0 as the report ages."""
        age_s = now - self._reported_at
        if age_s > 5 * REPORT_DECAY_S:
            return 1.0
        return 1.0 + (self._reported_slowdown - 1.0) * math.exp(-age_s / REPORT_DECAY_S)

    def estimate_answer_s(self, now: float) -> float:
        """Return how long a request that is sent now takes, by estimate, in seconds."""
        waiting = max(0.0, self.estimate_in_flight(now) + 1.0 - self.slots)
        return self.mean_service_s * self.estimate_slowdown(now) * (1.0 + waiting / self.slots)
