"""Limits of the answers that are received on all connections of a pool."""

from __future__ import annotations

import enum
from collections import Counter

__all__ = ['AnswerLimiter', 'CutOffReason']

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Default of the longest body of an answer; a quarter of the default limit of a request's
body."""


class CutOffReason(enum.Enum):
    """Why an answer was not received to its end."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head too large'
    BODY_TOO_LARGE = 'body too large'
    UNFINISHED = 'unfinished at the deadline'


class AnswerLimiter:
    """Limits the answers of one pool's connections, and counts those that were cut off.

    :param max_body_bytes: longest body of one answer
    :ivar cut_off_count_by_reason: answers that were cut off since the start
    """

    def __init__(self, max_body_bytes: int = MAX_ANSWER_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.cut_off_count_by_reason: Counter[str] = Counter()
        self._new_count_by_cause: Counter[str] = Counter()

    def count_cut_off(self, server: str, reason: CutOffReason) -> None:
        """Count an answer that was cut off.

        :param server: address of the server that sent it
        """
        self.cut_off_count_by_reason[reason.value] += 1
        self._new_count_by_cause[f'{server}: {reason.value}'] += 1

    def take_new_counts(self) -> dict[str, int]:
        """Return the counts by server and reason since the last call."""
        counts = dict(self._new_count_by_cause)
        self._new_count_by_cause.clear()
        return counts
