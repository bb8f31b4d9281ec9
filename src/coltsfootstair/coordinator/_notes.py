"""Keeps, as a standby, the notes of the coordinators that this daemon may replace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    NoteConfirmed,
    NoteDropped,
    NoteOperation,
    NoteRows,
    NotesBegun,
    RowDropped,
    RowHanded,
)
from coltsfootstair.operations import RowSnapshot, StandbyRecords

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.clock import Clock
    from coltsfootstair.inner import NotesMessage, Stream

__all__ = ['NotesDesk', 'portions']


def portions(
    backend_server: str, row_epoch: int, lease_epoch: int, record: RowSnapshot
) -> Iterator[RowHanded]:
    """Return the messages that hand a row over; only the last one closes its gap."""
    for snapshot in record.snapshots:
        part = RowSnapshot(record.row, (snapshot,), 0.0)
        yield RowHanded(backend_server, row_epoch, lease_epoch, part)
    yield RowHanded(backend_server, row_epoch, lease_epoch, record._replace(snapshots=()))


class NotesDesk:
    """Takes notes from inner streams; belongs to the coordinator's task."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._notes = StandbyRecords()

    def take(self, stream: Stream, message: NotesMessage) -> None:
        """Take one message of a coordinator."""
        now = self._clock.monotonic()
        match message:
            case NotesBegun(name, epoch):
                self._notes.start_epoch(name, epoch)
            case NoteOperation(name, epoch, snapshot, confirm):
                noted = self._notes.add(name, epoch, snapshot, now)
                if noted and confirm:
                    stream.send(NoteConfirmed(name, epoch, snapshot.operation_id))
            case NoteRows(name, epoch, records):
                self._notes.add_rows(name, epoch, records, now)
            case NoteDropped(name, epoch, operation_id):
                self._notes.drop_operation(name, epoch, operation_id)
            case RowDropped(name, epoch, row):
                self._notes.drop_row(name, epoch, row)

    def take_over(self, backend_server: str) -> tuple[RowSnapshot, ...]:
        """Return what is known of the operations of a server that is taken over."""
        now = self._clock.monotonic()
        rows = self._notes.complete_rows(backend_server)
        return self._notes.take_over(backend_server, rows, now, replication_waived=False)

    def drop(self, backend_server: str) -> None:
        """Forget the notes of a server whose coordinator has another standby now."""
        self._notes.drop_coordinator(backend_server)

    def tick(self) -> None:
        """Forget what is too old."""
        self._notes.tick(self._clock.monotonic())
