"""Events and effects of the lease decisions."""

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
    """A process of a daemon that may hold a lease or stand by for one.

    :param name: name of the daemon
    :param incarnation: identifies the process; that of a later process of the same daemon
        sorts after it
    """

    name: str
    incarnation: str
    data_centre: str


class PeerView(NamedTuple):
    """The other daemons as they appear to this one.

    :param alive_by_name: processes of the other daemons that answer
    :param leaving_names: daemons that are shutting down and must not take on leases
    :param ended_names: daemons whose VM has ended according to the platform's list
    :param leaving: whether this daemon is shutting down and must not take on leases
    """

    alive_by_name: Mapping[str, Candidate] = {}
    leaving_names: frozenset[str] = frozenset()
    ended_names: frozenset[str] = frozenset()
    leaving: bool = False


class Tick(NamedTuple):
    """Time has passed.

    :param peers: the other daemons as they appear now
    """

    peers: PeerView


class RecordObserved(NamedTuple):
    """A version of the record was received in an update."""

    version: int
    record: LeaseRecord


class RecordRead(NamedTuple):
    """The store answered a read.

    :param sent_at: when the read was sent, in monotonic seconds
    :param record: ``None`` if there is no record
    """

    sent_at: float
    version: int
    record: LeaseRecord | None


class ReadFailed(NamedTuple):
    """The store did not answer a read."""


class WriteAccepted(NamedTuple):
    """The store accepted a conditional write.

    :param expected_version: version that the write expected
    :param version: version of the record since the write
    """

    record: LeaseRecord
    expected_version: int
    version: int


class WriteConflicted(NamedTuple):
    """The store refused a conditional write."""

    expected_version: int


class WriteUnanswered(NamedTuple):
    """The store did not answer a conditional write; it may take effect, also later."""

    expected_version: int


class ConfirmationRequested(NamedTuple):
    """A coordinator asks this daemon, as its standby, to confirm its lease.

    :param sent_at: when the coordinator sent the request, in its own monotonic seconds
    """

    version: int
    record: LeaseRecord
    sent_at: float


class ConfirmationReceived(NamedTuple):
    """The standby has confirmed this daemon's lease.

    :param sent_at: when this daemon sent the request, in its own monotonic seconds
    """

    standby: str
    standby_incarnation: str
    version: int
    sent_at: float


class TransferRequested(NamedTuple):
    """This daemon is to transfer the lease to another daemon."""

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
    """Read the record from the store.

    :param sent_at: now, in monotonic seconds; to be returned in ``RecordRead``
    """

    sent_at: float


class WriteRecord(NamedTuple):
    """Write the record to the store if it is at ``expected_version``."""

    record: LeaseRecord
    expected_version: int


class RequestConfirmation(NamedTuple):
    """Ask the standby that ``record`` names to confirm the lease.

    :param sent_at: now, in monotonic seconds; to be returned in ``ConfirmationReceived``
    """

    version: int
    record: LeaseRecord
    sent_at: float


class SendConfirmation(NamedTuple):
    """Confirm the lease to the coordinator that ``record`` names.

    :param sent_at: the time that came with the request
    """

    version: int
    record: LeaseRecord
    sent_at: float


class StartCoordinating(NamedTuple):
    """This daemon may coordinate the backend server from now on."""

    epoch: int


class StopCoordinating(NamedTuple):
    """This daemon may no longer coordinate the backend server."""


Effect = (
    ReadRecord
    | WriteRecord
    | RequestConfirmation
    | SendConfirmation
    | StartCoordinating
    | StopCoordinating
)
