"""Events and effects of the decisions on the rows of one backend server."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._grants import GrantCall
from coltsfootstair.ownership._table import Shard

__all__ = [
    'AdmitRows',
    'GrantAnswered',
    'GrantUnanswered',
    'ProbeAnswered',
    'ProbeServer',
    'ProbeUnanswered',
    'ReadShard',
    'RowRequestsEnded',
    'RowsEffect',
    'RowsEvent',
    'RowsTick',
    'SendGrant',
    'ShardCallUnanswered',
    'ShardObserved',
    'ShardWriteConflicted',
    'WriteShard',
]


class RowsTick(NamedTuple):
    """Time has passed.

    :param lease_expiry: when the coordinator's lease expires, in monotonic seconds
    """

    lease_expiry: float


class ShardObserved(NamedTuple):
    """A shard was read, written or received in an update.

    :param version: version of the store's object that held this shard
    :param read_under_lease: whether it was read from the store after this coordinator's
        lease began
    """

    shard: Shard
    version: int
    read_under_lease: bool = False


class ShardWriteConflicted(NamedTuple):
    """The store refused the conditional write of a shard."""

    number: int


class ShardCallUnanswered(NamedTuple):
    """The store did not answer a read or a write of a shard.

    A write may have taken effect, or may do so later.
    """

    number: int


class GrantAnswered(NamedTuple):
    """The backend server answered a grant call.

    :param number: number of the call
    :param instance: process of the server that answered
    :param clock: reading of the server's clock, in seconds
    :param sent_at: when the call was sent, in local monotonic seconds
    """

    number: int
    accepted: bool
    instance: str
    clock: float
    sent_at: float


class GrantUnanswered(NamedTuple):
    """A grant call got no answer; it may have taken effect, or may do so later.

    :param number: number of the call
    :param connect_failed: whether the server could not be connected to
    """

    number: int
    connect_failed: bool = False


class ProbeAnswered(NamedTuple):
    """The backend server answered a probe.

    :param instance: process of the server that answered
    :param clock: reading of the server's clock, in seconds
    :param sent_at: when the probe was sent, in local monotonic seconds
    """

    instance: str
    clock: float
    sent_at: float


class ProbeUnanswered(NamedTuple):
    """A probe got no answer.

    :param connect_failed: whether the server could not be connected to
    """

    connect_failed: bool = False


class RowRequestsEnded(NamedTuple):
    """No request for these rows runs at the backend server any more."""

    rows: frozenset[int]


RowsEvent = (
    RowsTick
    | ShardObserved
    | ShardWriteConflicted
    | ShardCallUnanswered
    | GrantAnswered
    | GrantUnanswered
    | ProbeAnswered
    | ProbeUnanswered
    | RowRequestsEnded
)


class ReadShard(NamedTuple):
    """Read a shard from the store."""

    number: int


class WriteShard(NamedTuple):
    """Write a shard to the store if its object is at ``expected_version``."""

    shard: Shard
    expected_version: int


class SendGrant(NamedTuple):
    """Send a grant call to the backend server."""

    call: GrantCall


class ProbeServer(NamedTuple):
    """Ask the backend server for its clock and its instance."""


class AdmitRows(NamedTuple):
    """Admit requests for exactly these rows, in place of those admitted before.

    :param token_by_row: fencing token of each admitted row
    :param stopping: rows that are no longer admitted, which await ``RowRequestsEnded``
    :param hot_row_by_key: keys whose requests are admitted under their own hot rows only
    :param valid_until: when the admission ends, in local monotonic seconds
    """

    token_by_row: Mapping[int, int]
    stopping: frozenset[int]
    hot_row_by_key: Mapping[str, int]
    valid_until: float


RowsEffect = ReadShard | WriteShard | SendGrant | ProbeServer | AdmitRows
