"""Gives rows to their next owners once the server can hold them no more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.ownership._grants import may_hold
from coltsfootstair.ownership._messages import WriteShard
from coltsfootstair.ownership._owned import (
    SETTLE_S,
    HeldRow,
    OwnershipState,
    Phase,
    is_unresponsive,
    may_act,
    set_phase,
)
from coltsfootstair.ownership._table import Row, Shard, hash_row_of, shard_of

if TYPE_CHECKING:
    from coltsfootstair.ownership._messages import RowsEffect

__all__ = ['write_shards']


def write_shards(owned: OwnershipState, now: float) -> tuple[OwnershipState, list[RowsEffect]]:
    """Give the rows that the server can't hold any more to their next owners."""
    if not may_act(owned, now):
        return owned, []
    free_by_shard: dict[int, list[int]] = {}
    for number in owned.held_by_row.rows_in(Phase.DROPPING):
        if _is_free(owned, number, owned.held_by_row[number], now):
            free_by_shard.setdefault(shard_of(number), []).append(number)
    effects: list[RowsEffect] = []
    for shard_number, rows in free_by_shard.items():
        if shard_number in owned.writing:
            continue
        shard, version = owned.shard_by_number[shard_number]
        held_by_row = owned.held_by_row
        kept = {n for n in rows if _is_withdrawn(owned, held_by_row[n], now)}
        effects.append(WriteShard(_released(shard, rows, kept), version))
        owned = set_phase(owned, frozenset(rows), Phase.DROPPING, Phase.WRITING, now)
        owned = owned._replace(writing={**owned.writing, shard_number: version})
    return owned, effects


def _is_free(owned: OwnershipState, number: int, held: HeldRow, now: float) -> bool:
    """Return whether the row may be written: released, or its mark withdrawn.

    It is released when the server can neither hold it nor work on it any more.
    """
    if _is_withdrawn(owned, held, now):
        return True
    if not owned.checks_grants:
        return now >= max(held.since, owned.began_at) + SETTLE_S
    return not may_hold(owned.book, number, now)


def _is_withdrawn(owned: OwnershipState, held: HeldRow, now: float) -> bool:
    """Return whether the mark is taken back rather than the row released."""
    in_slot = held.row.key and hash_row_of(held.row.key) in owned.held_by_row
    return held.inherited and (bool(in_slot) or not is_unresponsive(owned, now))


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
