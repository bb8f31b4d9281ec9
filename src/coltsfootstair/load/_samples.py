"""What became of each request, as its caller saw it."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

__all__ = ['NO_RESULT', 'Outcome', 'Sample', 'compute_latencies_ms']

NO_RESULT = -1
"""Stands for the result code of a request that got no answer."""

_LONGEST_US = 3_600_000_000
_DIGITS = 3
_US_PER_S = 1e6
_US_PER_MS = 1e3


class Outcome(enum.StrEnum):
    """How a request ended for its caller; ``FAILED`` is a backend server's error."""

    COMPLETE = 'whole'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'
    TRUNCATED = 'cut'
    MISMATCHED = 'foreign'
    FAILED = 'failed'
    UNSENT = 'unsent'


class Sample(NamedTuple):
    """One request as its caller saw it.

    :param due_at: monotonic seconds at which it was due
    :param latency_s: seconds from then to the end of its answer
    :param result: the result code, or ``NO_RESULT``
    :param ran: what a refusal says of whether it ran; empty without one
    :param daemon: the address it was sent to
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
    daemon: str
    served_by: str = ''

    @property
    def ended_at(self) -> float:
        """Monotonic seconds at which its answer had come."""
        return self.due_at + self.latency_s


def compute_latencies_ms(samples: Iterable[Sample], *percentiles: float) -> list[float]:
    """Return percentiles of the latency of whole answers, in milliseconds."""
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
    for sample in samples:
        if sample.outcome is Outcome.COMPLETE:
            histogram.record_value(max(1, round(sample.latency_s * _US_PER_S)))
    return [histogram.get_value_at_percentile(each) / _US_PER_MS for each in percentiles]
