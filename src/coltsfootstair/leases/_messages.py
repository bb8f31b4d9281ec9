"""Events that go into the lease decisions, and the effects that come out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.leases._record import LeaseRecord

__all__ = [
    'Candidate',
    'ConfirmationReceived',
    'ConfirmationRequested',
    'Effect',
    'Event',
    'PeerView',
    'ReadFailed',
    'ReadRecord',
    'RecordObserved',
    'RecordRead',
    'RequestConfirmation',
    'SendConfirmation',
    'StartCoordinating',
    'StopCoordinating',
    'Tick',
    'TransferRequested',
    'WorkStopped',
    'WriteAccepted',
    'WriteConflicted',
    'WriteRecord',
    'WriteUnanswered',
]


class Candidate(NamedTuple):
    """A process of a daemon that may hold a lease or stand by for one."""

    name: str
    incarnation: str
    data_centre: str


class PeerView(NamedTuple):
    """What this daemon holds true of the others.

    :param alive_by_name: other daemons that answer
    :param leaving_names: those of them that are leaving and must take on nothing
    :param gone: daemons whose VM has ended by the platform's own word
    :param leaving: whether this daemon is leaving and must take on nothing
    """

    alive_by_name: Mapping[str, Candidate] = {}
    leaving_names: frozenset[str] = frozenset()
    ended_names: frozenset[str] = frozenset()
    leaving: bool = False


class Tick(NamedTuple):
    """Time has passed; this is how the other daemons look now."""

    peers: PeerView


class RecordObserved(NamedTuple):
    """The record was heard of, at some version, from a watch or a peer."""

    version: int
    record: LeaseRecord


class RecordRead(NamedTuple):
    """The store answered a read.

    :param asked_at: when the read was asked for, in monotonic seconds
    :param record: ``None`` if there is no record
    """

    asked_at: float
    version: int
    record: LeaseRecord | None


class ReadFailed(NamedTuple):
    """The store did not answer a read."""


class WriteAccepted(NamedTuple):
    """The store has taken a conditional update."""

    record: LeaseRecord
    expected: int
    version: int


class WriteConflicted(NamedTuple):
    """The store refused a conditional update."""

    expected: int


class WriteUnanswered(NamedTuple):
    """The store did not answer a conditional update; it may take effect, also later."""

    expected: int


class ConfirmationRequested(NamedTuple):
    """A coordinator asks this daemon, as its standby, to confirm its lease."""

    version: int
    record: LeaseRecord
    asked_at: float


class ConfirmationReceived(NamedTuple):
    """The standby has confirmed this daemon's lease.

    :param asked_at: when this daemon asked, in its own monotonic seconds
    """

    standby: str
    standby_incarnation: str
    version: int
    asked_at: float


class TransferRequested(NamedTuple):
    """This daemon is to give the lease to another one."""

    successor: Candidate


class WorkStopped(NamedTuple):
    """Nothing is admitted, granted or written under the lease any more."""


Event = (
    Tick
    | RecordObserved
    | RecordRead
    | ReadFailed
    | WriteAccepted
    | WriteConflicted
    | WriteUnanswered
    | ConfirmationRequested
    | ConfirmationReceived
    | TransferRequested
    | WorkStopped
)


class ReadRecord(NamedTuple):
    """Read the record from the store."""

    asked_at: float


class WriteRecord(NamedTuple):
    """Write the record if it is at version ``expected``."""

    record: LeaseRecord
    expected: int


class RequestConfirmation(NamedTuple):
    """Ask the standby of ``record`` to confirm."""

    version: int
    record: LeaseRecord
    asked_at: float


class SendConfirmation(NamedTuple):
    """Confirm to the coordinator of ``record``, with the time it gave."""

    version: int
    record: LeaseRecord
    asked_at: float


class StartCoordinating(NamedTuple):
    """This daemon may act as coordinator from now on."""

    epoch: int


class StopCoordinating(NamedTuple):
    """This daemon may not act as coordinator any more."""


Effect = (
    ReadRecord
    | WriteRecord
    | RequestConfirmation
    | SendConfirmation
    | StartCoordinating
    | StopCoordinating
)
