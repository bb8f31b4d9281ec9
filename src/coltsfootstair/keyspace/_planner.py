"""Plans which backend server owns which keys."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.keyspace._table import KEY_COUNT, KeyRow, KeyTable, Life

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


__all__ = ['FENCE_STEP', 'KeyRates', 'OwnerCapacity', 'plan']

SPREAD_SHARE = 0.2
"""Part of the traffic that is taken to be spread evenly over all keys, so that keys which
were not asked for of late count for something."""

IMBALANCE = 1.3
"""Ratio of the highest to the mean utilization beyond which keys move."""

BUSY = 0.5
"""Utilization below which a backend server needs no relief, whatever the others have."""

MAX_MOVES = 4
"""Ranges that are moved at a time to even out load; moved keys are held up for as long as
their running work takes."""

MIN_GAIN = 0.05
"""Utilization that a move must take off the busiest server."""


FENCE_STEP = 2
"""Tokens for each move: one to take a range back, and a higher one for its next owner."""


class OwnerCapacity(NamedTuple):
    """A backend server that may own keys.

    :param per_s: requests a second that it can serve
    :param takes_more: whether it may get further keys
    """

    life: Life
    per_s: float
    takes_more: bool


class KeyRates:
    """Requests a second by key, with sums over ranges in logarithmic time."""

    def __init__(self, rate_by_key: Mapping[int, float]) -> None:
        self.keys = sorted(rate_by_key)
        self._sums = [0.0]
        for key in self.keys:
            self._sums.append(self._sums[-1] + rate_by_key[key])
        self.total = self._sums[-1]
        self.spread = max(self.total * SPREAD_SHARE, 1e-6) / KEY_COUNT

    def over(self, first: int, last: int) -> float:
        """Return the rate of the keys ``first`` to ``last``, inclusive."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        return self._sums[high] - self._sums[low] + (last - first + 1) * self.spread

    def cut(self, first: int, last: int, rate: float) -> int:
        """Return the key up to which the range has about ``rate``, from ``first`` on.

        The result is below ``last``, so that both parts hold a key.
        """
        low, high = first, last - 1
        while low < high:
            middle = (low + high) // 2
            if self.over(first, middle) < rate:
                low = middle + 1
            else:
                high = middle
        return low


class _Plan:
    """Rows and loads while they are being changed."""

    def __init__(
        self, table: KeyTable, owners: Sequence[OwnerCapacity], rates: KeyRates
    ) -> None:
        self.rows = list(table.rows)
        self.fence = table.fence
        self.rates = rates
        self.owner_by_life = {owner.life: owner for owner in owners}
        self.load_by_life = dict.fromkeys(self.owner_by_life, 0.0)
        for row in self.rows:
            if row.owner in self.load_by_life:
                self.load_by_life[row.owner] += rates.over(row.first, row.last)

    def utilization(self, life: Life) -> float:
        return self.load_by_life[life] / self.owner_by_life[life].per_s

    def least_used(self) -> Life | None:
        takers = [owner.life for owner in self.owner_by_life.values() if owner.takes_more]
        takers = takers or list(self.owner_by_life)
        return min(takers, key=self.utilization, default=None)

    def give(self, row: KeyRow, life: Life) -> None:
        """Replace ``row`` by one that ``life`` is to own."""
        self.fence += FENCE_STEP
        former = dict.fromkeys((*row.previous, row.owner))
        previous = tuple(former_owner for former_owner in former if former_owner != life)
        place = self.rows.index(row)
        self.rows[place] = KeyRow(row.first, row.last, life, self.fence, False, previous)
        rate = self.rates.over(row.first, row.last)
        if row.owner in self.load_by_life:
            self.load_by_life[row.owner] -= rate
        self.load_by_life[life] += rate

    def split(self, row: KeyRow, key: int) -> tuple[KeyRow, KeyRow]:
        """Cut ``row`` behind ``key``; both parts keep its owner and fence."""
        place = self.rows.index(row)
        parts = row._replace(last=key), row._replace(first=key + 1)
        self.rows[place : place + 1] = parts
        return parts


def plan(
    table: KeyTable, owners: Sequence[OwnerCapacity], rate_by_key: Mapping[int, float]
) -> KeyTable:
    """Return the table to aim for; the same rows where nothing is to change.

    Rows whose owner is not among ``owners`` go to others. Servers that own nothing get a
    part. Busy servers are relieved, a few ranges at a time. A row that is not live yet
    stays as it is while its owner is there.
    """
    if not owners:
        return table
    rates = KeyRates(rate_by_key)
    if not table.rows:
        return _first_table(table, owners)
    working = _Plan(table, owners, rates)
    _place_orphans(working)
    _fill_empty(working)
    _relieve(working)
    if working.fence == table.fence:
        return table
    return KeyTable(_merged(working.rows), working.fence)


def _first_table(table: KeyTable, owners: Sequence[OwnerCapacity]) -> KeyTable:
    lives = sorted(owner.life for owner in owners)
    bounds = [KEY_COUNT * number // len(lives) for number in range(len(lives) + 1)]
    rows = [
        KeyRow(first, end - 1, life, table.fence + FENCE_STEP * (1 + number), False)
        for number, (life, first, end) in enumerate(
            zip(lives, bounds[:-1], bounds[1:], strict=True)
        )
    ]
    return KeyTable(rows, table.fence + FENCE_STEP * len(lives))


def _place_orphans(working: _Plan) -> None:
    """Give the rows of owners that have gone to the least used ones, in even pieces."""
    orphans = [row for row in working.rows if row.owner not in working.owner_by_life]
    if not orphans:
        return
    total = sum(working.load_by_life.values())
    total += sum(working.rates.over(row.first, row.last) for row in orphans)
    piece = total / max(1, len(working.owner_by_life)) / 3
    for row in orphans:
        rest = row
        while (
            working.rates.over(rest.first, rest.last) > 1.5 * piece and rest.first < rest.last
        ):
            cut = working.rates.cut(rest.first, rest.last, piece)
            part, rest = working.split(rest, cut)
            _give_to_least(working, part)
        _give_to_least(working, rest)


def _give_to_least(working: _Plan, row: KeyRow) -> None:
    life = working.least_used()
    if life is not None:
        working.give(row, life)


def _fill_empty(working: _Plan) -> None:
    """Give servers that own nothing a part of the busiest server's keys."""
    owning = {row.owner for row in working.rows}
    for life, owner in working.owner_by_life.items():
        if life in owning or not owner.takes_more:
            continue
        busiest = max(working.load_by_life, key=working.utilization)
        if busiest != life:
            _shift(working, busiest, life, working.load_by_life[busiest] / 2)


def _relieve(working: _Plan) -> None:
    for _ in range(MAX_MOVES):
        lives = list(working.load_by_life)
        busiest = max(lives, key=working.utilization)
        idlest = working.least_used()
        if idlest is None or idlest == busiest:
            return
        high, low = working.utilization(busiest), working.utilization(idlest)
        total_per_s = sum(owner.per_s for owner in working.owner_by_life.values())
        mean = sum(working.load_by_life.values()) / total_per_s
        if high < BUSY or high < IMBALANCE * mean or high - low < 2 * MIN_GAIN:
            return
        speed = working.owner_by_life[busiest].per_s, working.owner_by_life[idlest].per_s
        rate = (high - low) * speed[0] * speed[1] / (speed[0] + speed[1])
        rate = min(rate, (high - mean) * speed[0])
        if not _shift(working, busiest, idlest, rate):
            return


def _shift(working: _Plan, source: Life, target: Life, rate: float) -> bool:
    """Move about ``rate`` of ``source``'s keys to ``target``; false if none can move.

    The range is taken off the live row that fits best: a whole row that is a little
    smaller, or the side of a row with fewer busy keys on it.
    """
    rates = working.rates
    live = [row for row in working.rows if row.owner == source and row.live]
    if not live:
        return False
    whole = [
        row for row in live if 0.6 * rate <= rates.over(row.first, row.last) <= 1.2 * rate
    ]
    if whole and len(live) > 1:
        working.give(whole[0], target)
        return True
    row = max(live, key=lambda row: rates.over(row.first, row.last))
    if row.first == row.last:
        # One key is more than its owner bears; the others can still leave.
        smaller = [other for other in live if other is not row]
        if not smaller:
            return False
        working.give(max(smaller, key=lambda row: rates.over(row.first, row.last)), target)
        return True
    low_cut = rates.cut(row.first, row.last, rate)
    moved = rates.over(row.first, low_cut)
    if moved <= 1.5 * rate:
        part, _ = working.split(row, low_cut)
    else:
        # A busy key begins the range: take what is above it, or below it, instead.
        below = rates.over(row.first, low_cut - 1) if low_cut > row.first else 0.0
        if below >= 0.3 * rate:
            part, _ = working.split(row, low_cut - 1)
        else:
            high_cut = rates.cut(row.first, row.last, rates.over(row.first, row.last) - rate)
            _, part = working.split(row, high_cut)
    working.give(part, target)
    return True


def _merged(rows: list[KeyRow]) -> list[KeyRow]:
    """Join neighbours that are one grant."""
    merged: list[KeyRow] = []
    for row in rows:
        if merged and merged[-1][2:] == row[2:]:
            merged[-1] = merged[-1]._replace(last=row.last)
        else:
            merged.append(row)
    return merged
