"""Events that go into the decisions on a server's rows, and the effects that come out."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._grants import GrantCall
from coltsfootstair.ownership._table import Shard

__all__ = [
    'AdmitRows',
    'GrantAnswered',
    'GrantFailed',
    'ProbeAnswered',
    'ProbeFailed',
    'ProbeServer',
    'ReadShard',
    'RowsEffect',
    'RowsEvent',
    'RowsIdle',
    'RowsTick',
    'SendGrant',
    'ShardCallUnanswered',
    'ShardObserved',
    'ShardWriteConflicted',
    'WriteShard',
]


class RowsTick(NamedTuple):
    """Time has passed.

    :param rights_until: until when the coordinator may act, in monotonic seconds
    """

    lease_expiry: float


class ShardObserved(NamedTuple):
    """A shard was true at a version: read, written, or heard of.

    :param fresh: it was read from the store after this coordinator's rights began
    """

    shard: Shard
    version: int
    read_under_lease: bool = False


class ShardWriteConflicted(NamedTuple):
    """The store refused the write of a shard."""

    number: int


class ShardCallUnanswered(NamedTuple):
    """The store did not answer the write, or the read, of a shard."""

    number: int


class GrantAnswered(NamedTuple):
    """The backend server answered a grant order.

    :param clock: the server's clock, in seconds
    :param asked_at: when the order was sent, in local monotonic seconds
    """

    number: int
    accepted: bool
    instance: str
    clock: float
    asked_at: float


class GrantFailed(NamedTuple):
    """A grant order got no answer; it may take effect, also later.

    :param refused: whether the server could not be connected to
    """

    number: int
    connect_failed: bool = False


class ProbeAnswered(NamedTuple):
    """The backend server answered a probe."""

    instance: str
    clock: float
    asked_at: float


class ProbeFailed(NamedTuple):
    """A probe got no answer.

    :param refused: whether the server could not be connected to
    """

    connect_failed: bool = False


class RowsIdle(NamedTuple):
    """No request of these rows runs any more at the server."""

    rows: frozenset[int]


RowsEvent = (
    RowsTick
    | ShardObserved
    | ShardWriteConflicted
    | ShardCallUnanswered
    | GrantAnswered
    | GrantFailed
    | ProbeAnswered
    | ProbeFailed
    | RowsIdle
)


class ReadShard(NamedTuple):
    """Read a shard from the store."""

    number: int


class WriteShard(NamedTuple):
    """Write a shard if it is at version ``expected``."""

    shard: Shard
    expected: int


class SendGrant(NamedTuple):
    """Give the server an order."""

    order: GrantCall


class ProbeServer(NamedTuple):
    """Ask for the server's clock and instance."""


class AdmitRows(NamedTuple):
    """The rows that requests are admitted for.

    :param token_by_row: the fencing token of each
    :param stopping: rows that wait for ``RowsIdle``
    :param hot_row_by_key: keys that are admitted under their own rows only
    :param valid_until: local monotonic seconds
    """

    token_by_row: Mapping[int, int]
    stopping: frozenset[int]
    hot_row_by_key: Mapping[str, int]
    valid_until: float


RowsEffect = ReadShard | WriteShard | SendGrant | ProbeServer | AdmitRows
