"""The operation records of a deduplication table, bounded in number and size."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from coltsfootstair.operations._messages import CachedAnswer, OperationSnapshot, Progress

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    'MAX_CACHED_ANSWER_BYTES',
    'MAX_RECORDS',
    'MAX_RECORDS_BYTES',
    'OperationRecord',
    'OperationRecords',
]

MAX_RECORDS = 100_000
"""Upper bound of the number of operation records."""

MAX_RECORDS_BYTES = 32 * 1024 * 1024
"""Upper bound of the memory of all records, in bytes.

Cached answers may take up half of it.
"""

MAX_CACHED_ANSWER_BYTES = 16 * 1024
"""Size up to which an answer is cached for retries, in bytes."""

RECORD_OVERHEAD_BYTES = 500
"""Memory that one record is assumed to take up without its answer, in bytes."""


class OperationRecord:
    """One operation, and the requests that wait for its answer.

    ``deadline_by_retry`` has the ids of the retries that wait for the answer to the first
    request, each with the monotonic seconds by which its caller expects it.

    :param request_id: the first request of the operation, which alone may be sent
    :param updated_at: time of its first request; once settled, time of the settlement; in
        monotonic seconds
    """

    __slots__ = (
        'answer',
        'deadline_by_retry',
        'fingerprint',
        'operation_id',
        'progress',
        'replicated',
        'request_id',
        'row',
        'slot_assigned_at',
        'updated_at',
    )

    def __init__(
        self,
        operation_id: str,
        row: int,
        fingerprint: bytes,
        request_id: str,
        updated_at: float,
    ) -> None:
        self.operation_id = operation_id
        self.row = row
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.updated_at = updated_at
        self.progress = Progress.WAITING
        self.replicated = False
        self.slot_assigned_at: float | None = None
        self.answer: CachedAnswer | None = None
        self.deadline_by_retry: dict[str, float] = {}

    @property
    def was_dispatched(self) -> bool:
        """Whether a byte of the request may have reached a backend server."""
        return self.progress is not Progress.WAITING

    def snapshot(self, now: float) -> OperationSnapshot:
        """Return a copy for another daemon."""
        return OperationSnapshot(
            self.operation_id,
            self.row,
            self.fingerprint,
            self.progress,
            self.answer,
            max(now - self.updated_at, 0.0),
        )


class OperationRecords:
    """Operation records by operation id.

    An operation is settled when it was answered, or when its outcome can't become known.
    Settled records expire in the order of their settlement. ``unsettled_by_id`` contains
    the records that are not settled, and ``answer_bytes`` is the size of all cached answers.
    """

    __slots__ = (
        '_cached_answer_ids',
        '_ids_by_row',
        '_record_by_id',
        '_settled_ids',
        'answer_bytes',
        'unsettled_by_id',
    )

    def __init__(self) -> None:
        self._record_by_id: dict[str, OperationRecord] = {}
        self._ids_by_row: dict[int, set[str]] = {}
        self.unsettled_by_id: dict[str, OperationRecord] = {}
        self._settled_ids: OrderedDict[str, None] = OrderedDict()
        self._cached_answer_ids: OrderedDict[str, None] = OrderedDict()
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._record_by_id)

    def __iter__(self) -> Iterator[OperationRecord]:
        return iter(self._record_by_id.values())

    @property
    def is_full(self) -> bool:
        """Whether there is no room for another record."""
        bytes_used = len(self._record_by_id) * RECORD_OVERHEAD_BYTES + self.answer_bytes
        return len(self._record_by_id) >= MAX_RECORDS or bytes_used >= MAX_RECORDS_BYTES

    def get(self, operation_id: str) -> OperationRecord | None:
        """Return the record of an operation, if there is one."""
        return self._record_by_id.get(operation_id)

    def add(self, operation: OperationRecord) -> None:
        """Add a new operation."""
        self._record_by_id[operation.operation_id] = operation
        self.unsettled_by_id[operation.operation_id] = operation
        self._ids_by_row.setdefault(operation.row, set()).add(operation.operation_id)

    def of_row(self, row: int) -> list[OperationRecord]:
        """Return the records of the operations of one row."""
        return [
            self._record_by_id[operation_id] for operation_id in self._ids_by_row.get(row, ())
        ]

    def settle(self, operation: OperationRecord, answer: CachedAnswer | None) -> None:
        """Mark an operation as settled, so that its record expires, and cache its answer.

        The caller sets ``updated_at`` and ``progress`` before. The oldest cached answers are
        removed if there is too little memory for this one; too large an answer is not cached.
        """
        self.unsettled_by_id.pop(operation.operation_id, None)
        self._settled_ids[operation.operation_id] = None
        self._settled_ids.move_to_end(operation.operation_id)
        if answer is None or _answer_bytes(answer) > MAX_CACHED_ANSWER_BYTES:
            return
        while (
            self._cached_answer_ids
            and self.answer_bytes + _answer_bytes(answer) > MAX_RECORDS_BYTES // 2
        ):
            self._drop_answer(next(iter(self._cached_answer_ids)))
        operation.answer = answer
        self._cached_answer_ids[operation.operation_id] = None
        self.answer_bytes += _answer_bytes(answer)

    def remove(self, operation_id: str) -> None:
        """Remove the record of an operation.

        :raises KeyError: there is no such record
        """
        self._drop_answer(operation_id)
        self._settled_ids.pop(operation_id, None)
        self.unsettled_by_id.pop(operation_id, None)
        row = self._record_by_id.pop(operation_id).row
        ids = self._ids_by_row[row]
        ids.remove(operation_id)
        if not ids:
            del self._ids_by_row[row]

    def remove_settled_before(self, settled_at: float) -> None:
        """Remove the records settled before ``settled_at``, in monotonic seconds."""
        while self._settled_ids:
            operation = self._record_by_id[next(iter(self._settled_ids))]
            if operation.updated_at >= settled_at:
                return
            self.remove(operation.operation_id)

    def _drop_answer(self, operation_id: str) -> None:
        operation = self._record_by_id[operation_id]
        if operation.answer is None:
            return
        self._cached_answer_ids.pop(operation_id)
        self.answer_bytes -= _answer_bytes(operation.answer)
        operation.answer = None


def _answer_bytes(answer: CachedAnswer) -> int:
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
