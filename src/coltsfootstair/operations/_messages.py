"""Events that the deduplication of operations handles, and the effects it returns."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.results import Refusal

__all__ = [
    'Admit',
    'Admitted',
    'Answered',
    'CachedAnswer',
    'CallerLeft',
    'CoordinationChanged',
    'DropOperationAtStandby',
    'DropRowAtStandby',
    'Effect',
    'Event',
    'NotRun',
    'OperationSnapshot',
    'OutcomeUnknown',
    'Progress',
    'Refuse',
    'Replay',
    'ReplicateOutcomeToStandby',
    'ReplicateRowsToStandby',
    'ReplicateToStandby',
    'Replicated',
    'RequestReceived',
    'RowAcquired',
    'RowLost',
    'RowSnapshot',
    'Send',
    'SlotAssigned',
    'StandbyChanged',
    'StandbyUnreachable',
    'Tick',
    'Withdraw',
]


class Progress(enum.StrEnum):
    """The state of an operation.

    ``WAITING`` means that it has not been sent, ``UNKNOWN`` that its exchange broke off
    after it may have reached the backend server.
    """

    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class CachedAnswer(NamedTuple):
    """A backend server's complete answer, kept for retries of the operation."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class OperationSnapshot(NamedTuple):
    """The record of one operation as it is sent to another daemon.

    :param fingerprint: of method, path, key and body; another one means that the id was
        used again for another request
    :param answer: ``None`` if there is none, or if it was too large to be cached
    :param age_s: seconds since the operation was settled, or else since its first request
    """

    operation_id: str
    row: int
    fingerprint: bytes
    progress: Progress
    answer: CachedAnswer | None
    age_s: float


class RowSnapshot(NamedTuple):
    """The records of the operations of one row as they are sent to another daemon.

    If the row has a gap, records of operations from before the end of the gap may be missing.

    :param gap_age_s: seconds since the end of the gap; ``None`` if no record is missing
    """

    row: int
    snapshots: tuple[OperationSnapshot, ...]
    gap_age_s: float | None


class RequestReceived(NamedTuple):
    """A request with an operation id has arrived.

    :param row: the row of the ownership table that the request belongs to
    :param deadline: monotonic seconds by which the caller expects the answer
    :param age_s: seconds since the id was created; ``None`` if the id does not show it
    """

    request_id: str
    operation_id: str
    row: int
    fingerprint: bytes
    deadline: float
    age_s: float | None = None


class Admitted(NamedTuple):
    """Admission has accepted the operation's request, which waits for a slot or has one."""

    operation_id: str


class SlotAssigned(NamedTuple):
    """Admission has assigned a slot to the operation's request.

    The request may be sent once the operation is replicated.
    """

    operation_id: str


class Replicated(NamedTuple):
    """The standby has confirmed in ``epoch`` that it has the record of the operation."""

    operation_id: str
    epoch: int


class StandbyUnreachable(NamedTuple):
    """The connection to the standby is lost, or there is no standby.

    :param replication_waived: whether the coordinator's record in the store says that
        records may be missing at the standby. Operations then run without being
        replicated, and the next coordinator assumes a gap.
    """

    replication_waived: bool


class StandbyChanged(NamedTuple):
    """A standby was connected that has no operation records yet.

    :param epoch: rises with each new standby and with each new connection to the same one
    """

    epoch: int


class Answered(NamedTuple):
    """The backend server's answer has arrived completely.

    :param answer: ``None`` if it is too large to be cached
    """

    operation_id: str
    answer: CachedAnswer | None


class OutcomeUnknown(NamedTuple):
    """The exchange broke off after the request may have reached the backend server."""

    operation_id: str


class NotRun(NamedTuple):
    """The request was refused before it was sent, or the backend server shed it."""

    operation_id: str
    refusal: Refusal


class CallerLeft(NamedTuple):
    """The caller of a request has left."""

    request_id: str
    operation_id: str


class RowAcquired(NamedTuple):
    """This coordinator now serves a row; comes again when more of its records arrive.

    :param snapshot: operation records of the coordinator that served the row before
    """

    snapshot: RowSnapshot


class RowLost(NamedTuple):
    """This coordinator no longer serves a row."""

    row: int


class CoordinationChanged(NamedTuple):
    """This daemon may now coordinate the backend server, or may no longer.

    Once it may not, it must not send the requests that it has not sent yet.
    """

    may_coordinate: bool


class Tick(NamedTuple):
    """Time has passed; due timeouts are handled."""


class Admit(NamedTuple):
    """Request a slot from admission."""

    request_id: str


class ReplicateToStandby(NamedTuple):
    """Send the operation to the standby, which must confirm it with ``epoch``.

    The confirmation is handled as ``Replicated``.
    """

    snapshot: OperationSnapshot
    epoch: int


class ReplicateRowsToStandby(NamedTuple):
    """Send all operation records of some rows to the standby.

    Until they have arrived the standby assumes that records of these rows are missing.
    """

    row_snapshots: tuple[RowSnapshot, ...]
    epoch: int


class DropRowAtStandby(NamedTuple):
    """Let the standby remove a row that this coordinator no longer serves."""

    row: int


class ReplicateOutcomeToStandby(NamedTuple):
    """Send the outcome of the operation to the standby, which does not confirm it."""

    snapshot: OperationSnapshot


class DropOperationAtStandby(NamedTuple):
    """Let the standby remove an operation that did not run."""

    operation_id: str


class Send(NamedTuple):
    """Send the request to the backend server."""

    request_id: str


class Replay(NamedTuple):
    """Answer the request with the cached answer of its operation."""

    request_id: str
    answer: CachedAnswer


class Refuse(NamedTuple):
    """Answer the request with a refusal."""

    request_id: str
    refusal: Refusal


class Withdraw(NamedTuple):
    """Remove the request from admission, and free its slot if it has one."""

    request_id: str


Event = (
    RequestReceived
    | Admitted
    | SlotAssigned
    | Replicated
    | StandbyUnreachable
    | StandbyChanged
    | Answered
    | OutcomeUnknown
    | NotRun
    | CallerLeft
    | RowAcquired
    | RowLost
    | CoordinationChanged
    | Tick
)
Effect = (
    Admit
    | ReplicateToStandby
    | ReplicateRowsToStandby
    | DropRowAtStandby
    | ReplicateOutcomeToStandby
    | DropOperationAtStandby
    | Send
    | Replay
    | Refuse
    | Withdraw
)
