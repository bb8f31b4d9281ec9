"""The bounded table of operations that a coordinator remembers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from coltsfootstair.operations._messages import CachedAnswer, OperationSnapshot, Progress

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    'MAX_BYTES',
    'MAX_CACHED_ANSWER_BYTES',
    'MAX_ENTRIES',
    'OperationRecord',
    'OperationRecords',
]

MAX_ENTRIES = 100_000
MAX_BYTES = 32 * 1024 * 1024
MAX_CACHED_ANSWER_BYTES = 16 * 1024
OVERHEAD_BYTES = 500


class OperationRecord:
    """One operation, and the requests that want its answer.

    :param request_id: the request that is, or would be, sent
    :param deadlines_by_request: resends that wait for the same answer
    """

    __slots__ = (
        'answer',
        'deadlines_by_request',
        'fingerprint',
        'granted_at',
        'noted',
        'operation_id',
        'progress',
        'request_id',
        'row',
        'since',
    )

    def __init__(
        self, operation_id: str, row: int, fingerprint: bytes, request_id: str, since: float
    ) -> None:
        self.operation_id = operation_id
        self.row = row
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.since = since
        self.progress = Progress.WAITING
        self.noted = False
        self.granted_at: float | None = None
        self.answer: CachedAnswer | None = None
        self.deadlines_by_request: dict[str, float] = {}

    @property
    def sent(self) -> bool:
        """Return whether a byte of the request may have reached a backend server."""
        return self.progress is not Progress.WAITING

    def snapshot(self, now: float) -> OperationSnapshot:
        """Return what another daemon needs to know of it."""
        return OperationSnapshot(
            self.operation_id,
            self.row,
            self.fingerprint,
            self.progress,
            self.answer,
            max(now - self.since, 0.0),
        )


class OperationRecords:
    """Operations by id; the settled ones in the order in which they are to be forgotten.

    ``unsettled_by_id`` holds those that are not settled.
    """

    __slots__ = (
        '_by_id',
        '_ids_by_row',
        '_kept',
        '_settled',
        'answer_bytes',
        'unsettled_by_id',
    )

    def __init__(self) -> None:
        self._by_id: dict[str, OperationRecord] = {}
        self._ids_by_row: dict[int, set[str]] = {}
        self.unsettled_by_id: dict[str, OperationRecord] = {}
        self._settled: OrderedDict[str, None] = OrderedDict()
        self._kept: OrderedDict[str, None] = OrderedDict()
        self.answer_bytes = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[OperationRecord]:
        return iter(self._by_id.values())

    @property
    def full(self) -> bool:
        """Return whether there is room for no further operation."""
        bytes_used = len(self._by_id) * OVERHEAD_BYTES + self.answer_bytes
        return len(self._by_id) >= MAX_ENTRIES or bytes_used >= MAX_BYTES

    def get(self, operation_id: str) -> OperationRecord | None:
        """Return the operation, if it is remembered."""
        return self._by_id.get(operation_id)

    def add(self, operation: OperationRecord) -> None:
        """Remember a new operation."""
        self._by_id[operation.operation_id] = operation
        self.unsettled_by_id[operation.operation_id] = operation
        self._ids_by_row.setdefault(operation.row, set()).add(operation.operation_id)

    def of_row(self, row: int) -> list[OperationRecord]:
        """Return the operations of one row."""
        return [self._by_id[i] for i in self._ids_by_row.get(row, ())]

    def settle(self, operation: OperationRecord, answer: CachedAnswer | None) -> None:
        """Start the time after which a settled operation is forgotten."""
        self.unsettled_by_id.pop(operation.operation_id, None)
        self._settled[operation.operation_id] = None
        self._settled.move_to_end(operation.operation_id)
        if answer is None or _size(answer) > MAX_CACHED_ANSWER_BYTES:
            return
        while self._kept and self.answer_bytes + _size(answer) > MAX_BYTES // 2:
            self._drop_answer(next(iter(self._kept)))
        operation.answer = answer
        self._kept[operation.operation_id] = None
        self.answer_bytes += _size(answer)

    def remove(self, operation_id: str) -> None:
        """Forget an operation."""
        self._drop_answer(operation_id)
        self._settled.pop(operation_id, None)
        self.unsettled_by_id.pop(operation_id, None)
        row = self._by_id.pop(operation_id).row
        ids = self._ids_by_row[row]
        ids.remove(operation_id)
        if not ids:
            del self._ids_by_row[row]

    def forget_settled_before(self, since: float) -> None:
        """Forget what was settled before ``since`` (monotonic seconds)."""
        while self._settled:
            operation = self._by_id[next(iter(self._settled))]
            if operation.since >= since:
                return
            self.remove(operation.operation_id)

    def _drop_answer(self, operation_id: str) -> None:
        operation = self._by_id[operation_id]
        if operation.answer is None:
            return
        self._kept.pop(operation_id)
        self.answer_bytes -= _size(operation.answer)
        operation.answer = None


def _size(answer: CachedAnswer) -> int:
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
