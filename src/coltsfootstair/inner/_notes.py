"""The messages by which a coordinator has its operations noted at its standby."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.inner._messages import register
from coltsfootstair.operations import OperationSnapshot, RowSnapshot

__all__ = [
    'NoteConfirmed',
    'NoteDropped',
    'NoteOperation',
    'NoteRows',
    'NotesBegun',
    'NotesMessage',
    'RowDropped',
    'RowHanded',
]


class NotesBegun(NamedTuple):
    """The coordinator of a backend server starts to send notes afresh."""

    backend_server: str
    epoch: int


class NoteOperation(NamedTuple):
    """An operation, or its end, to be noted.

    :param confirm: whether the sender waits for ``NoteConfirmed``
    """

    backend_server: str
    epoch: int
    snapshot: OperationSnapshot
    confirm: bool


class NoteConfirmed(NamedTuple):
    """An operation is noted."""

    backend_server: str
    epoch: int
    operation_id: str


class NoteRows(NamedTuple):
    """All operations of these rows have been sent before; the records hold none."""

    backend_server: str
    epoch: int
    records: tuple[RowSnapshot, ...]


class NoteDropped(NamedTuple):
    """An operation did not run and may be forgotten."""

    backend_server: str
    epoch: int
    operation_id: str


class RowDropped(NamedTuple):
    """The sender no longer owns a row."""

    backend_server: str
    epoch: int
    row: int


class RowHanded(NamedTuple):
    """What a row's earlier coordinator knew of its operations when it had stopped acting.

    Several messages may bring one row; the last has the true age of its gap.

    :param backend_server: the row's next, or still its present, owner
    :param row_epoch: the epoch of the row at the sender
    :param lease_epoch: the epoch of the sender's lease; 0 if the row has a new owner
    """

    backend_server: str
    row_epoch: int
    lease_epoch: int
    record: RowSnapshot


NotesMessage = NotesBegun | NoteOperation | NoteConfirmed | NoteRows | NoteDropped | RowDropped

register(60, NotesBegun)
register(61, NoteOperation)
register(62, NoteConfirmed)
register(63, NoteRows)
register(64, NoteDropped)
register(65, RowDropped)
register(66, RowHanded)
