"""Decides what a backend server holds: grants for its rows, and their release."""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._grants import (
    GRANT_RENEW_S,
    GrantBook,
    answered,
    may_hold,
    new_book,
    next_order,
    note_clock,
    valid_until,
)
from coltsfootstair.ownership._messages import (
    GrantAnswered,
    GrantFailed,
    ProbeAnswered,
    ProbeFailed,
    ProbeServer,
    ReadShard,
    RowsAdmitted,
    RowsEffect,
    RowsEvent,
    RowsIdle,
    RowsTick,
    SendGrant,
    ShardConflicted,
    ShardSeen,
    ShardUnknown,
    WriteShard,
)
from coltsfootstair.ownership._table import (
    SHARDS_PER_TABLE,
    Row,
    Shard,
    shard_of,
    slot_of,
    token_of,
)

__all__ = [
    'REQUEST_LIMIT_S',
    'SERVER_LOST_S',
    'SETTLE_S',
    'HeldRow',
    'OwnedRows',
    'Phase',
    'handle',
    'take_up',
]

SERVER_LOST_S = 0.7
"""Silence after which a backend server is taken to be lost, in seconds."""

PAUSE_S = 0.2
"""Time between two ticks from which this process counts as paused, in seconds."""

REFUSED_LOST_S = 0.25
"""The same for one that can not be connected to, in seconds."""

STORE_RETRY_S = 0.1
"""Pause between two reads of one shard, in seconds."""

REQUEST_LIMIT_S = 2.0
"""Longest deadline that a request for a key may be sent with, in seconds."""

SETTLE_S = 2.5
"""How long what an earlier coordinator sent may go on at the server, in seconds.

It covers ``REQUEST_LIMIT_S`` after the last moment at which a grant could let it start.
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


class OwnedRows(NamedTuple):
    """The rows of one backend server during one lease of its coordinator.

    :param checks_grants: whether the server refuses what is not granted to it
    :param hinted: versions of shards that were heard of before they were read
    :param fresh: shards that were read since the rights began
    :param writing: versions that pending writes of shards expect
    :param unsure: shards whose write got no answer, or a refusal
    :param hot_row_by_key: the rows of keys that were taken out of their slots
    :param read_at: when each shard was last asked for
    :param answered_at: when the server was last heard from
    :param asked_at: when the server was last sent a probe or an order
    :param refused: whether the last call could not connect
    :param ticked_at: when time was last told to have passed
    :param asking: whether a probe or an order is under way
    """

    backend_server: str
    lease_epoch: int
    checks_grants: bool
    began_at: float
    book: GrantBook
    rights_until: float = -math.inf
    shard_by_number: Mapping[int, tuple[Shard, int]] = {}
    fresh: frozenset[int] = frozenset()
    hinted: Mapping[int, int] = {}
    held_by_row: Mapping[int, HeldRow] = {}
    writing: Mapping[int, int] = {}
    unsure: frozenset[int] = frozenset()
    hot_row_by_key: Mapping[str, int] = {}
    read_at: Mapping[int, float] = {}
    answered_at: float = -math.inf
    asked_at: float = -math.inf
    ticked_at: float = math.inf
    asking: bool = False
    refused: bool = False
    admitted: RowsAdmitted | None = None


def take_up(
    backend_server: str, lease_epoch: int, *, checks_grants: bool, now: float
) -> OwnedRows:
    """Return the state of a coordinator whose rights have just begun."""
    return OwnedRows(
        backend_server, lease_epoch, checks_grants, now, new_book(now), answered_at=now
    )


def is_lost(owned: OwnedRows, now: float) -> bool:
    """Return whether the server has not answered for too long."""
    allowed_s = REFUSED_LOST_S if owned.refused else SERVER_LOST_S
    return now - owned.answered_at >= allowed_s


def handle(
    owned: OwnedRows, event: RowsEvent, now: float
) -> tuple[OwnedRows, list[RowsEffect]]:
    """Take one event in; return the new state and what is to be done."""
    owned = _take(owned, event, now)
    owned = _advance(owned, now)
    effects: list[RowsEffect] = []
    for step in (_admit, _ask_server, _read_shards, _write_shards):
        owned, further = step(owned, now)
        effects += further
    return owned, effects


def _take(owned: OwnedRows, event: RowsEvent, now: float) -> OwnedRows:
    match event:
        case RowsTick(rights_until):
            if now - owned.ticked_at >= PAUSE_S:
                # What this process missed while it was paused says nothing of the server.
                owned = owned._replace(answered_at=now)
            return owned._replace(rights_until=rights_until, ticked_at=now)
        case ShardSeen():
            return _take_shard(owned, event, now)
        case ShardConflicted(number) | ShardUnknown(number):
            return owned._replace(unsure=owned.unsure | {number})
        case GrantAnswered(number, accepted, instance, clock, asked_at):
            owned = owned._replace(book=answered(owned.book, number, accepted=accepted))
            if not accepted:
                return owned._replace(asking=False, answered_at=now, refused=False)
            return _take_clock(owned, instance, clock, asked_at, now)
        case ProbeAnswered(instance, clock, asked_at):
            return _take_clock(owned, instance, clock, asked_at, now)
        case GrantFailed(_, refused) | ProbeFailed(refused):
            return owned._replace(asking=False, refused=refused)
        case RowsIdle(rows):
            return _set_phase(owned, rows, Phase.STOPPING, Phase.DROPPING, now)


def _take_clock(
    owned: OwnedRows, instance: str, clock: float, asked_at: float, now: float
) -> OwnedRows:
    book = note_clock(owned.book, instance, clock, asked_at, now)
    return owned._replace(book=book, asking=False, answered_at=now, refused=False)


def _take_shard(owned: OwnedRows, seen: ShardSeen, now: float) -> OwnedRows:
    number = seen.shard.number
    if number not in owned.fresh and not seen.fresh:
        # What was heard of before the first read may be older than a release; but the
        # read must not be older than that.
        version = max(seen.version, owned.hinted.get(number, 0))
        return owned._replace(hinted={**owned.hinted, number: version})
    if number not in owned.fresh and seen.version < owned.hinted.get(number, 0):
        return owned
    owned = owned._replace(fresh=owned.fresh | {number})
    known = owned.shard_by_number.get(number, (None, -1))[1]
    again = seen.version == known and number in owned.unsure and seen.fresh
    if seen.version <= known and not again:
        return owned
    held = {n: h for n, h in owned.held_by_row.items() if shard_of(n) != number}
    for row_number, row in seen.shard.rows_by_number.items():
        if row.owner == owned.backend_server:
            held[row_number] = _held(owned, row_number, row, seen, now)
    hot = {k: n for k, n in owned.hot_row_by_key.items() if shard_of(n) != number}
    hot |= {row.key: n for n, row in seen.shard.rows_by_number.items() if row.key}
    return owned._replace(
        shard_by_number={**owned.shard_by_number, number: (seen.shard, seen.version)},
        held_by_row=held,
        hot_row_by_key=hot,
        writing={n: v for n, v in owned.writing.items() if n != number},
        unsure=owned.unsure - {number},
    )


def _held(owned: OwnedRows, number: int, row: Row, seen: ShardSeen, now: float) -> HeldRow:
    known = owned.held_by_row.get(number)
    if not row.next_owner:
        if known is not None and known.phase is Phase.HELD:
            return known._replace(row=row)
        return HeldRow(row, Phase.HELD, now)
    if known is None and seen.fresh:
        # The write that releases it may be under way: it is not granted as it stands.
        return HeldRow(row, Phase.DROPPING, now, inherited=True)
    if known is None:
        return HeldRow(row, Phase.HELD, now)
    if known.phase is Phase.WRITING:
        return known._replace(row=row, phase=Phase.DROPPING)
    return known._replace(row=row)


def _advance(owned: OwnedRows, now: float) -> OwnedRows:
    """Begin to release what is marked as moving.

    A row stays in use until the requests of earlier coordinators, which are not known
    here, have been waited out; unless the server is lost.
    """
    lost = is_lost(owned, now)
    marked = frozenset(n for n, row in _rows_in(owned, Phase.HELD).items() if row.next_owner)
    if lost or now >= owned.began_at + SETTLE_S:
        owned = _set_phase(owned, marked, Phase.HELD, Phase.STOPPING, now)
    if not lost:
        return owned
    # Where the slot of a hot key stays granted its requests are waited for all the same.
    rows = frozenset(
        number
        for number, held in owned.held_by_row.items()
        if not held.row.key or slot_of(held.row.key) not in owned.held_by_row
    )
    return _set_phase(owned, rows, Phase.STOPPING, Phase.DROPPING, now)


def _set_phase(
    owned: OwnedRows, rows: frozenset[int], old: Phase, new: Phase, now: float
) -> OwnedRows:
    held = dict(owned.held_by_row)
    for number in rows:
        known = held.get(number)
        if known is not None and known.phase is old:
            held[number] = known._replace(phase=new, since=now)
    return owned._replace(held_by_row=held)


def _rows_in(owned: OwnedRows, *phases: Phase) -> dict[int, Row]:
    return {n: h.row for n, h in owned.held_by_row.items() if h.phase in phases}


def _may_act(owned: OwnedRows, now: float) -> bool:
    return now < owned.rights_until and len(owned.fresh) == SHARDS_PER_TABLE


def _tokens(owned: OwnedRows, rows: Mapping[int, Row]) -> dict[int, int]:
    return {n: token_of(row.epoch, owned.lease_epoch) for n, row in rows.items()}


def _admit(owned: OwnedRows, now: float) -> tuple[OwnedRows, list[RowsEffect]]:
    """Tell which rows are granted for certain, if that has changed."""
    tokens = _tokens(owned, _rows_in(owned, Phase.HELD))
    until = owned.rights_until if _may_act(owned, now) else -math.inf
    if owned.checks_grants:
        accepted = owned.book.accepted
        granted = {} if accepted is None else accepted.token_by_row
        tokens = {n: t for n, t in tokens.items() if granted.get(n) == t}
        until = min(until, valid_until(owned.book))
    stopping = frozenset(_rows_in(owned, Phase.STOPPING))
    admitted = RowsAdmitted(tokens, stopping, owned.hot_row_by_key, until)
    if admitted == owned.admitted:
        return owned, []
    return owned._replace(admitted=admitted), [admitted]


def _ask_server(owned: OwnedRows, now: float) -> tuple[OwnedRows, list[RowsEffect]]:
    """Renew the grants, or probe while there is no clock reading to reckon them from."""
    if owned.asking or now >= owned.rights_until:
        return owned, []
    accepted = owned.book.accepted
    wanted = _tokens(owned, _rows_in(owned, Phase.HELD))
    if accepted is not None:
        # A row that stops is kept until it is idle, but never granted anew.
        stopping = _tokens(owned, _rows_in(owned, Phase.STOPPING))
        wanted |= {n: t for n, t in stopping.items() if n in accepted.token_by_row}
    changed = accepted is not None and accepted.token_by_row != wanted
    if now - owned.asked_at < (0 if changed else GRANT_RENEW_S):
        return owned, []
    asked = owned._replace(asking=True, asked_at=now)
    if not owned.checks_grants or not _may_act(owned, now):
        return asked, [ProbeServer()]
    step = next_order(owned.book, wanted, now)
    if step is None:
        return asked, [ProbeServer()]
    book, order = step
    return asked._replace(book=book), [SendGrant(order)]


def _read_shards(owned: OwnedRows, now: float) -> tuple[OwnedRows, list[RowsEffect]]:
    wanted = [
        number
        for number in range(SHARDS_PER_TABLE)
        if (number not in owned.fresh or number in owned.unsure)
        and now - owned.read_at.get(number, -math.inf) >= STORE_RETRY_S
    ]
    if not wanted or now >= owned.rights_until:
        return owned, []
    read_at = {**owned.read_at, **dict.fromkeys(wanted, now)}
    return owned._replace(read_at=read_at), [ReadShard(number) for number in wanted]


def _write_shards(owned: OwnedRows, now: float) -> tuple[OwnedRows, list[RowsEffect]]:
    """Give the rows that the server can't hold any more to their next owners."""
    if not _may_act(owned, now):
        return owned, []
    free_by_shard: dict[int, list[int]] = {}
    for number, held in owned.held_by_row.items():
        if held.phase is Phase.DROPPING and _is_free(owned, number, held, now):
            free_by_shard.setdefault(shard_of(number), []).append(number)
    effects: list[RowsEffect] = []
    for shard_number, rows in free_by_shard.items():
        if shard_number in owned.writing:
            continue
        shard, version = owned.shard_by_number[shard_number]
        held_by_row = owned.held_by_row
        kept = {n for n in rows if _is_withdrawn(owned, held_by_row[n], now)}
        effects.append(WriteShard(_released(shard, rows, kept), version))
        owned = _set_phase(owned, frozenset(rows), Phase.DROPPING, Phase.WRITING, now)
        owned = owned._replace(writing={**owned.writing, shard_number: version})
    return owned, effects


def _is_free(owned: OwnedRows, number: int, held: HeldRow, now: float) -> bool:
    """Return whether the row may be written: released, or its mark withdrawn.

    It is released when the server can neither hold it nor work on it any more.
    """
    if _is_withdrawn(owned, held, now):
        return True
    if not owned.checks_grants:
        return now >= max(held.since, owned.began_at) + SETTLE_S
    return not may_hold(owned.book, number, now)


def _is_withdrawn(owned: OwnedRows, held: HeldRow, now: float) -> bool:
    """Return whether the mark is taken back rather than the row released."""
    in_slot = held.row.key and slot_of(held.row.key) in owned.held_by_row
    return held.inherited and (bool(in_slot) or not is_lost(owned, now))


def _released(shard: Shard, numbers: list[int], kept: set[int]) -> Shard:
    """Return the shard with rows released, or with their marks withdrawn.

    A mark is withdrawn so that a release which an earlier coordinator sent, and which
    expects the marked version, can not take effect any more.
    """
    rows = dict(shard.rows_by_number)
    for number in numbers:
        row = rows[number]
        if number in kept:
            rows[number] = row._replace(next_owner='')
        elif row.next_owner == row.owner:
            # The one key of a hot row goes back to its slot, which has the same owner.
            rows[number] = Row('', row.epoch + 1)
        else:
            rows[number] = Row(row.next_owner, row.epoch + 1, '', row.key)
    return Shard(shard.number, rows)
