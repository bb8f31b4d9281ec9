"""The messages by which a coordinator has its operations noted at its standby."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.inner._messages import register
from coltsfootstair.operations import RowRecord, Snapshot

__all__ = [
    'OperationRemoved',
    'OperationUpdated',
    'ReplicationConfirmed',
    'ReplicationMessage',
    'ReplicationStarted',
    'RowHandedOver',
    'RowRemoved',
    'RowsReplicated',
]


class ReplicationStarted(NamedTuple):
    """The coordinator of a backend server starts to send notes afresh."""

    backend_server: str
    epoch: int


class OperationUpdated(NamedTuple):
    """An operation, or its end, to be noted.

    :param confirm: whether the sender waits for ``ReplicationConfirmed``
    """

    backend_server: str
    epoch: int
    snapshot: Snapshot
    confirm: bool


class ReplicationConfirmed(NamedTuple):
    """An operation is noted."""

    backend_server: str
    epoch: int
    operation_id: str


class RowsReplicated(NamedTuple):
    """All operations of these rows have been sent before; the records hold none."""

    backend_server: str
    epoch: int
    records: tuple[RowRecord, ...]


class OperationRemoved(NamedTuple):
    """An operation did not run and may be forgotten."""

    backend_server: str
    epoch: int
    operation_id: str


class RowRemoved(NamedTuple):
    """The sender no longer owns a row."""

    backend_server: str
    epoch: int
    row: int


class RowHandedOver(NamedTuple):
    """What a row's earlier coordinator knew of its operations when it had stopped acting.

    Several messages may bring one row; the last has the true age of its gap.

    :param backend_server: the row's next, or still its present, owner
    :param row_epoch: the epoch of the row at the sender
    :param lease_epoch: the epoch of the sender's lease; 0 if the row has a new owner
    """

    backend_server: str
    row_epoch: int
    lease_epoch: int
    record: RowRecord


ReplicationMessage = (
    ReplicationStarted
    | OperationUpdated
    | ReplicationConfirmed
    | RowsReplicated
    | OperationRemoved
    | RowRemoved
)

register(60, ReplicationStarted)
register(61, OperationUpdated)
register(62, ReplicationConfirmed)
register(63, RowsReplicated)
register(64, OperationRemoved)
register(65, RowRemoved)
register(66, RowHandedOver)
