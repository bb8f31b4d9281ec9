"""Replicates a coordinator's operation records to its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    OperationDropped,
    OperationUpdated,
    ReplicationStarted,
    RowDropped,
    RowsReplicated,
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
"""Low bits of a replication epoch that count the connections under one lease."""


class StandbyLink:
    """Sends replication effects as messages to the present standby, if it is connected.

    ``epoch`` marks the messages; it rises with each lease and each connection, so that the
    standby refuses those of an earlier connection.
    """

    def __init__(self, backend_server: str) -> None:
        self._server_name = backend_server
        self._stream: Stream | None = None
        self._opened_count = 0
        self.epoch = 0

    @property
    def is_open(self) -> bool:
        """Whether the standby is connected."""
        return self._stream is not None

    def is_using(self, stream: Stream) -> bool:
        """Return whether ``stream`` is the connection to the standby."""
        return stream is self._stream

    def open(self, stream: Stream, lease_epoch: int) -> None:
        """Start to replicate over a new connection, under a new epoch."""
        self._opened_count += 1
        self.epoch = (lease_epoch << EPOCH_BITS) + self._opened_count
        self._stream = stream
        self._send(ReplicationStarted(self._server_name, self.epoch))

    def close(self) -> None:
        """Stop replicating; later messages are discarded."""
        self._stream = None

    def execute(self, effect: Effect) -> None:
        """Send the standby what an effect of the deduplication table asks for."""
        match effect:
            case ReplicateToStandby(snapshot, epoch):
                self._send(OperationUpdated(self._server_name, epoch, snapshot, confirm=True))
            case ReplicateOutcomeToStandby(snapshot):
                self._send(self._build_unconfirmed(snapshot))
            case DropOperationAtStandby(operation_id):
                self._send(OperationDropped(self._server_name, self.epoch, operation_id))
            case DropRowAtStandby(row):
                self._send(RowDropped(self._server_name, self.epoch, row))
            case ReplicateRowsToStandby(row_snapshots, epoch):
                for row_snapshot in row_snapshots:
                    for snapshot in row_snapshot.snapshots:
                        self._send(self._build_unconfirmed(snapshot))
                empty_row_snapshots = tuple(
                    row_snapshot._replace(snapshots=()) for row_snapshot in row_snapshots
                )
                self._send(RowsReplicated(self._server_name, epoch, empty_row_snapshots))

    def _build_unconfirmed(self, snapshot: OperationSnapshot) -> OperationUpdated:
        return OperationUpdated(self._server_name, self.epoch, snapshot, confirm=False)

    def _send(self, message: Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
