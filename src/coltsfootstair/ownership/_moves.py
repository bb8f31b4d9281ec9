"""Decides which rows are granted to a backend server and when their release begins."""

from __future__ import annotations

import math

from coltsfootstair.ownership._grants import (
    GRANT_RENEWAL_INTERVAL_S,
    accepted_valid_until,
    apply_clock_reading,
    apply_grant_answer,
    next_grant_call,
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
    PAUSE_THRESHOLD_S,
    REQUESTS_ENDED_AFTER_S,
    OwnedRow,
    OwnedRowMap,
    OwnershipState,
    RowPhase,
    is_unresponsive,
    may_change_ownership,
    set_phase,
    tokens_in,
)
from coltsfootstair.ownership._release import write_finished_moves
from coltsfootstair.ownership._table import (
    SHARDS_PER_TABLE,
    Row,
    hash_row_of,
    shard_of,
)

__all__ = ['handle']

STORE_RETRY_INTERVAL_S = 0.1
"""Shortest time between two reads of one shard, in seconds."""


def handle(
    state: OwnershipState, event: RowsEvent, now: float
) -> tuple[OwnershipState, list[RowsEffect]]:
    """Apply one event; return the new state and the effects to execute."""
    state = _apply_event(state, event, now)
    state = _advance_phases(state, now)
    effects: list[RowsEffect] = []
    for step in (_admit_rows, _call_server, _read_shards, write_finished_moves):
        state, further = step(state, now)
        effects += further
    return state, effects


def _apply_event(state: OwnershipState, event: RowsEvent, now: float) -> OwnershipState:
    match event:
        case RowsTick(lease_expiry):
            if now - state.last_tick_at >= PAUSE_THRESHOLD_S:
                # This process was paused, so missing answers do not show that the server
                # is unresponsive.
                state = state._replace(last_answer_at=now)
            return state._replace(lease_expiry=lease_expiry, last_tick_at=now)
        case ShardObserved(shard, _, read_under_lease):
            if read_under_lease:
                state = state._replace(reading_shards=state.reading_shards - {shard.number})
            return _apply_shard(state, event, now)
        case ShardWriteConflicted(number):
            return state._replace(uncertain_shards=state.uncertain_shards | {number})
        case ShardCallUnanswered(number):
            reading = state.reading_shards - {number}
            return state._replace(
                uncertain_shards=state.uncertain_shards | {number}, reading_shards=reading
            )
        case GrantAnswered(number, accepted, instance, clock, sent_at):
            state = state._replace(
                grants=apply_grant_answer(state.grants, number, accepted=accepted)
            )
            if not accepted:
                return state._replace(
                    is_call_pending=False, last_answer_at=now, connect_failed=False
                )
            return _apply_answer_clock(state, instance, clock, sent_at, now)
        case ProbeAnswered(instance, clock, sent_at):
            return _apply_answer_clock(state, instance, clock, sent_at, now)
        case GrantFailed(_, connect_failed) | ProbeFailed(connect_failed):
            return state._replace(is_call_pending=False, connect_failed=connect_failed)
        case RowsIdle(rows):
            return set_phase(state, rows, RowPhase.STOPPING, RowPhase.EXPIRING, now)


def _apply_answer_clock(
    state: OwnershipState, instance: str, clock: float, sent_at: float, now: float
) -> OwnershipState:
    grants = apply_clock_reading(state.grants, instance, clock, sent_at, now)
    return state._replace(
        grants=grants, is_call_pending=False, last_answer_at=now, connect_failed=False
    )


def _apply_shard(state: OwnershipState, observed: ShardObserved, now: float) -> OwnershipState:
    number = observed.shard.number
    if number not in state.shards_read_under_lease and not observed.read_under_lease:
        # An update that arrives before the first read may be older than the release of a
        # row, so it is not applied. The first read must not return an older version.
        version = max(observed.version, state.announced_versions.get(number, 0))
        return state._replace(announced_versions={**state.announced_versions, number: version})
    if (
        number not in state.shards_read_under_lease
        and observed.version < state.announced_versions.get(number, 0)
    ):
        return state
    state = state._replace(shards_read_under_lease=state.shards_read_under_lease | {number})
    known_version = state.shard_by_number.get(number, (None, -1))[1]
    # The same version, read again, shows that an uncertain write has not taken effect yet.
    is_reread = (
        observed.version == known_version
        and number in state.uncertain_shards
        and observed.read_under_lease
    )
    if observed.version <= known_version and not is_reread:
        return state
    owned = {n: row for n, row in state.owned_by_row.items() if shard_of(n) != number}
    for row_number, row in observed.shard.rows_by_number.items():
        if row.owner == state.backend_server:
            owned[row_number] = _next_owned_row(state, row_number, row, observed, now)
    hot = {key: n for key, n in state.hot_row_by_key.items() if shard_of(n) != number}
    hot |= {row.key: n for n, row in observed.shard.rows_by_number.items() if row.key}
    return state._replace(
        shard_by_number={**state.shard_by_number, number: (observed.shard, observed.version)},
        owned_by_row=OwnedRowMap(owned),
        hot_row_by_key=hot,
        pending_writes={n: v for n, v in state.pending_writes.items() if n != number},
        uncertain_shards=state.uncertain_shards - {number},
    )


def _next_owned_row(
    state: OwnershipState, number: int, row: Row, observed: ShardObserved, now: float
) -> OwnedRow:
    """Return the state of an owned row after its shard was observed."""
    known = state.owned_by_row.get(number)
    if not row.next_owner:
        if known is not None and known.phase is RowPhase.IN_USE:
            return known._replace(row=row)
        return OwnedRow(row, RowPhase.IN_USE, now)
    if known is None and observed.read_under_lease:
        # An earlier coordinator may have sent a write that releases the row and that still
        # takes effect later, so the row is not granted.
        return OwnedRow(row, RowPhase.EXPIRING, now, inherited_move=True)
    if known is None:
        return OwnedRow(row, RowPhase.IN_USE, now)
    if known.phase is RowPhase.RELEASING:
        return known._replace(row=row, phase=RowPhase.EXPIRING)
    return known._replace(row=row)


def _advance_phases(state: OwnershipState, now: float) -> OwnershipState:
    """Stop the rows that are marked as moving; skip the wait for an unresponsive server.

    A row stays in use until the requests that earlier coordinators sent, which are not
    known here, have ended. If the server is unresponsive, neither those requests nor the
    ones sent by this coordinator are waited for.
    """
    unresponsive = is_unresponsive(state, now)
    in_use = state.owned_by_row.rows_in(RowPhase.IN_USE)
    moving = frozenset(n for n, row in in_use.items() if row.next_owner)
    if unresponsive or now >= state.started_at + REQUESTS_ENDED_AFTER_S:
        state = set_phase(state, moving, RowPhase.IN_USE, RowPhase.STOPPING, now)
    if not unresponsive:
        return state
    # While the hash row of a hot key stays granted, requests for the key may still run
    # under that grant, so they are waited for even then.
    rows = frozenset(
        number
        for number, row in state.owned_by_row.rows_in(RowPhase.STOPPING).items()
        if not row.key or hash_row_of(row.key) not in state.owned_by_row
    )
    return set_phase(state, rows, RowPhase.STOPPING, RowPhase.EXPIRING, now)


def _admit_rows(state: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Admit requests for the rows whose grant is certain to be valid, if they changed."""
    tokens = tokens_in(state, RowPhase.IN_USE)
    valid_until = state.lease_expiry if may_change_ownership(state, now) else -math.inf
    if state.checks_grants:
        accepted = state.grants.accepted
        granted = {} if accepted is None else accepted.token_by_row
        tokens = {n: token for n, token in tokens.items() if granted.get(n) == token}
        valid_until = min(valid_until, accepted_valid_until(state.grants))
    stopping = frozenset(state.owned_by_row.rows_in(RowPhase.STOPPING))
    admitted = AdmitRows(tokens, stopping, state.hot_row_by_key, valid_until)
    if admitted == state.admitted:
        return state, []
    return state._replace(admitted=admitted), [admitted]


def _call_server(state: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Renew the grants, or probe the server if grants can't be computed or given."""
    if state.is_call_pending or now >= state.lease_expiry:
        return state, []
    accepted = state.grants.accepted
    wanted = tokens_in(state, RowPhase.IN_USE)
    if accepted is not None:
        # A stopping row keeps its grant until no request of it runs, but gets no new one.
        stopping = tokens_in(state, RowPhase.STOPPING)
        kept = {n: token for n, token in stopping.items() if n in accepted.token_by_row}
        wanted = {**wanted, **kept} if kept else wanted
    changed = accepted is not None and accepted.token_by_row != wanted
    if now - state.last_call_at < (0 if changed else GRANT_RENEWAL_INTERVAL_S):
        return state, []
    called = state._replace(is_call_pending=True, last_call_at=now)
    if not state.checks_grants or not may_change_ownership(state, now):
        return called, [ProbeServer()]
    step = next_grant_call(state.grants, wanted, now)
    if step is None:
        return called, [ProbeServer()]
    grants, call = step
    return called._replace(grants=grants), [SendGrant(call)]


def _read_shards(state: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Read the shards not read under this lease yet, and those in an uncertain state."""
    due = [
        number
        for number in range(SHARDS_PER_TABLE)
        if (number not in state.shards_read_under_lease or number in state.uncertain_shards)
        and number not in state.reading_shards
        and now - state.read_sent_at.get(number, -math.inf) >= STORE_RETRY_INTERVAL_S
    ]
    if not due or now >= state.lease_expiry:
        return state, []
    read_sent_at = {**state.read_sent_at, **dict.fromkeys(due, now)}
    reading = state.reading_shards.union(due)
    return state._replace(reading_shards=reading, read_sent_at=read_sent_at), [
        ReadShard(number) for number in due
    ]
