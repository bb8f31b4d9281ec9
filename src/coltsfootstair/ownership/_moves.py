"""Decides what a backend server holds: grants for its rows, and their release."""

from __future__ import annotations

import math

from coltsfootstair.ownership._grants import (
    GRANT_RENEW_S,
    answered,
    next_order,
    note_clock,
    valid_until,
)
from coltsfootstair.ownership._messages import (
    AdmitRows,
    GrantAnswered,
    GrantFailed,
    ProbeAnswered,
    ProbeFailed,
    ProbeServer,
    ReadShard,
    RowsEffect,
    RowsEvent,
    RowsIdle,
    RowsTick,
    SendGrant,
    ShardCallUnanswered,
    ShardObserved,
    ShardWriteConflicted,
)
from coltsfootstair.ownership._owned import (
    PAUSE_S,
    SETTLE_S,
    HeldRow,
    HeldRows,
    OwnershipState,
    Phase,
    is_unresponsive,
    may_act,
    set_phase,
    tokens_in,
)
from coltsfootstair.ownership._release import write_shards
from coltsfootstair.ownership._table import (
    SHARDS_PER_TABLE,
    Row,
    hash_row_of,
    shard_of,
)

__all__ = ['handle']

STORE_RETRY_S = 0.1
"""Pause between two reads of one shard, in seconds."""


def handle(
    owned: OwnershipState, event: RowsEvent, now: float
) -> tuple[OwnershipState, list[RowsEffect]]:
    """Take one event in; return the new state and what is to be done."""
    owned = _take(owned, event, now)
    owned = _advance(owned, now)
    effects: list[RowsEffect] = []
    for step in (_admit, _ask_server, _read_shards, write_shards):
        owned, further = step(owned, now)
        effects += further
    return owned, effects


def _take(owned: OwnershipState, event: RowsEvent, now: float) -> OwnershipState:
    match event:
        case RowsTick(lease_expiry):
            if now - owned.ticked_at >= PAUSE_S:
                # What this process missed while it was paused says nothing of the server.
                owned = owned._replace(answered_at=now)
            return owned._replace(lease_expiry=lease_expiry, ticked_at=now)
        case ShardObserved(shard, _, read_under_lease):
            if read_under_lease:
                owned = owned._replace(reading=owned.reading - {shard.number})
            return _take_shard(owned, event, now)
        case ShardWriteConflicted(number):
            return owned._replace(unsure=owned.unsure | {number})
        case ShardCallUnanswered(number):
            reading = owned.reading - {number}
            return owned._replace(unsure=owned.unsure | {number}, reading=reading)
        case GrantAnswered(number, accepted, instance, clock, asked_at):
            owned = owned._replace(book=answered(owned.book, number, accepted=accepted))
            if not accepted:
                return owned._replace(asking=False, answered_at=now, connect_failed=False)
            return _take_clock(owned, instance, clock, asked_at, now)
        case ProbeAnswered(instance, clock, asked_at):
            return _take_clock(owned, instance, clock, asked_at, now)
        case GrantFailed(_, connect_failed) | ProbeFailed(connect_failed):
            return owned._replace(asking=False, connect_failed=connect_failed)
        case RowsIdle(rows):
            return set_phase(owned, rows, Phase.STOPPING, Phase.DROPPING, now)


def _take_clock(
    owned: OwnershipState, instance: str, clock: float, asked_at: float, now: float
) -> OwnershipState:
    book = note_clock(owned.book, instance, clock, asked_at, now)
    return owned._replace(book=book, asking=False, answered_at=now, connect_failed=False)


def _take_shard(owned: OwnershipState, seen: ShardObserved, now: float) -> OwnershipState:
    number = seen.shard.number
    if number not in owned.shards_read_under_lease and not seen.read_under_lease:
        # What was heard of before the first read may be older than a release; but the
        # read must not be older than that.
        version = max(seen.version, owned.hinted.get(number, 0))
        return owned._replace(hinted={**owned.hinted, number: version})
    if number not in owned.shards_read_under_lease and seen.version < owned.hinted.get(
        number, 0
    ):
        return owned
    owned = owned._replace(shards_read_under_lease=owned.shards_read_under_lease | {number})
    known = owned.shard_by_number.get(number, (None, -1))[1]
    again = seen.version == known and number in owned.unsure and seen.read_under_lease
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
        held_by_row=HeldRows(held),
        hot_row_by_key=hot,
        writing={n: v for n, v in owned.writing.items() if n != number},
        unsure=owned.unsure - {number},
    )


def _held(
    owned: OwnershipState, number: int, row: Row, seen: ShardObserved, now: float
) -> HeldRow:
    known = owned.held_by_row.get(number)
    if not row.next_owner:
        if known is not None and known.phase is Phase.HELD:
            return known._replace(row=row)
        return HeldRow(row, Phase.HELD, now)
    if known is None and seen.read_under_lease:
        # The write that releases it may be under way: it is not granted as it stands.
        return HeldRow(row, Phase.DROPPING, now, inherited=True)
    if known is None:
        return HeldRow(row, Phase.HELD, now)
    if known.phase is Phase.WRITING:
        return known._replace(row=row, phase=Phase.DROPPING)
    return known._replace(row=row)


def _advance(owned: OwnershipState, now: float) -> OwnershipState:
    """Begin to release what is marked as moving.

    A row stays in use until the requests of earlier coordinators, which are not known
    here, have been waited out; unless the server is lost.
    """
    lost = is_unresponsive(owned, now)
    in_use = owned.held_by_row.rows_in(Phase.HELD)
    marked = frozenset(n for n, row in in_use.items() if row.next_owner)
    if lost or now >= owned.began_at + SETTLE_S:
        owned = set_phase(owned, marked, Phase.HELD, Phase.STOPPING, now)
    if not lost:
        return owned
    # Where the slot of a hot key stays granted its requests are waited for all the same.
    rows = frozenset(
        number
        for number, row in owned.held_by_row.rows_in(Phase.STOPPING).items()
        if not row.key or hash_row_of(row.key) not in owned.held_by_row
    )
    return set_phase(owned, rows, Phase.STOPPING, Phase.DROPPING, now)


def _admit(owned: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Tell which rows are granted for certain, if that has changed."""
    tokens = tokens_in(owned, Phase.HELD)
    until = owned.lease_expiry if may_act(owned, now) else -math.inf
    if owned.checks_grants:
        accepted = owned.book.accepted
        granted = {} if accepted is None else accepted.token_by_row
        tokens = {n: t for n, t in tokens.items() if granted.get(n) == t}
        until = min(until, valid_until(owned.book))
    stopping = frozenset(owned.held_by_row.rows_in(Phase.STOPPING))
    admitted = AdmitRows(tokens, stopping, owned.hot_row_by_key, until)
    if admitted == owned.admitted:
        return owned, []
    return owned._replace(admitted=admitted), [admitted]


def _ask_server(owned: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Renew the grants, or probe while there is no clock reading to compute them from."""
    if owned.asking or now >= owned.lease_expiry:
        return owned, []
    accepted = owned.book.accepted
    wanted = tokens_in(owned, Phase.HELD)
    if accepted is not None:
        # A row that stops is kept until it is idle, but never granted anew.
        stopping = tokens_in(owned, Phase.STOPPING)
        kept = {n: t for n, t in stopping.items() if n in accepted.token_by_row}
        wanted = {**wanted, **kept} if kept else wanted
    changed = accepted is not None and accepted.token_by_row != wanted
    if now - owned.asked_at < (0 if changed else GRANT_RENEW_S):
        return owned, []
    asked = owned._replace(asking=True, asked_at=now)
    if not owned.checks_grants or not may_act(owned, now):
        return asked, [ProbeServer()]
    step = next_order(owned.book, wanted, now)
    if step is None:
        return asked, [ProbeServer()]
    book, order = step
    return asked._replace(book=book), [SendGrant(order)]


def _read_shards(owned: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    wanted = [
        number
        for number in range(SHARDS_PER_TABLE)
        if (number not in owned.shards_read_under_lease or number in owned.unsure)
        and number not in owned.reading
        and now - owned.read_at.get(number, -math.inf) >= STORE_RETRY_S
    ]
    if not wanted or now >= owned.lease_expiry:
        return owned, []
    read_at = {**owned.read_at, **dict.fromkeys(wanted, now)}
    reading = owned.reading.union(wanted)
    return owned._replace(reading=reading, read_at=read_at), [
        ReadShard(number) for number in wanted
    ]
