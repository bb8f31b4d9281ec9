"""Receives, as a standby, the operation records of coordinators that it may replace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    OperationDropped,
    OperationUpdated,
    ReplicationConfirmed,
    ReplicationStarted,
    RowDropped,
    RowHandedOver,
    RowsReplicated,
)
from coltsfootstair.operations import RowSnapshot, StandbyRecords

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.clock import Clock
    from coltsfootstair.inner import ReplicationMessage, Stream

__all__ = ['ReplicationReceiver', 'build_handover_messages']


def build_handover_messages(
    backend_server: str, row_epoch: int, lease_epoch: int, row_snapshot: RowSnapshot
) -> Iterator[RowHandedOver]:
    """Return the messages that hand over a row's operation records.

    Each but the last has one operation and counts as a gap of its own, so that the row
    counts as incomplete until the last message has arrived.

    :param row_epoch: the epoch of the row at the sender
    :param lease_epoch: the epoch of the sender's lease; 0 if the row has a new owner
    """
    for snapshot in row_snapshot.snapshots:
        part = RowSnapshot(row_snapshot.row, (snapshot,), 0.0)
        yield RowHandedOver(backend_server, row_epoch, lease_epoch, part)
    yield RowHandedOver(
        backend_server, row_epoch, lease_epoch, row_snapshot._replace(snapshots=())
    )


class ReplicationReceiver:
    """Stores replicated operation records; used on the coordinator task's thread only."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records = StandbyRecords()

    def apply_message(self, stream: Stream, message: ReplicationMessage) -> None:
        """Apply a message of a coordinator, and confirm it if that was asked for."""
        now = self._clock.monotonic()
        match message:
            case ReplicationStarted(name, epoch):
                self._records.start_epoch(name, epoch)
            case OperationUpdated(name, epoch, snapshot, confirm):
                replicated = self._records.add(name, epoch, snapshot, now)
                if replicated and confirm:
                    stream.send(ReplicationConfirmed(name, epoch, snapshot.operation_id))
            case RowsReplicated(name, epoch, row_snapshots):
                self._records.add_rows(name, epoch, row_snapshots, now)
            case OperationDropped(name, epoch, operation_id):
                self._records.drop_operation(name, epoch, operation_id)
            case RowDropped(name, epoch, row):
                self._records.drop_row(name, epoch, row)

    def take_over(self, backend_server: str) -> tuple[RowSnapshot, ...]:
        """Return and remove the records of a server whose lease this daemon has taken over."""
        now = self._clock.monotonic()
        rows = self._records.complete_rows(backend_server)
        return self._records.take_over(backend_server, rows, now, replication_waived=False)

    def drop(self, backend_server: str) -> None:
        """Remove the records of a server for which this daemon is no longer the standby."""
        self._records.drop_coordinator(backend_server)

    def tick(self) -> None:
        """Remove records that are past their retention."""
        self._records.tick(self._clock.monotonic())
