"""Events that go into the memory of operation ids, and the effects that come out."""

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
    'RightsChanged',
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
    """How far an operation has come."""

    WAITING = 'waiting'
    DISPATCHED = 'dispatched'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class CachedAnswer(NamedTuple):
    """A backend server's whole answer, kept for a resend."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class OperationSnapshot(NamedTuple):
    """What is known of one operation, to be handed to another daemon.

    :param fingerprint: of method, path and body, so that a reused id is noticed
    :param answer: ``None`` if there is none, or it was too large to be kept
    :param age_s: seconds since it was settled, or since it was noted
    """

    operation_id: str
    row: int
    fingerprint: bytes
    progress: Progress
    answer: CachedAnswer | None
    age_s: float


class RowSnapshot(NamedTuple):
    """What is known of the operations of one row, to be handed to another daemon.

    :param gap_age_s: seconds since the last moment before which operations may be
        missing; ``None`` if none is missing
    """

    row: int
    snapshots: tuple[OperationSnapshot, ...]
    gap_age_s: float | None


class RequestReceived(NamedTuple):
    """A request with an operation id has come.

    :param deadline: monotonic seconds by which the caller wants the answer
    :param age_s: seconds since the id was made; ``None`` if the id does not tell
    """

    request_id: str
    operation_id: str
    row: int
    fingerprint: bytes
    deadline: float
    age_s: float | None = None


class Admitted(NamedTuple):
    """The operation's request waits for a slot, or has been given one."""

    operation_id: str


class SlotAssigned(NamedTuple):
    """The operation's request has been given a slot and may be sent once noted."""

    operation_id: str


class Replicated(NamedTuple):
    """The standby of ``epoch`` has noted the operation."""

    operation_id: str
    epoch: int


class StandbyUnreachable(NamedTuple):
    """The standby does not answer.

    :param waived: the store's record says that operations may be missing at the standby,
        so that whoever takes over counts a gap
    """

    replication_waived: bool


class StandbyChanged(NamedTuple):
    """There is a standby that knows none of the operations yet.

    :param epoch: rises with each change, and each new connection to the same standby
    """

    epoch: int


class Answered(NamedTuple):
    """The backend server's answer is whole.

    :param answer: ``None`` if it is too large to be kept
    """

    operation_id: str
    answer: CachedAnswer | None


class OutcomeUnknown(NamedTuple):
    """The exchange broke off after a byte may have been sent."""

    operation_id: str


class NotRun(NamedTuple):
    """The request was refused while it waited, or the backend server shed it."""

    operation_id: str
    refusal: Refusal


class CallerLeft(NamedTuple):
    """The caller of this request has gone."""

    request_id: str
    operation_id: str


class RowAcquired(NamedTuple):
    """This coordinator now owns a row; ``record`` is what the one before knew of it."""

    record: RowSnapshot


class RowLost(NamedTuple):
    """This coordinator no longer owns a row."""

    row: int


class RightsChanged(NamedTuple):
    """The coordinator has gained or lost the right to act.

    What it has not sent when it loses the right must not be sent.
    """

    may_act: bool


class Tick(NamedTuple):
    """Time has passed."""


class Admit(NamedTuple):
    """Ask admission for a slot."""

    request_id: str


class ReplicateToStandby(NamedTuple):
    """Have the standby note the operation, and answer with ``Replicated`` of ``epoch``."""

    snapshot: OperationSnapshot
    epoch: int


class ReplicateRowsToStandby(NamedTuple):
    """Send all that is known of some rows; till then the standby counts gaps for them."""

    records: tuple[RowSnapshot, ...]
    epoch: int


class DropRowAtStandby(NamedTuple):
    """Tell the standby that the row has another coordinator."""

    row: int


class ReplicateOutcomeToStandby(NamedTuple):
    """Tell the standby the operation's end; nothing waits for its confirmation."""

    snapshot: OperationSnapshot


class DropOperationAtStandby(NamedTuple):
    """Tell the standby that the operation did not run and may be forgotten."""

    operation_id: str


class Send(NamedTuple):
    """Send the request to the backend server now."""

    request_id: str


class Replay(NamedTuple):
    """Give the request the answer of its operation."""

    request_id: str
    answer: CachedAnswer


class Refuse(NamedTuple):
    """Answer the request with a refusal."""

    request_id: str
    refusal: Refusal


class Withdraw(NamedTuple):
    """Take the request out of admission; a slot that it was given was not used."""

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
    | RightsChanged
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
