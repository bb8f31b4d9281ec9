"""The way by which a coordinator has its operations noted at its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    OperationRemoved,
    OperationUpdated,
    ReplicationStarted,
    RowRemoved,
    RowsReplicated,
)
from coltsfootstair.operations import (
    CopyToStandby,
    DropRowAtStandby,
    ForgetAtStandby,
    NoteAtStandby,
    SettleAtStandby,
)

if TYPE_CHECKING:
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.operations import Effect, Snapshot

__all__ = ['StandbyLink']

EPOCH_BITS = 32


class StandbyLink:
    """Turns effects into messages to the present standby, if there is one.

    :param epoch: of the notes; it rises with each lease, and each opening of the link
    """

    def __init__(self, backend_server: str) -> None:
        self._server_name = backend_server
        self._stream: Stream | None = None
        self._opened_count = 0
        self.epoch = 0

    @property
    def is_open(self) -> bool:
        """Whether there is a way to the standby."""
        return self._stream is not None

    def is_using(self, stream: Stream) -> bool:
        """Tell whether the standby is at the other end of ``stream``."""
        return stream is self._stream

    def open(self, stream: Stream, lease_epoch: int) -> None:
        """Begin to send notes afresh."""
        self._opened_count += 1
        self.epoch = (lease_epoch << EPOCH_BITS) + self._opened_count
        self._stream = stream
        self._send(ReplicationStarted(self._server_name, self.epoch))

    def close(self) -> None:
        """Send nothing more."""
        self._stream = None

    def execute(self, effect: Effect) -> None:
        """Send the standby what the memory of operations has for it."""
        match effect:
            case NoteAtStandby(snapshot, epoch):
                self._send(OperationUpdated(self._server_name, epoch, snapshot, confirm=True))
            case SettleAtStandby(snapshot):
                self._send(self._build_unconfirmed(snapshot))
            case ForgetAtStandby(operation_id):
                self._send(OperationRemoved(self._server_name, self.epoch, operation_id))
            case DropRowAtStandby(row):
                self._send(RowRemoved(self._server_name, self.epoch, row))
            case CopyToStandby(records, epoch):
                for record in records:
                    for snapshot in record.snapshots:
                        self._send(self._build_unconfirmed(snapshot))
                records_without_operations = tuple(
                    record._replace(snapshots=()) for record in records
                )
                self._send(
                    RowsReplicated(self._server_name, epoch, records_without_operations)
                )

    def _build_unconfirmed(self, snapshot: Snapshot) -> OperationUpdated:
        return OperationUpdated(self._server_name, self.epoch, snapshot, confirm=False)

    def _send(self, message: Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
