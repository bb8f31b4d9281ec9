"""Limits of the answers that are received on all connections of a pool."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

__all__ = ['AnswerLimiter', 'CutOffReason']

Receiver = Callable[[], None]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Default of the longest body of an answer; a quarter of the default limit of a request's
body."""

MAX_TOTAL_BYTES = 4 * MAX_ANSWER_BYTES
"""Default of the memory for answers that are being received."""


class CutOffReason(enum.Enum):
    """Why an answer was not received to its end."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head too large'
    BODY_TOO_LARGE = 'body too large'
    MEMORY_FULL = 'largest while the memory was full'
    UNFINISHED = 'unfinished at the deadline'


class AnswerLimiter:
    """Limits the answers of one pool's connections, and counts those that were cut off.

    While the answers that are being received take more than their memory, the largest one is
    cut off, so that answers of usual size are received beside endless ones.

    :param max_body_bytes: longest body of one answer
    :param max_total_bytes: memory for all answers that are being received
    :ivar used_bytes: memory that is in use
    :ivar cut_off_count_by_reason: answers that were cut off since the start
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_ANSWER_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.used_bytes = 0
        self._max_total_bytes = max_total_bytes
        self._size_by_receiver: dict[Receiver, int] = {}
        self.cut_off_count_by_reason: Counter[str] = Counter()
        self._new_count_by_cause: Counter[str] = Counter()

    def update_size(self, receiver: Receiver, size: int) -> None:
        """Record the size of the answer that is being received, and keep to the total.

        :param receiver: function that cuts off this answer and calls ``remove``
        """
        self.used_bytes += size - self._size_by_receiver.get(receiver, 0)
        self._size_by_receiver[receiver] = size
        while self.used_bytes > self._max_total_bytes:
            largest = max(self._size_by_receiver, key=self._size_by_receiver.__getitem__)
            largest()

    def remove(self, receiver: Receiver) -> None:
        """Release the memory of an answer that is no longer being received."""
        self.used_bytes -= self._size_by_receiver.pop(receiver, 0)

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
