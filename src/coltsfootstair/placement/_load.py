"""One daemon's estimate of the load of one backend server."""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ['LoadEstimate', 'LoadReport', 'ServiceMean']

REPORT_DECAY_S = 0.6
"""Time constant with which the figures of a report decay to the average, in seconds: about the
time in which the requests that the report counted end."""

AVERAGE_DECAY_S = 4.0
"""Time constant with which the average of the reports decays to zero, in seconds."""

AVERAGE_WEIGHT = 0.3
"""Weight of a new report in the moving average of the reports."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of a new measurement in the moving average of the service time."""

FAILURE_WEIGHT = 0.15
"""Weight of a new outcome in the moving average of the failure share."""

FAILURE_DECAY_S = 3.0
"""Time constant with which the failure share decays, in seconds, so that a server that has
recovered gets requests again."""

STALE_REPORT_SERVICE_TIMES = 2.0
"""Age from which a report is stale, in mean service times: most of the requests that it
counted have ended."""

UNRESPONSIVE_REQUEST_COUNT = 3
"""Number of requests without an answer from which a server may count as unresponsive."""

UNRESPONSIVE_SERVICE_TIMES = 5.0
"""Time without any answer after which a server counts as unresponsive, in mean service times;
the slowest requests in normal operation take about as long."""

UNRESPONSIVE_PAUSE_S = 0.5
"""How long an unresponsive server gets no requests before it is tried again, in seconds."""

PRIOR_ANSWER_COUNT = 2.0
"""Number of answers of a server that weigh as much as the service's mean in its mean service
time. With hundreds of servers, a daemon has few answers of each."""

SERVICE_PRIOR_ANSWER_COUNT = 5.0
"""Number of answers of a service that weigh as much as the service time that is expected
before the first answer."""

SERVICE_MEAN_WEIGHT = 0.01
"""Least weight of a new measurement in the mean service time of a service."""

DEFAULT_SERVICE_TIME_S = 0.1
"""Mean service time that is assumed before the first answer, in seconds."""


class LoadReport(NamedTuple):
    """Load that a backend server reports.

    :param running: number of requests that it works on
    :param waiting: number of requests in its queue
    :param slots: number of requests that it can work on at once
    :param slowdown: factor by which requests take longer than usual; 1.0 if not at all
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class ServiceMean:
    """Mean service time over all servers of a service, as measured by this daemon.

    :param expected_s: service time to expect before the first answer, in seconds
    """

    __slots__ = ('_answer_count', 'mean_s')

    def __init__(self, expected_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self.mean_s = expected_s
        self._answer_count = 0

    def add(self, service_time_s: float) -> None:
        """Count the service time of one answer of any server of the service."""
        self._answer_count += 1
        weight = max(
            SERVICE_MEAN_WEIGHT, 1.0 / (self._answer_count + SERVICE_PRIOR_ANSWER_COUNT)
        )
        self.mean_s += weight * (service_time_s - self.mean_s)


class LoadEstimate:
    """Load of one backend server, from this daemon's requests and the reports of the server.

    :param slots: number of requests that it can work on at once
    :param service_mean: mean service time over all servers of its service, which counts while
        this daemon has few answers of this server
    """

    __slots__ = (
        '_failure_share',
        '_last_outcome_at',
        '_mean_other_requests',
        '_measured_count',
        '_measured_mean_s',
        '_reported_at',
        '_reported_other_requests',
        '_reported_slowdown',
        '_service_mean',
        'answer_count',
        'in_flight',
        'no_answer_since',
        'service_time_sum_s',
        'slots',
        'unanswered_count',
    )

    def __init__(self, slots: int, service_mean: ServiceMean | None = None) -> None:
        self.slots = max(1, slots)
        self._service_mean = service_mean if service_mean is not None else ServiceMean()
        self._measured_mean_s = 0.0
        self.in_flight = 0
        self.answer_count = 0
        self._measured_count = 0
        self.service_time_sum_s = 0.0
        self.unanswered_count = 0
        # Time of the last answer or, if later, of the first request after none was in flight.
        self.no_answer_since = math.inf
        # Requests of other daemons at the server: by the last report, and as a moving average.
        self._reported_other_requests = 0.0
        self._mean_other_requests = 0.0
        self._reported_slowdown = 1.0
        self._reported_at = -math.inf
        self._failure_share = 0.0
        self._last_outcome_at = -math.inf

    @property
    def mean_service_time_s(self) -> float:
        """Mean service time, in seconds; by the whole service while few answers have come."""
        own_weight = self._measured_count / (self._measured_count + PRIOR_ANSWER_COUNT)
        service_mean_s = self._service_mean.mean_s
        return service_mean_s + own_weight * (self._measured_mean_s - service_mean_s)

    def on_request_sent(self, now: float) -> None:
        """Count a request that is being sent."""
        if not self.in_flight:
            self.no_answer_since = now
        self.in_flight += 1

    def on_request_ended(self) -> None:
        """Count the end of a request, however it ended."""
        self.in_flight -= 1

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a report that came with an answer.

        This daemon's requests are subtracted from the reported ones, except the answered one:
        it still counts as in flight here, but the server no longer counts it.
        """
        self.slots = max(1, report.slots)
        self._reported_other_requests = max(
            0.0, report.running + report.waiting - max(0, self.in_flight - 1)
        )
        mean_other_requests = self._mean_other_requests * math.exp(
            -(now - self._reported_at) / AVERAGE_DECAY_S
        )
        self._mean_other_requests = mean_other_requests + AVERAGE_WEIGHT * (
            self._reported_other_requests - mean_other_requests
        )
        self._reported_slowdown = max(0.1, report.slowdown)
        self._reported_at = now

    def on_success(self, latency_s: float, now: float) -> None:
        """Count a successful answer and its service time, without the expected wait."""
        self.answer_count += 1
        self.no_answer_since = now
        self.unanswered_count = 0
        queue_per_slot = max(0.0, self.estimate_in_flight(now) - self.slots) / self.slots
        sample = latency_s / (1.0 + queue_per_slot)
        self.service_time_sum_s += sample
        self._measured_count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / self._measured_count)
        self._measured_mean_s += weight * (sample - self._measured_mean_s)
        self._service_mean.add(sample)
        self._failure_share = self.compute_failure_share(now) * (1.0 - FAILURE_WEIGHT)
        self._last_outcome_at = now

    def on_error_answer(self, now: float) -> None:
        """Count an error answer; its latency does not tell how fast the server is."""
        self.answer_count += 1
        self.service_time_sum_s += self.mean_service_time_s
        self.on_failure(now)

    def on_failure(self, now: float) -> None:
        """Count a request that the server should have served but did not."""
        share = self.compute_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        self._last_outcome_at = now

    def on_no_answer(self, now: float) -> None:
        """Count a request or a connection attempt that got no answer."""
        self.unanswered_count += 1
        self.on_failure(now)

    def on_any_answer(self, now: float) -> None:
        """Record that an answer of any kind has come."""
        self.unanswered_count = 0
        self.no_answer_since = now

    def is_overdue(self, now: float) -> bool:
        """Whether requests have waited much longer than usual without any answer.

        One request is enough; ``is_unresponsive`` needs several.
        """
        if not self.in_flight:
            return (
                self.unanswered_count > 0
                and now - self._last_outcome_at < UNRESPONSIVE_PAUSE_S
            )
        return now - self.no_answer_since > self._compute_unresponsive_after_s(now)

    def _compute_unresponsive_after_s(self, now: float) -> float:
        return (
            UNRESPONSIVE_SERVICE_TIMES
            * self.mean_service_time_s
            * max(1.0, self.estimate_slowdown(now))
        )

    def is_unresponsive(self, now: float) -> bool:
        """Whether several requests got no answer for so long that none is expected."""
        if self.in_flight + self.unanswered_count < UNRESPONSIVE_REQUEST_COUNT:
            return False
        if not self.in_flight:
            return (
                self.unanswered_count >= UNRESPONSIVE_REQUEST_COUNT
                and now - self._last_outcome_at < UNRESPONSIVE_PAUSE_S
            )
        return now - self.no_answer_since > self._compute_unresponsive_after_s(now)

    def is_report_stale(self, now: float) -> bool:
        """Whether the last report is too old to reflect the requests of other daemons."""
        return now - self._reported_at > STALE_REPORT_SERVICE_TIMES * self.mean_service_time_s

    def compute_failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        if self._failure_share == 0.0:
            return 0.0
        return self._failure_share * math.exp(-(now - self._last_outcome_at) / FAILURE_DECAY_S)

    def estimate_in_flight(self, now: float) -> float:
        """Return the estimated number of requests of all daemons at the server."""
        age_s = now - self._reported_at
        if math.isinf(age_s):
            return float(self.in_flight)
        mean_other_requests = self._mean_other_requests * math.exp(-age_s / AVERAGE_DECAY_S)
        other_requests = mean_other_requests + (
            self._reported_other_requests - mean_other_requests
        ) * math.exp(-age_s / REPORT_DECAY_S)
        return self.in_flight + other_requests

    def estimate_slowdown(self, now: float) -> float:
        """Return the estimated slowdown; it decays to 1.0 as the report ages."""
        age_s = now - self._reported_at
        # After five time constants less than 1 % of the report's slowdown is left.
        if age_s > 5 * REPORT_DECAY_S:
            return 1.0
        return 1.0 + (self._reported_slowdown - 1.0) * math.exp(-age_s / REPORT_DECAY_S)

    def estimate_latency_s(self, now: float) -> float:
        """Return the estimated latency of a request that is sent now, in seconds."""
        waiting = max(0.0, self.estimate_in_flight(now) + 1.0 - self.slots)
        return (
            self.mean_service_time_s
            * self.estimate_slowdown(now)
            * (1.0 + waiting / self.slots)
        )
