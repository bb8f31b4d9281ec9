"""Outcomes and latencies of requests, as their callers observe them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

__all__ = ['NO_RESULT', 'Outcome', 'Sample', 'compute_latencies_ms']

NO_RESULT = -1
"""Result code of a sample without an answer."""

_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1e6
_US_PER_MS = 1e3


class Outcome(enum.StrEnum):
    """How a request ended for its caller.

    ``TRUNCATED`` is an answer whose body ended early, ``MISMATCHED`` one that belongs to
    another request, and ``FAILED`` a backend server's error. An ``UNSENT`` request was so long
    overdue that it was not sent.
    """

    COMPLETE = 'whole'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'
    TRUNCATED = 'cut'
    MISMATCHED = 'foreign'
    FAILED = 'failed'
    UNSENT = 'unsent'


class Sample(NamedTuple):
    """One request, as its caller observed it.

    :param due_at: monotonic seconds at which the request was due
    :param latency_s: seconds from then until its answer had been read or, without an answer,
        until its outcome was known
    :param result: the result code, or ``NO_RESULT``
    :param ran: what a refusal says about whether the request ran; empty if it was not refused
    :param daemon_address: the daemon's address that it was sent to; empty if none
    """

    service: str
    key: str
    operation_id: str
    request_id: str
    due_at: float
    latency_s: float
    outcome: Outcome
    result: int
    ran: str
    daemon_address: str
    served_by: str = ''

    @property
    def ended_at(self) -> float:
        """Monotonic seconds at which the request ended for its caller."""
        return self.due_at + self.latency_s


def compute_latencies_ms(samples: Iterable[Sample], *percentiles: float) -> list[float]:
    """Return percentiles of the latency of complete answers, in milliseconds."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for sample in samples:
        if sample.outcome is Outcome.COMPLETE:
            histogram.record_value(max(1, round(sample.latency_s * _US_PER_S)))
    return [
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in percentiles
    ]
