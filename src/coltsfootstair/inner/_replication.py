"""Messages by which coordinators replicate operation records and hand them over."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.inner._messages import register
from coltsfootstair.operations import OperationSnapshot, RowSnapshot

__all__ = [
    'OperationDropped',
    'OperationUpdated',
    'ReplicationConfirmed',
    'ReplicationMessage',
    'ReplicationStarted',
    'RowDropped',
    'RowHandedOver',
    'RowsSent',
]


class ReplicationStarted(NamedTuple):
    """The coordinator of a backend server starts to replicate over a new connection.

    :param replication_epoch: rises with each lease and each connection of the coordinator
    """

    backend_server: str
    replication_epoch: int


class OperationUpdated(NamedTuple):
    """The state of an operation has changed; the standby is to store it.

    :param confirm: whether the sender waits for ``ReplicationConfirmed``
    """

    backend_server: str
    replication_epoch: int
    snapshot: OperationSnapshot
    confirm: bool


class ReplicationConfirmed(NamedTuple):
    """The standby has stored an operation."""

    backend_server: str
    replication_epoch: int
    operation_id: str


class RowsSent(NamedTuple):
    """All operation records of these rows have been sent before this message.

    :param row_snapshots: the rows with the ages of their gaps (see ``RowSnapshot``), without
        operation records
    """

    backend_server: str
    replication_epoch: int
    row_snapshots: tuple[RowSnapshot, ...]


class OperationDropped(NamedTuple):
    """An operation did not run; the standby is to drop it."""

    backend_server: str
    replication_epoch: int
    operation_id: str


class RowDropped(NamedTuple):
    """The backend server no longer owns a row; the standby is to drop it."""

    backend_server: str
    replication_epoch: int
    row: int


class RowHandedOver(NamedTuple):
    """Records of a row's operations, sent by the previous coordinator of the row.

    The records of a row may be split over several messages; only the last one states the
    age of its gap (see ``RowSnapshot``).

    :param backend_server: the next owner of the row, or the present one if only the
        coordinator changes
    :param row_epoch: the epoch of the row at the sender
    :param lease_epoch: the epoch of the sender's lease; 0 if the row has a new owner
    """

    backend_server: str
    row_epoch: int
    lease_epoch: int
    row_snapshot: RowSnapshot


ReplicationMessage = (
    ReplicationStarted
    | OperationUpdated
    | ReplicationConfirmed
    | RowsSent
    | OperationDropped
    | RowDropped
)

register(60, ReplicationStarted)
register(61, OperationUpdated)
register(62, ReplicationConfirmed)
register(63, RowsSent)
register(64, OperationDropped)
register(65, RowDropped)
register(66, RowHandedOver)
