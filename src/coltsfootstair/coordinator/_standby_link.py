"""Replicates a coordinator's operation records to its standby."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.inner import (
    OperationDropped,
    OperationUpdated,
    ReplicationStarted,
    RowDropped,
    RowsSent,
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

CONNECTION_COUNT_BITS = 32
"""Number of low bits of a replication epoch that contain the number of connections so far."""


class StandbyLink:
    """Sends replication effects as messages to the present standby, if it is connected.

    ``replication_epoch`` marks the messages; it rises with each lease and each connection, so
    that the standby refuses messages of an earlier connection.
    """

    def __init__(self, backend_server: str) -> None:
        self._server_name = backend_server
        self._stream: Stream | None = None
        self._opened_count = 0
        self.replication_epoch = 0

    @property
    def is_open(self) -> bool:
        """Whether the standby is connected."""
        return self._stream is not None

    def is_using(self, stream: Stream) -> bool:
        """Return whether ``stream`` is the connection to the standby."""
        return stream is self._stream

    def open(self, stream: Stream, lease_epoch: int) -> None:
        """Start to replicate over a new connection, under a new replication epoch."""
        self._opened_count += 1
        self.replication_epoch = (lease_epoch << CONNECTION_COUNT_BITS) + self._opened_count
        self._stream = stream
        self._send(ReplicationStarted(self._server_name, self.replication_epoch))

    def close(self) -> None:
        """Stop replicating; later messages are discarded."""
        self._stream = None

    def execute(self, effect: Effect) -> None:
        """Send the standby the messages for an effect of the deduplication table."""
        match effect:
            case ReplicateToStandby(snapshot, replication_epoch):
                self._send(
                    OperationUpdated(
                        self._server_name, replication_epoch, snapshot, confirm=True
                    )
                )
            case ReplicateOutcomeToStandby(snapshot):
                self._send(self._build_update_without_confirmation(snapshot))
            case DropOperationAtStandby(operation_id):
                self._send(
                    OperationDropped(self._server_name, self.replication_epoch, operation_id)
                )
            case DropRowAtStandby(row):
                self._send(RowDropped(self._server_name, self.replication_epoch, row))
            case ReplicateRowsToStandby(row_snapshots, replication_epoch):
                for row_snapshot in row_snapshots:
                    for snapshot in row_snapshot.snapshots:
                        self._send(self._build_update_without_confirmation(snapshot))
                empty_row_snapshots = tuple(
                    row_snapshot._replace(snapshots=()) for row_snapshot in row_snapshots
                )
                self._send(RowsSent(self._server_name, replication_epoch, empty_row_snapshots))

    def _build_update_without_confirmation(
        self, snapshot: OperationSnapshot
    ) -> OperationUpdated:
        return OperationUpdated(
            self._server_name, self.replication_epoch, snapshot, confirm=False
        )

    def _send(self, message: Message) -> None:
        if self._stream is not None:
            self._stream.send(message)
