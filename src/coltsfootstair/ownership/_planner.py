"""Plans which rows move so that the measured load evens out with the fewest moves."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.ownership._table import (
    HASH_ROWS_PER_TABLE,
    HOT_ROWS_PER_SHARD,
    Row,
    Shard,
    Table,
    hash_row_of,
    shard_of,
)

__all__ = ['HOT_SHARE', 'LOAD_BOUND', 'Load', 'RowChange', 'apply_changes', 'plan_moves']

LOAD_BOUND = 1.1
"""Load over the mean that a server may have before rows are moved off it."""

LOW_BOUND = 0.9
"""Load over the mean that a server is filled up to when it falls below ``IDLE_BOUND``."""

IDLE_BOUND = 0.7
"""Load over the mean below which a server is filled up."""

HOT_SHARE = 0.02
"""Share of a server's mean load from which a key gets a row of its own."""

MOVES_AT_ONCE = 32
"""Rows that are moved off one server at once to relieve it."""

LEAST_GAIN = 0.05
"""Load over the mean by which a move must lower the higher of two servers."""

LEAST_ROW_PART = 4 * HASH_ROWS_PER_TABLE
"""A row with less than one part in so many of the load is not moved to relieve."""

QUIET_RATE = 50.0
"""Requests a second of a service below which the measured load says nothing."""

_COLD_SHARE = HOT_SHARE / 4
_ROW_WEIGHT = 0.05
"""Part of the load that is counted evenly over slots, so that idle ones count too."""


class Load(NamedTuple):
    """Requests a second, as measured.

    :param by_row: of each row
    :param by_key: of the keys that were found to be frequent
    """

    by_row: Mapping[int, float] = {}
    by_key: Mapping[str, float] = {}


class RowChange(NamedTuple):
    """A row as the planner wants it written; its owner stays until it is released."""

    number: int
    row: Row


def plan_moves(
    table: Table, usable: frozenset[str], load: Load, *, balance: bool = True
) -> list[RowChange]:
    """Return the rows to mark as moving, those of servers that are lost or out first.

    :param usable: the servers that may own rows
    :param balance: whether to even out the load of those as well
    """
    if not usable:
        return []
    if sum(load.by_row.values()) < QUIET_RATE:
        load = Load()
    planning = _Planning(table, usable, load)
    planning.place_orphans()
    if balance:
        planning.return_cold_keys()
        planning.place_hot_keys()
        planning.even_out()
    return [RowChange(n, row) for n, row in sorted(planning.changes_by_row.items())]


def apply_changes(shard: Shard, changes: list[RowChange]) -> Shard:
    """Return ``shard`` with the changes that still fit it."""
    rows = dict(shard.rows_by_number)
    for number, row in changes:
        known = rows.get(number, Row('', 0))
        same = known.owner == row.owner and known.epoch == row.epoch
        free = not known.owner and row.epoch == known.epoch + 1
        if shard_of(number) == shard.number and (same or free):
            rows[number] = row
    return Shard(shard.number, rows)


class _Planning:
    """The work of one run of the planner."""

    def __init__(self, table: Table, usable: frozenset[str], load: Load) -> None:
        self.changes_by_row: dict[int, Row] = {}
        self._usable = sorted(usable)
        self._row_by_number = table.rows_by_number()
        self._load = load
        self._resting: set[int] = set()
        total = sum(load.by_row.values())
        self._base = max(total, 1.0) * _ROW_WEIGHT / HASH_ROWS_PER_TABLE
        self._load_by_server = dict.fromkeys(self._usable, 0.0)
        for number, row in self._row_by_number.items():
            server = row.next_owner or row.owner
            if server in self._load_by_server:
                self._load_by_server[server] += self._weight(number)
        weights = sum(self._weight(number) for number in range(HASH_ROWS_PER_TABLE))
        hot = [n for n, row in self._row_by_number.items() if row.key]
        weights += sum(self._weight(number) for number in hot)
        self._mean = weights / len(self._usable)

    def place_orphans(self) -> None:
        """Give the rows of servers that may not own any to others, heaviest first."""
        for number in self._heaviest_first(self._all_numbers()):
            row = self._row(number)
            if number >= HASH_ROWS_PER_TABLE and not row.key:
                continue
            if (row.next_owner or row.owner) not in self._load_by_server:
                self._move(number, self._least_loaded())

    def return_cold_keys(self) -> None:
        """Give the rows of keys that are hot no more back to the owners of their slots."""
        for number, row in list(self._row_by_number.items()):
            if not row.key or row.next_owner or number in self.changes_by_row:
                continue
            if self._load.by_row.get(number, 0.0) > _COLD_SHARE * self._mean:
                continue
            slot = self._row(hash_row_of(row.key))
            if slot.next_owner or not slot.owner:
                continue
            # A row that moves to its own owner ends: the key goes back to its slot.
            self._move(number, slot.owner)

    def place_hot_keys(self) -> None:
        """Take frequent keys out of their slots, onto the least loaded servers."""
        keys = sorted(self._load.by_key.items(), key=lambda item: (-item[1], item[0]))
        known = {row.key for row in self._row_by_number.values() if row.key}
        for key, rate in keys:
            if rate < HOT_SHARE * self._mean:
                return
            if key not in known:
                self._place_hot_key(key, rate)

    def _place_hot_key(self, key: str, rate: float) -> None:
        slot = hash_row_of(key)
        row = self._row(slot)
        number = self._free_hot_row(shard_of(slot))
        target = self._least_loaded()
        if number is None or not row.owner or row.owner == target:
            return
        if self._load_by_server[target] + rate >= self._load_by_server.get(row.owner, 0.0):
            return
        self._load_by_server[row.owner] -= rate
        self._load_by_server[target] += rate
        # What its slot weighs without the key is known only when it is measured again.
        self._resting.add(slot)
        epoch = self._row(number).epoch + 1
        self._change(number, Row(row.owner, epoch, target, key))

    def even_out(self) -> None:
        """Move the fewest rows that bring every server under the bound."""
        for server in sorted(self._usable, key=lambda name: -self._load_by_server[name]):
            self._relieve(server, LOAD_BOUND * self._mean)
        for server in self._usable:
            if self._load_by_server[server] < IDLE_BOUND * self._mean:
                self._fill(server)

    def _relieve(self, server: str, bound: float) -> None:
        least = self._mean * len(self._usable) / LEAST_ROW_PART
        heaviest = self._movable(server)[:MOVES_AT_ONCE]
        for number in heaviest:
            weight = self._weight(number)
            excess = self._load_by_server[server] - bound
            # Rows that hardly weigh anything are not worth moving.
            if excess <= 0 or weight < least:
                return
            target = self._least_loaded()
            gain = self._load_by_server[server] - self._load_by_server[target] - weight
            if gain > LEAST_GAIN * self._mean:
                self._move(number, target)

    def _fill(self, server: str) -> None:
        goal = LOW_BOUND * self._mean
        while self._load_by_server[server] < goal:
            giver = max(self._usable, key=lambda name: self._load_by_server[name])
            spare = min(
                goal - self._load_by_server[server],
                self._load_by_server[giver] - self._load_by_server[server],
            )
            fits = [n for n in self._movable(giver) if 0 < self._weight(n) <= spare]
            if not fits or self._load_by_server[giver] <= goal:
                return
            self._move(fits[0], server)

    def _movable(self, server: str) -> list[int]:
        mine = [
            number
            for number, row in self._row_by_number.items()
            if row.owner == server
            and not row.next_owner
            and number not in self.changes_by_row
            and number not in self._resting
        ]
        return self._heaviest_first(mine)

    def _heaviest_first(self, numbers: list[int]) -> list[int]:
        return sorted(numbers, key=lambda number: (-self._weight(number), number))

    def _all_numbers(self) -> list[int]:
        hot = [number for number in self._row_by_number if number >= HASH_ROWS_PER_TABLE]
        return [*range(HASH_ROWS_PER_TABLE), *hot]

    def _weight(self, number: int) -> float:
        base = self._base if number < HASH_ROWS_PER_TABLE else 0.0
        return base + self._load.by_row.get(number, 0.0)

    def _row(self, number: int) -> Row:
        return self._row_by_number.get(number, Row('', 0))

    def _least_loaded(self) -> str:
        return min(self._usable, key=lambda name: (self._load_by_server[name], name))

    def _move(self, number: int, target: str) -> None:
        row = self._row(number)
        source = row.next_owner or row.owner
        if source in self._load_by_server:
            self._load_by_server[source] -= self._weight(number)
        self._load_by_server[target] += self._weight(number)
        if row.owner:
            self._change(number, row._replace(next_owner=target))
        else:
            self._change(number, Row(target, row.epoch + 1, '', row.key))

    def _change(self, number: int, row: Row) -> None:
        self.changes_by_row[number] = row
        self._row_by_number[number] = row

    def _free_hot_row(self, shard: int) -> int | None:
        first = HASH_ROWS_PER_TABLE + shard * HOT_ROWS_PER_SHARD
        for number in range(first, first + HOT_ROWS_PER_SHARD):
            row = self._row(number)
            if not row.key and not row.owner:
                return number
        return None
