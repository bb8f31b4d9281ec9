"""Writes the end of moves to the store: rows released to their next owners, or kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.ownership._grants import may_be_granted
from coltsfootstair.ownership._messages import WriteShard
from coltsfootstair.ownership._owned import (
    REQUESTS_ENDED_AFTER_S,
    OwnedRow,
    OwnershipState,
    RowPhase,
    is_unresponsive,
    may_change_ownership,
    set_phase,
)
from coltsfootstair.ownership._table import Row, Shard, hash_row_of, shard_of

if TYPE_CHECKING:
    from coltsfootstair.ownership._messages import RowsEffect

__all__ = ['write_finished_moves']


def write_finished_moves(
    state: OwnershipState, now: float
) -> tuple[OwnershipState, list[RowsEffect]]:
    """Write the rows whose move can be completed or cancelled, one write for each shard."""
    if not may_change_ownership(state, now):
        return state, []
    writable_by_shard: dict[int, list[int]] = {}
    for number in state.owned_by_row.rows_in(RowPhase.EXPIRING):
        if _may_write(state, number, state.owned_by_row[number], now):
            writable_by_shard.setdefault(shard_of(number), []).append(number)
    effects: list[RowsEffect] = []
    for shard_number, rows in writable_by_shard.items():
        if shard_number in state.pending_writes:
            continue
        shard, version = state.shard_by_number[shard_number]
        owned_by_row = state.owned_by_row
        cancelled = {n for n in rows if _is_move_cancelled(state, owned_by_row[n], now)}
        effects.append(WriteShard(_shard_after_moves(shard, rows, cancelled), version))
        state = set_phase(state, frozenset(rows), RowPhase.EXPIRING, RowPhase.RELEASING, now)
        state = state._replace(pending_writes={**state.pending_writes, shard_number: version})
    return state, effects


def _may_write(state: OwnershipState, number: int, owned: OwnedRow, now: float) -> bool:
    """Return whether the move of a row may be written as completed or cancelled.

    It may be completed when no grant of the row can be in force any more. A server that
    does not check grants is given the time in which all its requests have ended instead.
    """
    if _is_move_cancelled(state, owned, now):
        return True
    if not state.checks_grants:
        return now >= max(owned.since, state.started_at) + REQUESTS_ENDED_AFTER_S
    return not may_be_granted(state.grants, number, now)


def _is_move_cancelled(state: OwnershipState, owned: OwnedRow, now: float) -> bool:
    """Return whether the move of a row is cancelled instead of completed.

    A move inherited from an earlier coordinator is cancelled if the server answers, or if
    the row is a hot row whose hash row the server owns too.
    """
    in_hash_row = owned.row.key and hash_row_of(owned.row.key) in state.owned_by_row
    return owned.inherited_move and (bool(in_hash_row) or not is_unresponsive(state, now))


def _shard_after_moves(shard: Shard, numbers: list[int], cancelled: set[int]) -> Shard:
    """Return the shard with the moves of rows completed, or cancelled.

    The write that cancels a move changes the version of the shard. A release that an
    earlier coordinator sent expects the old version, so it can't take effect any more.
    """
    rows = dict(shard.rows_by_number)
    for number in numbers:
        row = rows[number]
        if number in cancelled:
            rows[number] = row._replace(next_owner='')
        elif row.next_owner == row.owner:
            # The key of a hot row returns to its hash row, which has the same owner.
            rows[number] = Row('', row.epoch + 1)
        else:
            rows[number] = Row(row.next_owner, row.epoch + 1, '', row.key)
    return Shard(shard.number, rows)
