"""State of the rows of one backend server, as known to its coordinator."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._grants import GrantState, initial_grants
from coltsfootstair.ownership._messages import AdmitRows
from coltsfootstair.ownership._table import SHARDS_PER_TABLE, Row, Shard, token_of

__all__ = [
    'MAX_REQUEST_TIMEOUT_S',
    'PAUSE_THRESHOLD_S',
    'REQUESTS_ENDED_AFTER_S',
    'OwnedRow',
    'OwnedRowMap',
    'OwnershipState',
    'RowPhase',
    'initial_state',
    'is_unresponsive',
    'may_change_ownership',
    'set_phase',
    'tokens_in',
]

UNRESPONSIVE_AFTER_S = 0.7
"""Time without an answer after which a backend server counts as unresponsive, in seconds."""

PAUSE_THRESHOLD_S = 0.2
"""Time between two ticks from which this process counts as paused, in seconds."""

CONNECT_FAILED_UNRESPONSIVE_AFTER_S = 0.25
"""Time without an answer after which a backend server counts as unresponsive if the last call
could not connect to it, in seconds."""

MAX_REQUEST_TIMEOUT_S = 2.0
"""Longest timeout with which a request for a key may be sent, in seconds."""

REQUESTS_ENDED_AFTER_S = 2.5
"""Time after which requests of an earlier coordinator, or requests for a row that is no longer
admitted, have ended at the backend server, in seconds.

It covers ``MAX_REQUEST_TIMEOUT_S`` after the last moment at which a grant lets them start.
"""


class RowPhase(enum.Enum):
    """Progress of the release of a row.

    - ``IN_USE``: the row is granted, or will be, and requests for it are admitted.
    - ``STOPPING``: no new requests are admitted; those that run are waited for.
    - ``EXPIRING``: no request runs; the grant is not renewed and its expiry is waited for.
    - ``RELEASING``: the write that completes or cancels the move was sent to the store.
    """

    IN_USE = enum.auto()
    STOPPING = enum.auto()
    EXPIRING = enum.auto()
    RELEASING = enum.auto()


class OwnedRow(NamedTuple):
    """A row that the table assigns to the backend server.

    :param since: when the phase began, in monotonic seconds
    :param inherited_move: whether the row was already marked as moving when it was first read,
        so that an earlier coordinator may have begun to release it
    """

    row: Row
    phase: RowPhase
    since: float
    inherited_move: bool = False


class OwnedRowMap(dict[int, OwnedRow]):
    """The owned rows by number; never changed, so that views of it can be cached."""

    def __init__(self, owned_by_row: Mapping[int, OwnedRow]) -> None:
        super().__init__(owned_by_row)
        self._rows_by_phase: dict[RowPhase, dict[int, Row]] = {phase: {} for phase in RowPhase}
        for number, owned in owned_by_row.items():
            self._rows_by_phase[owned.phase][number] = owned.row
        self._tokens_by_phase: dict[tuple[RowPhase, int], dict[int, int]] = {}

    def rows_in(self, phase: RowPhase) -> Mapping[int, Row]:
        """Return the rows that are in ``phase``, by number."""
        return self._rows_by_phase[phase]

    def tokens_in(self, phase: RowPhase, lease_epoch: int) -> Mapping[int, int]:
        """Return the fencing tokens, under a lease, of the rows in ``phase``, by number."""
        tokens = self._tokens_by_phase.get((phase, lease_epoch))
        if tokens is None:
            rows = self._rows_by_phase[phase].items()
            tokens = {number: token_of(row.epoch, lease_epoch) for number, row in rows}
            self._tokens_by_phase[phase, lease_epoch] = tokens
        return tokens


class OwnershipState(NamedTuple):
    """The rows of one backend server during one lease of its coordinator.

    Times are in monotonic seconds.

    :param checks_grants: whether the server refuses requests for rows not granted to it
    :param started_at: when the lease began
    :param lease_expiry: when the lease expires unless it is confirmed again
    :param shard_by_number: newest known shards, each with its version
    :param shards_read_under_lease: shards that were read since the lease began
    :param announced_versions: versions of shards that updates showed before the first read
    :param pending_writes: versions expected by the pending writes, by shard number
    :param uncertain_shards: shards to be read again, because a call to the store got no answer
        or a write was refused
    :param hot_row_by_key: the rows of keys that were taken out of their hash rows
    :param reading_shards: shards that are being read
    :param read_sent_at: when the last read of each shard was sent
    :param last_answer_at: when the server last answered
    :param last_call_at: when the last probe or grant call was sent
    :param last_tick_at: when the last tick came
    :param is_call_pending: whether a probe or grant call has no result yet
    :param connect_failed: whether the last call could not connect
    :param admitted: what was last admitted
    """

    backend_server: str
    lease_epoch: int
    checks_grants: bool
    started_at: float
    grants: GrantState
    lease_expiry: float = -math.inf
    shard_by_number: Mapping[int, tuple[Shard, int]] = {}
    shards_read_under_lease: frozenset[int] = frozenset()
    announced_versions: Mapping[int, int] = {}
    owned_by_row: OwnedRowMap = OwnedRowMap({})
    pending_writes: Mapping[int, int] = {}
    uncertain_shards: frozenset[int] = frozenset()
    hot_row_by_key: Mapping[str, int] = {}
    reading_shards: frozenset[int] = frozenset()
    read_sent_at: Mapping[int, float] = {}
    last_answer_at: float = -math.inf
    last_call_at: float = -math.inf
    last_tick_at: float = math.inf
    is_call_pending: bool = False
    connect_failed: bool = False
    admitted: AdmitRows | None = None


def initial_state(
    backend_server: str, lease_epoch: int, *, checks_grants: bool, now: float
) -> OwnershipState:
    """Return the state of a coordinator whose lease has just begun."""
    return OwnershipState(
        backend_server,
        lease_epoch,
        checks_grants,
        now,
        initial_grants(now),
        last_answer_at=now,
    )


def is_unresponsive(state: OwnershipState, now: float) -> bool:
    """Return whether the server has not answered for too long."""
    allowed_s = (
        CONNECT_FAILED_UNRESPONSIVE_AFTER_S if state.connect_failed else UNRESPONSIVE_AFTER_S
    )
    return now - state.last_answer_at >= allowed_s


def set_phase(
    state: OwnershipState, rows: frozenset[int], old: RowPhase, new: RowPhase, now: float
) -> OwnershipState:
    """Change the phase of those of the given rows that are in phase ``old``."""
    in_old = state.owned_by_row.rows_in(old)
    changing = [number for number in rows if number in in_old]
    if not changing:
        return state
    owned = dict(state.owned_by_row)
    for number in changing:
        owned[number] = owned[number]._replace(phase=new, since=now)
    return state._replace(owned_by_row=OwnedRowMap(owned))


def may_change_ownership(state: OwnershipState, now: float) -> bool:
    """Return whether grants may be given and rows be written to the store.

    This requires a valid lease, and a read of every shard of the table under that lease.
    """
    return now < state.lease_expiry and len(state.shards_read_under_lease) == SHARDS_PER_TABLE


def tokens_in(state: OwnershipState, phase: RowPhase) -> Mapping[int, int]:
    """Return the fencing tokens of the rows in ``phase`` under this coordinator's lease."""
    return state.owned_by_row.tokens_in(phase, state.lease_epoch)
