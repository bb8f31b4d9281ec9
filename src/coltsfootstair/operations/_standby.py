"""Operation records that a standby receives from the coordinators it may replace."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.operations._deduplication import RETENTION_S
from coltsfootstair.operations._messages import OperationSnapshot, Progress, RowSnapshot

__all__ = ['StandbyRecords']


class _ReceivedSnapshot(NamedTuple):
    snapshot: OperationSnapshot
    received_at: float


class _CoordinatorRecords:
    """Operation records that one coordinator has sent in one epoch.

    ``received_by_id`` is in the order of arrival. ``gap_end_by_row`` contains the rows whose
    records are complete, apart from the gap that the coordinator itself knows of.
    """

    __slots__ = ('epoch', 'gap_end_by_row', 'received_by_id')

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.gap_end_by_row: dict[int, float | None] = {}
        self.received_by_id: dict[str, _ReceivedSnapshot] = {}


class StandbyRecords:
    """Operation records replicated from other coordinators.

    The records of each coordinator are kept apart, by the name that is passed as
    ``coordinator``. Records may be missing for a row that has not been replicated since the
    last ``start_epoch``. Data of any epoch but the last is refused, so that a connection
    that was replaced can't confirm anything. Changed in place; belongs to one task.
    """

    def __init__(self) -> None:
        self._by_coordinator: dict[str, _CoordinatorRecords] = {}

    def start_epoch(self, coordinator: str, epoch: int) -> None:
        """Discard the records of ``coordinator`` and expect those of a new connection.

        :param epoch: ignored unless it is higher than the last one
        """
        known = self._by_coordinator.get(coordinator)
        if known is None or known.epoch < epoch:
            self._by_coordinator[coordinator] = _CoordinatorRecords(epoch)

    def add_rows(
        self, coordinator: str, epoch: int, row_snapshots: tuple[RowSnapshot, ...], now: float
    ) -> bool:
        """Add all operation records of some rows, and return whether they were accepted.

        Records that are already there are not replaced.
        """
        records = self._records_of_epoch(coordinator, epoch)
        if records is None:
            return False
        for row_snapshot in row_snapshots:
            age_s = row_snapshot.gap_age_s
            records.gap_end_by_row[row_snapshot.row] = None if age_s is None else now - age_s
            for snapshot in row_snapshot.snapshots:
                records.received_by_id.setdefault(
                    snapshot.operation_id, _ReceivedSnapshot(snapshot, now)
                )
        return True

    def drop_row(self, coordinator: str, epoch: int, row: int) -> None:
        """Remove the records of a row that the coordinator no longer serves."""
        records = self._records_of_epoch(coordinator, epoch)
        if records is None:
            return
        records.gap_end_by_row.pop(row, None)
        for dropped_id in [
            operation_id
            for operation_id, received in records.received_by_id.items()
            if received.snapshot.row == row
        ]:
            del records.received_by_id[dropped_id]

    def add(
        self, coordinator: str, epoch: int, snapshot: OperationSnapshot, now: float
    ) -> bool:
        """Add or replace the record of one operation, and return whether it was accepted."""
        records = self._records_of_epoch(coordinator, epoch)
        if records is None:
            return False
        records.received_by_id.pop(snapshot.operation_id, None)
        records.received_by_id[snapshot.operation_id] = _ReceivedSnapshot(snapshot, now)
        return True

    def drop_operation(self, coordinator: str, epoch: int, operation_id: str) -> None:
        """Remove the record of an operation that did not run."""
        records = self._records_of_epoch(coordinator, epoch)
        if records is not None:
            records.received_by_id.pop(operation_id, None)

    def complete_rows(self, coordinator: str) -> tuple[int, ...]:
        """Return the rows of which ``coordinator`` has sent all records."""
        records = self._by_coordinator.get(coordinator)
        return () if records is None else tuple(records.gap_end_by_row)

    def take_over(
        self, coordinator: str, rows: tuple[int, ...], now: float, *, replication_waived: bool
    ) -> tuple[RowSnapshot, ...]:
        """Return and remove the records of ``coordinator``.

        An operation without an answer may have run, so its progress becomes unknown.

        :param rows: the rows that the coordinator served
        :param replication_waived: whether the coordinator's record in the store says that
            operations may be missing here
        """
        records = self._by_coordinator.pop(coordinator, None) or _CoordinatorRecords(0)
        snapshots_by_row: dict[int, list[OperationSnapshot]] = {row: [] for row in rows}
        for received in records.received_by_id.values():
            if received.snapshot.row in snapshots_by_row:
                snapshots_by_row[received.snapshot.row].append(
                    _snapshot_for_successor(received, now)
                )
        return tuple(
            RowSnapshot(
                row, tuple(snapshots), _gap_age_s(records, row, now, replication_waived)
            )
            for row, snapshots in snapshots_by_row.items()
        )

    def drop_coordinator(self, coordinator: str) -> None:
        """Remove all records of a coordinator that has another standby now."""
        self._by_coordinator.pop(coordinator, None)

    def tick(self, now: float) -> None:
        """Remove records that are so old that their operations are not retried any more."""
        for records in self._by_coordinator.values():
            while records.received_by_id:
                operation_id, received = next(iter(records.received_by_id.items()))
                if now - received.received_at + received.snapshot.age_s < RETENTION_S * 2:
                    break
                del records.received_by_id[operation_id]

    def _records_of_epoch(self, coordinator: str, epoch: int) -> _CoordinatorRecords | None:
        records = self._by_coordinator.get(coordinator)
        return records if records is not None and records.epoch == epoch else None


def _gap_age_s(
    records: _CoordinatorRecords, row: int, now: float, replication_waived: bool
) -> float | None:
    if replication_waived or row not in records.gap_end_by_row:
        return 0.0
    gap_end = records.gap_end_by_row[row]
    return None if gap_end is None else now - gap_end


def _snapshot_for_successor(received: _ReceivedSnapshot, now: float) -> OperationSnapshot:
    snapshot = received.snapshot
    is_answered = snapshot.progress is Progress.ANSWERED
    return snapshot._replace(
        progress=Progress.ANSWERED if is_answered else Progress.UNKNOWN,
        age_s=snapshot.age_s + now - received.received_at,
    )
