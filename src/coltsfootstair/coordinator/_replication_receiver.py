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
    RowsSent,
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

    Each message but the last has one operation and a gap of age 0, so that the row counts as
    incomplete until the last message has arrived.

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
        """Apply a message of a coordinator, and confirm it if the message requests that."""
        now = self._clock.monotonic()
        match message:
            case ReplicationStarted(name, replication_epoch):
                self._records.start_replication_epoch(name, replication_epoch)
            case OperationUpdated(name, replication_epoch, snapshot, confirm):
                is_stored = self._records.add(name, replication_epoch, snapshot, now)
                if is_stored and confirm:
                    stream.send(
                        ReplicationConfirmed(name, replication_epoch, snapshot.operation_id)
                    )
            case RowsSent(name, replication_epoch, row_snapshots):
                self._records.add_rows(name, replication_epoch, row_snapshots, now)
            case OperationDropped(name, replication_epoch, operation_id):
                self._records.drop_operation(name, replication_epoch, operation_id)
            case RowDropped(name, replication_epoch, row):
                self._records.drop_row(name, replication_epoch, row)

    def take_over(self, backend_server: str) -> tuple[RowSnapshot, ...]:
        """Return and remove the records of a server whose lease this daemon has taken over."""
        now = self._clock.monotonic()
        rows = self._records.complete_rows(backend_server)
        return self._records.take_over(backend_server, rows, now, replication_waived=False)

    def drop(self, backend_server: str) -> None:
        """Remove the records of a server for which this daemon is no longer the standby."""
        self._records.drop_backend_server(backend_server)

    def tick(self) -> None:
        """Remove records that are past their retention."""
        self._records.tick(self._clock.monotonic())
