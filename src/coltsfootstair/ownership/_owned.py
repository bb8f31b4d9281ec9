"""What a coordinator knows of the rows of one backend server."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._grants import GrantBook, new_book
from coltsfootstair.ownership._messages import AdmitRows
from coltsfootstair.ownership._table import SHARDS_PER_TABLE, Row, Shard, token_of

__all__ = [
    'MAX_REQUEST_TIMEOUT_S',
    'PAUSE_S',
    'SETTLE_S',
    'HeldRow',
    'HeldRows',
    'OwnershipState',
    'Phase',
    'initial_state',
    'is_unresponsive',
    'may_act',
    'set_phase',
    'tokens_in',
]

SERVER_LOST_S = 0.7
"""Silence after which a backend server is taken to be lost, in seconds."""

PAUSE_S = 0.2
"""Time between two ticks from which this process counts as paused, in seconds."""

REFUSED_LOST_S = 0.25
"""The same for one that can not be connected to, in seconds."""

MAX_REQUEST_TIMEOUT_S = 2.0
"""Longest deadline that a request for a key may be sent with, in seconds."""

SETTLE_S = 2.5
"""How long what an earlier coordinator sent may go on at the server, in seconds.

It covers ``MAX_REQUEST_TIMEOUT_S`` after the last moment at which a grant could let it start.
"""


class Phase(enum.Enum):
    """How far the release of a row has come."""

    HELD = enum.auto()
    STOPPING = enum.auto()
    DROPPING = enum.auto()
    WRITING = enum.auto()


class HeldRow(NamedTuple):
    """A row that the table gives to the server.

    :param since: when the phase began, in monotonic seconds
    :param inherited: whether an earlier coordinator may have begun to release it
    """

    row: Row
    phase: Phase
    since: float
    inherited: bool = False


class HeldRows(dict[int, HeldRow]):
    """The held rows by number; never changed once made, so its views are worked out once."""

    def __init__(self, held_by_row: Mapping[int, HeldRow]) -> None:
        super().__init__(held_by_row)
        self._rows_by_phase: dict[Phase, dict[int, Row]] = {phase: {} for phase in Phase}
        for number, held in held_by_row.items():
            self._rows_by_phase[held.phase][number] = held.row
        self._tokens_by_phase: dict[tuple[Phase, int], dict[int, int]] = {}

    def rows_in(self, phase: Phase) -> Mapping[int, Row]:
        """Return the rows that are in ``phase``."""
        return self._rows_by_phase[phase]

    def tokens_in(self, phase: Phase, lease_epoch: int) -> Mapping[int, int]:
        """Return the fencing tokens of the rows in ``phase`` under a lease."""
        known = self._tokens_by_phase.get((phase, lease_epoch))
        if known is None:
            rows = self._rows_by_phase[phase].items()
            known = {number: token_of(row.epoch, lease_epoch) for number, row in rows}
            self._tokens_by_phase[phase, lease_epoch] = known
        return known


class OwnershipState(NamedTuple):
    """The rows of one backend server during one lease of its coordinator.

    :param checks_grants: whether the server refuses what is not granted to it
    :param hinted: versions of shards that were heard of before they were read
    :param fresh: shards that were read since the rights began
    :param writing: versions that pending writes of shards expect
    :param unsure: shards whose write got no answer, or a refusal
    :param hot_row_by_key: the rows of keys that were taken out of their slots
    :param reading: shards that are being read
    :param read_at: when each shard was last asked for
    :param answered_at: when the server was last heard from
    :param asked_at: when the server was last sent a probe or an order
    :param refused: whether the last call could not connect
    :param ticked_at: when the last tick came
    :param asking: whether a probe or an order is under way
    """

    backend_server: str
    lease_epoch: int
    checks_grants: bool
    began_at: float
    book: GrantBook
    lease_expiry: float = -math.inf
    shard_by_number: Mapping[int, tuple[Shard, int]] = {}
    shards_read_under_lease: frozenset[int] = frozenset()
    hinted: Mapping[int, int] = {}
    held_by_row: HeldRows = HeldRows({})
    writing: Mapping[int, int] = {}
    unsure: frozenset[int] = frozenset()
    hot_row_by_key: Mapping[str, int] = {}
    reading: frozenset[int] = frozenset()
    read_at: Mapping[int, float] = {}
    answered_at: float = -math.inf
    asked_at: float = -math.inf
    ticked_at: float = math.inf
    asking: bool = False
    connect_failed: bool = False
    admitted: AdmitRows | None = None


def initial_state(
    backend_server: str, lease_epoch: int, *, checks_grants: bool, now: float
) -> OwnershipState:
    """Return the state of a coordinator whose rights have just begun."""
    return OwnershipState(
        backend_server, lease_epoch, checks_grants, now, new_book(now), answered_at=now
    )


def is_unresponsive(owned: OwnershipState, now: float) -> bool:
    """Return whether the server has not answered for too long."""
    allowed_s = REFUSED_LOST_S if owned.connect_failed else SERVER_LOST_S
    return now - owned.answered_at >= allowed_s


def set_phase(
    owned: OwnershipState, rows: frozenset[int], old: Phase, new: Phase, now: float
) -> OwnershipState:
    """Move the given rows that are in one phase on to another."""
    in_old = owned.held_by_row.rows_in(old)
    changing = [number for number in rows if number in in_old]
    if not changing:
        return owned
    held = dict(owned.held_by_row)
    for number in changing:
        held[number] = held[number]._replace(phase=new, since=now)
    return owned._replace(held_by_row=HeldRows(held))


def may_act(owned: OwnershipState, now: float) -> bool:
    """Return whether grants may be given and rows be written."""
    return now < owned.lease_expiry and len(owned.shards_read_under_lease) == SHARDS_PER_TABLE


def tokens_in(owned: OwnershipState, phase: Phase) -> Mapping[int, int]:
    """Return the fencing tokens of the rows in ``phase`` under this coordinator's lease."""
    return owned.held_by_row.tokens_in(phase, owned.lease_epoch)
