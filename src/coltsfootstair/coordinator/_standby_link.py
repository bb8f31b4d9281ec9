"""The way by which a coordinator has its operations noted at its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    NoteDropped,
    NoteOperation,
    NoteRows,
    NotesBegun,
    RowDropped,
)
from coltsfootstair.operations import (
    DropOperationAtStandby,
    DropRowAtStandby,
    ReplicateOutcomeToStandby,
    ReplicateRowsToStandby,
    ReplicateToStandby,
)

if TYPE_CHECKING:
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.operations import Effect, OperationSnapshot

__all__ = ['StandbyLink']

EPOCH_BITS = 32


class StandbyLink:
    """Turns effects into messages to the present standby, if there is one.

    :param epoch: of the notes; it rises with each lease, and each opening of the link
    """

    def __init__(self, backend_server: str) -> None:
        self._name = backend_server
        self._stream: Stream | None = None
        self._openings = 0
        self.epoch = 0

    @property
    def is_open(self) -> bool:
        """Whether there is a way to the standby."""
        return self._stream is not None

    def uses(self, stream: Stream) -> bool:
        """Tell whether the standby is at the other end of ``stream``."""
        return stream is self._stream

    def open(self, stream: Stream, lease_epoch: int) -> None:
        """Begin to send notes afresh."""
        self._openings += 1
        self.epoch = (lease_epoch << EPOCH_BITS) + self._openings
        self._stream = stream
        self._post(NotesBegun(self._name, self.epoch))

    def close(self) -> None:
        """Send nothing more."""
        self._stream = None

    def carry_out(self, effect: Effect) -> None:
        """Send the standby what the memory of operations has for it."""
        match effect:
            case ReplicateToStandby(snapshot, epoch):
                self._post(NoteOperation(self._name, epoch, snapshot, confirm=True))
            case ReplicateOutcomeToStandby(snapshot):
                self._post(self._note(snapshot))
            case DropOperationAtStandby(operation_id):
                self._post(NoteDropped(self._name, self.epoch, operation_id))
            case DropRowAtStandby(row):
                self._post(RowDropped(self._name, self.epoch, row))
            case ReplicateRowsToStandby(records, epoch):
                for record in records:
                    for snapshot in record.snapshots:
                        self._post(self._note(snapshot))
                bare = tuple(record._replace(snapshots=()) for record in records)
                self._post(NoteRows(self._name, epoch, bare))

    def _note(self, snapshot: OperationSnapshot) -> NoteOperation:
        return NoteOperation(self._name, self.epoch, snapshot, confirm=False)

    def _post(self, message: Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
