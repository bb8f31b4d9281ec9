"""What a standby notes of the operations of the coordinators that it may replace."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.operations._deduplication import RETENTION_S
from coltsfootstair.operations._messages import OperationSnapshot, Progress, RowSnapshot

__all__ = ['StandbyRecords']


class _Note(NamedTuple):
    snapshot: OperationSnapshot
    noted_at: float


class _Notes:
    __slots__ = ('by_id', 'epoch', 'gap_end_by_row')

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.gap_end_by_row: dict[int, float | None] = {}
        self.by_id: dict[str, _Note] = {}


class StandbyRecords:
    """Operations noted for other coordinators, by the name of each.

    A row that was not copied since the last ``start_epoch`` counts as a gap.
    Notes of another epoch than the last one begun are refused, so that a connection that
    has been replaced can't confirm anything. Changed in place; belongs to one task.
    """

    def __init__(self) -> None:
        self._by_coordinator: dict[str, _Notes] = {}

    def start_epoch(self, coordinator: str, epoch: int) -> None:
        """Start afresh for a connection of ``coordinator``."""
        known = self._by_coordinator.get(coordinator)
        if known is None or known.epoch < epoch:
            self._by_coordinator[coordinator] = _Notes(epoch)

    def add_rows(
        self, coordinator: str, epoch: int, records: tuple[RowSnapshot, ...], now: float
    ) -> bool:
        """Take in all that the coordinator knew of some rows; tell whether it was."""
        notes = self._current(coordinator, epoch)
        if notes is None:
            return False
        for record in records:
            age_s = record.gap_age_s
            notes.gap_end_by_row[record.row] = None if age_s is None else now - age_s
            for snapshot in record.snapshots:
                notes.by_id.setdefault(snapshot.operation_id, _Note(snapshot, now))
        return True

    def drop_row(self, coordinator: str, epoch: int, row: int) -> None:
        """Forget a row that the coordinator no longer owns."""
        notes = self._current(coordinator, epoch)
        if notes is None:
            return
        notes.gap_end_by_row.pop(row, None)
        for operation_id in [i for i, n in notes.by_id.items() if n.snapshot.row == row]:
            del notes.by_id[operation_id]

    def add(
        self, coordinator: str, epoch: int, snapshot: OperationSnapshot, now: float
    ) -> bool:
        """Note one operation, or its end; tell whether it was noted."""
        notes = self._current(coordinator, epoch)
        if notes is None:
            return False
        notes.by_id.pop(snapshot.operation_id, None)
        notes.by_id[snapshot.operation_id] = _Note(snapshot, now)
        return True

    def drop_operation(self, coordinator: str, epoch: int, operation_id: str) -> None:
        """Forget an operation that did not run."""
        notes = self._current(coordinator, epoch)
        if notes is not None:
            notes.by_id.pop(operation_id, None)

    def complete_rows(self, coordinator: str) -> tuple[int, ...]:
        """Return the rows of which ``coordinator`` has sent all that it knew."""
        notes = self._by_coordinator.get(coordinator)
        return () if notes is None else tuple(notes.gap_end_by_row)

    def take_over(
        self, coordinator: str, rows: tuple[int, ...], now: float, *, replication_waived: bool
    ) -> tuple[RowSnapshot, ...]:
        """Return what is known of ``coordinator``'s rows, and stop noting for it.

        An operation without an answer may have run and is handed on as unknown.

        :param rows: the rows that the coordinator owns
        :param waived: whether its record says that operations may be missing here
        """
        notes = self._by_coordinator.pop(coordinator, None) or _Notes(0)
        snapshots_by_row: dict[int, list[OperationSnapshot]] = {row: [] for row in rows}
        for entry in notes.by_id.values():
            if entry.snapshot.row in snapshots_by_row:
                snapshots_by_row[entry.snapshot.row].append(_as_left(entry, now))
        return tuple(
            RowSnapshot(row, tuple(snapshots), _gap_age_s(notes, row, now, replication_waived))
            for row, snapshots in snapshots_by_row.items()
        )

    def drop_coordinator(self, coordinator: str) -> None:
        """Forget all of a coordinator that has another standby now."""
        self._by_coordinator.pop(coordinator, None)

    def tick(self, now: float) -> None:
        """Forget what is too old to be asked for again."""
        for notes in self._by_coordinator.values():
            while notes.by_id:
                operation_id, entry = next(iter(notes.by_id.items()))
                if now - entry.noted_at + entry.snapshot.age_s < RETENTION_S * 2:
                    break
                del notes.by_id[operation_id]

    def _current(self, coordinator: str, epoch: int) -> _Notes | None:
        notes = self._by_coordinator.get(coordinator)
        return notes if notes is not None and notes.epoch == epoch else None


def _gap_age_s(notes: _Notes, row: int, now: float, replication_waived: bool) -> float | None:
    if replication_waived or row not in notes.gap_end_by_row:
        return 0.0
    gap_at = notes.gap_end_by_row[row]
    return None if gap_at is None else now - gap_at


def _as_left(entry: _Note, now: float) -> OperationSnapshot:
    snapshot = entry.snapshot
    answered = snapshot.progress is Progress.ANSWERED
    return snapshot._replace(
        progress=Progress.ANSWERED if answered else Progress.UNKNOWN,
        age_s=snapshot.age_s + now - entry.noted_at,
    )
