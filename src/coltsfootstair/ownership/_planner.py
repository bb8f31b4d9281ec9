"""Plans which rows move, so that few moves even out the measured load of the servers."""

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

__all__ = [
    'HOT_KEY_SHARE',
    'MAX_LOAD_SHARE',
    'Load',
    'RowChange',
    'apply_changes',
    'plan_moves',
]

MAX_LOAD_SHARE = 1.1
"""Share of the mean load above which rows are moved off a server."""

FILL_TARGET_SHARE = 0.9
"""Share of the mean load up to which a server is filled."""

FILL_THRESHOLD_SHARE = 0.7
"""Share of the mean load below which a server is filled."""

HOT_KEY_SHARE = 0.02
"""Share of the mean load from which a key gets a hot row."""

MAX_RELIEF_MOVE_COUNT = 32
"""Greatest number of rows that one plan moves off an overloaded server."""

MIN_GAIN_SHARE = 0.05
"""Share of the mean load by which a relieving move must lower the higher load of the two
servers."""

MIN_ROW_LOAD_DIVISOR = 4 * HASH_ROWS_PER_TABLE
"""A row with less than the total load divided by this is not moved to relieve a server."""

MIN_MEASURED_RATE_PER_S = 50.0
"""Requests per second of a service below which its load is ignored as not significant."""

_COLD_KEY_SHARE = HOT_KEY_SHARE / 4
"""Share of the mean load up to which the key of a hot row returns to its hash row."""

_BASE_LOAD_SHARE = 0.05
"""Share of the load that is added evenly to the hash rows, so that idle rows count too."""


class Load(NamedTuple):
    """Measured requests per second.

    :param by_row: rate of each row, by row number
    :param by_key: rate of each frequent key
    """

    by_row: Mapping[int, float] = {}
    by_key: Mapping[str, float] = {}


class RowChange(NamedTuple):
    """A row as the planner wants it written; it keeps its owner until it is released."""

    number: int
    row: Row


def plan_moves(
    table: Table, usable: frozenset[str], load: Load, *, balance: bool = True
) -> list[RowChange]:
    """Return the rows to mark as moving, by number.

    Rows of servers that may not own any are always moved, before the load is evened out.

    :param usable: names of the servers that may own rows
    :param balance: whether to even out the load of the usable servers too
    """
    if not usable:
        return []
    if sum(load.by_row.values()) < MIN_MEASURED_RATE_PER_S:
        load = Load()
    planning = _Planning(table, usable, load)
    planning.move_off_unusable_servers()
    if balance:
        planning.return_cold_keys()
        planning.place_hot_keys()
        planning.balance_load()
    return [RowChange(n, row) for n, row in sorted(planning.changes_by_row.items())]


def apply_changes(shard: Shard, changes: list[RowChange]) -> Shard:
    """Return ``shard`` with those changes whose row has not changed its owner since."""
    rows = dict(shard.rows_by_number)
    for number, row in changes:
        present = rows.get(number, Row('', 0))
        same = present.owner == row.owner and present.epoch == row.epoch
        free = not present.owner and row.epoch == present.epoch + 1
        if shard_of(number) == shard.number and (same or free):
            rows[number] = row
    return Shard(shard.number, rows)


class _Planning:
    """State of one run of the planner: the changes so far, and the load that they lead to."""

    def __init__(self, table: Table, usable: frozenset[str], load: Load) -> None:
        self.changes_by_row: dict[int, Row] = {}
        self._usable = sorted(usable)
        self._row_by_number = table.rows_by_number()
        self._load = load
        self._unmeasured_rows: set[int] = set()
        total = sum(load.by_row.values())
        self._base_row_load = max(total, 1.0) * _BASE_LOAD_SHARE / HASH_ROWS_PER_TABLE
        self._load_by_server = dict.fromkeys(self._usable, 0.0)
        for number, row in self._row_by_number.items():
            server = row.next_owner or row.owner
            if server in self._load_by_server:
                self._load_by_server[server] += self._row_load(number)
        total_load = sum(self._row_load(number) for number in range(HASH_ROWS_PER_TABLE))
        hot = [n for n, row in self._row_by_number.items() if row.key]
        total_load += sum(self._row_load(number) for number in hot)
        self._mean_load = total_load / len(self._usable)

    def move_off_unusable_servers(self) -> None:
        """Move the rows of servers that may not own any, those with the highest load first."""
        for number in self._sort_by_load(self._all_numbers()):
            row = self._row(number)
            if number >= HASH_ROWS_PER_TABLE and not row.key:
                continue
            if (row.next_owner or row.owner) not in self._load_by_server:
                self._move(number, self._least_loaded())

    def return_cold_keys(self) -> None:
        """Return keys that are no longer hot to the owners of their hash rows."""
        for number, row in list(self._row_by_number.items()):
            if not row.key or row.next_owner or number in self.changes_by_row:
                continue
            if self._load.by_row.get(number, 0.0) > _COLD_KEY_SHARE * self._mean_load:
                continue
            hash_row = self._row(hash_row_of(row.key))
            if hash_row.next_owner or not hash_row.owner:
                continue
            # A hot row that moves to its own owner ends: its key returns to its hash row.
            self._move(number, hash_row.owner)

    def place_hot_keys(self) -> None:
        """Take hot keys out of their hash rows and move them to the least loaded servers."""
        keys = sorted(self._load.by_key.items(), key=lambda item: (-item[1], item[0]))
        placed = {row.key for row in self._row_by_number.values() if row.key}
        for key, rate in keys:
            if rate < HOT_KEY_SHARE * self._mean_load:
                return
            if key not in placed:
                self._place_hot_key(key, rate)

    def _place_hot_key(self, key: str, rate: float) -> None:
        hash_row_number = hash_row_of(key)
        row = self._row(hash_row_number)
        number = self._find_free_hot_row(shard_of(hash_row_number))
        target = self._least_loaded()
        if number is None or not row.owner or row.owner == target:
            return
        if self._load_by_server[target] + rate >= self._load_by_server.get(row.owner, 0.0):
            return
        self._load_by_server[row.owner] -= rate
        self._load_by_server[target] += rate
        # The load of the hash row without the key is known only after the next measurement.
        self._unmeasured_rows.add(hash_row_number)
        epoch = self._row(number).epoch + 1
        self._change(number, Row(row.owner, epoch, target, key))

    def balance_load(self) -> None:
        """Move few rows so that every server comes below the bound, and fill idle servers."""
        for server in sorted(self._usable, key=lambda name: -self._load_by_server[name]):
            self._relieve(server, MAX_LOAD_SHARE * self._mean_load)
        for server in self._usable:
            if self._load_by_server[server] < FILL_THRESHOLD_SHARE * self._mean_load:
                self._fill(server)

    def _relieve(self, server: str, max_load: float) -> None:
        """Move rows off a server, those with the highest load first, down to ``max_load``."""
        min_row_load = self._mean_load * len(self._usable) / MIN_ROW_LOAD_DIVISOR
        candidates = self._movable_rows(server)[:MAX_RELIEF_MOVE_COUNT]
        for number in candidates:
            row_load = self._row_load(number)
            excess = self._load_by_server[server] - max_load
            # Rows with hardly any load are not worth moving.
            if excess <= 0 or row_load < min_row_load:
                return
            target = self._least_loaded()
            gain = self._load_by_server[server] - self._load_by_server[target] - row_load
            if gain > MIN_GAIN_SHARE * self._mean_load:
                self._move(number, target)

    def _fill(self, server: str) -> None:
        """Move rows from the most loaded servers to a server with little load."""
        target_load = FILL_TARGET_SHARE * self._mean_load
        while self._load_by_server[server] < target_load:
            source = max(self._usable, key=lambda name: self._load_by_server[name])
            max_row_load = min(
                target_load - self._load_by_server[server],
                self._load_by_server[source] - self._load_by_server[server],
            )
            fitting = [
                n for n in self._movable_rows(source) if 0 < self._row_load(n) <= max_row_load
            ]
            if not fitting or self._load_by_server[source] <= target_load:
                return
            self._move(fitting[0], server)

    def _movable_rows(self, server: str) -> list[int]:
        """Return the rows of a server that this plan may move, highest load first."""
        movable = [
            number
            for number, row in self._row_by_number.items()
            if row.owner == server
            and not row.next_owner
            and number not in self.changes_by_row
            and number not in self._unmeasured_rows
        ]
        return self._sort_by_load(movable)

    def _sort_by_load(self, numbers: list[int]) -> list[int]:
        return sorted(numbers, key=lambda number: (-self._row_load(number), number))

    def _all_numbers(self) -> list[int]:
        hot = [number for number in self._row_by_number if number >= HASH_ROWS_PER_TABLE]
        return [*range(HASH_ROWS_PER_TABLE), *hot]

    def _row_load(self, number: int) -> float:
        base = self._base_row_load if number < HASH_ROWS_PER_TABLE else 0.0
        return base + self._load.by_row.get(number, 0.0)

    def _row(self, number: int) -> Row:
        return self._row_by_number.get(number, Row('', 0))

    def _least_loaded(self) -> str:
        return min(self._usable, key=lambda name: (self._load_by_server[name], name))

    def _move(self, number: int, target: str) -> None:
        """Mark a row as moving to ``target``, or assign it at once if it has no owner."""
        row = self._row(number)
        source = row.next_owner or row.owner
        if source in self._load_by_server:
            self._load_by_server[source] -= self._row_load(number)
        self._load_by_server[target] += self._row_load(number)
        if row.owner:
            self._change(number, row._replace(next_owner=target))
        else:
            self._change(number, Row(target, row.epoch + 1, '', row.key))

    def _change(self, number: int, row: Row) -> None:
        self.changes_by_row[number] = row
        self._row_by_number[number] = row

    def _find_free_hot_row(self, shard: int) -> int | None:
        first = HASH_ROWS_PER_TABLE + shard * HOT_ROWS_PER_SHARD
        for number in range(first, first + HOT_ROWS_PER_SHARD):
            row = self._row(number)
            if not row.key and not row.owner:
                return number
        return None
