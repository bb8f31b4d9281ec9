"""Plans which backend server owns which keys."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.keyspace._table import KEY_COUNT, Incarnation, KeyRange, KeyTable

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


__all__ = ['FENCE_STEP', 'KeyRates', 'OwnerCapacity', 'plan']

SPREAD_SHARE = 0.2
"""Part of the traffic that is taken to be spread evenly over all keys, so that keys which
were not asked for of late count for something."""

IMBALANCE = 2.0
"""Ratio of two servers' expected answer times beyond which keys move between them."""

LEAST_SHARE = 0.15
"""Part of the mean load that each server keeps, so that its speed stays known."""

WAIT_WEIGHT = 2.0
"""How much the wait grows with utilization: 1 for one slot and even work; more since work
comes in bursts and its time varies several times over."""

CROWDED = 0.95
"""Utilization beyond which the expected answer time grows in a straight line."""

MAX_MOVES = 4
"""Ranges that are moved at a time to even out load; moved keys are held up for as long as
their running work takes."""

BISECTIONS = 12
"""Steps in which an amount to move is found; the rest is below one part in 4,000."""

FENCE_STEP = 2
"""Tokens for each move: one to take a range back, and a higher one for its next owner."""


class OwnerCapacity(NamedTuple):
    """A backend server that may own keys.

    :param slots: requests that it runs at a time
    :param service_s: mean time of a request that need not wait, in seconds
    :param takes_more: whether it may get further keys
    :param settled: whether its figures tell of the keys that it has now
    """

    incarnation: Incarnation
    slots: float
    mean_service_s: float
    accepts_keys: bool
    has_settled_figures: bool = True

    def estimate_answer_s(self, rate: float) -> float:
        """Return the expected answer time at ``rate`` requests a second, in seconds.

        It grows with the utilization as the wait in a queue does, without a bound near 1.
        """
        utilization = rate * self.mean_service_s / self.slots
        if utilization < CROWDED:
            return self.mean_service_s * (
                1.0 + WAIT_WEIGHT * utilization / (1.0 - utilization)
            )
        at_crowded = WAIT_WEIGHT * CROWDED / (1.0 - CROWDED)
        beyond = WAIT_WEIGHT * (utilization - CROWDED) / (1.0 - CROWDED) ** 2
        return self.mean_service_s * (1.0 + at_crowded + beyond)


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
        self.rows = list(table.ranges)
        self.fence = table.fence
        self.rates = rates
        self.owner_by_life = {owner.incarnation: owner for owner in owners}
        self.load_by_life = dict.fromkeys(self.owner_by_life, 0.0)
        for row in self.rows:
            if row.owner in self.load_by_life:
                self.load_by_life[row.owner] += rates.over(row.first, row.last)

    def answer_s(self, life: Incarnation, extra: float = 0.0) -> float:
        owner = self.owner_by_life[life]
        return owner.estimate_answer_s(max(0.0, self.load_by_life[life] + extra))

    def is_crowded(self, life: Incarnation) -> bool:
        owner = self.owner_by_life[life]
        return self.load_by_life[life] * owner.mean_service_s > CROWDED * owner.slots

    def quickest(self, extra: float) -> Incarnation | None:
        """Return who answers soonest when it has to bear ``extra`` more."""
        owners = self.owner_by_life.values()
        takers = [
            owner.incarnation
            for owner in owners
            if owner.accepts_keys and owner.has_settled_figures
        ]
        takers = takers or [owner.incarnation for owner in owners if owner.accepts_keys]
        takers = takers or list(self.owner_by_life)
        return min(takers, key=lambda life: self.answer_s(life, extra), default=None)

    def give(self, row: KeyRange, life: Incarnation) -> None:
        """Replace ``row`` by one that ``life`` is to own."""
        self.fence += FENCE_STEP
        former = dict.fromkeys((*row.previous_owners, row.owner))
        previous = tuple(former_owner for former_owner in former if former_owner != life)
        place = self.rows.index(row)
        self.rows[place] = KeyRange(row.first, row.last, life, self.fence, False, previous)
        rate = self.rates.over(row.first, row.last)
        if row.owner in self.load_by_life:
            self.load_by_life[row.owner] -= rate
        self.load_by_life[life] += rate

    def split(self, row: KeyRange, key: int) -> tuple[KeyRange, KeyRange]:
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
    if not table.ranges:
        return _first_table(table, owners)
    working = _Plan(table, owners, rates)
    _place_orphans(working)
    _fill_empty(working)
    _relieve(working)
    if working.fence == table.fence:
        return table
    return KeyTable(_merged(working.rows), working.fence, table.epoch)


def _first_table(table: KeyTable, owners: Sequence[OwnerCapacity]) -> KeyTable:
    lives = sorted(owner.incarnation for owner in owners)
    bounds = [KEY_COUNT * number // len(lives) for number in range(len(lives) + 1)]
    rows = [
        KeyRange(first, end - 1, life, table.fence + FENCE_STEP * (1 + number), False)
        for number, (life, first, end) in enumerate(
            zip(lives, bounds[:-1], bounds[1:], strict=True)
        )
    ]
    return KeyTable(rows, table.fence + FENCE_STEP * len(lives), table.epoch)


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
            _give_to_quickest(working, part)
        _give_to_quickest(working, rest)


def _give_to_quickest(working: _Plan, row: KeyRange) -> None:
    life = working.quickest(working.rates.over(row.first, row.last))
    if life is not None:
        working.give(row, life)


def _fill_empty(working: _Plan) -> None:
    """Give servers that own nothing a part of the slowest server's keys."""
    owning = {row.owner for row in working.rows}
    mean = sum(working.load_by_life.values()) / len(working.load_by_life)
    for life, owner in working.owner_by_life.items():
        if life in owning or not owner.accepts_keys:
            continue
        slowest = max(working.load_by_life, key=working.answer_s)
        if slowest != life:
            _shift(working, slowest, life, min(mean, working.load_by_life[slowest] / 2))


def _relieve(working: _Plan) -> None:
    """Move keys from the servers that answer slowest to those that answer soonest.

    Answers hot keys, slowed servers and servers of unequal speed: at low load the faster
    servers own more than their even part, at high load the waits are evened out.
    """
    least = LEAST_SHARE * sum(working.load_by_life.values()) / len(working.load_by_life)
    for _ in range(MAX_MOVES):
        lives = [
            life
            for life, load in working.load_by_life.items()
            if load > 1.5 * least
            and (working.owner_by_life[life].has_settled_figures or working.is_crowded(life))
        ]
        if not lives:
            return
        slowest = max(lives, key=working.answer_s)
        if not _move_off(working, slowest, least):
            return


def _move_off(working: _Plan, source: Incarnation, least: float) -> bool:
    live = [row for row in working.rows if row.owner == source and row.live]
    if not live:
        return False
    rates = working.rates
    largest = max(live, key=lambda row: rates.over(row.first, row.last))
    alone = rates.over(largest.first, largest.last)
    if largest.first == largest.last and len(live) == 1:
        # The only key is more than its owner bears: the fastest one is to have it.
        target = working.quickest(alone)
        if target is None or target == source:
            return False
        if working.answer_s(source) < IMBALANCE * working.answer_s(target, alone):
            return False
        working.give(largest, target)
        return True
    target = working.quickest(0.0)
    if target is None or target == source:
        return False
    if working.answer_s(source) < IMBALANCE * working.answer_s(target):
        return False
    return _shift(working, source, target, _even_rate(working, source, target, least))


def _even_rate(
    working: _Plan, source: Incarnation, target: Incarnation, least: float
) -> float:
    """Return the rate whose move makes both servers answer equally soon."""
    low, high = 0.0, max(0.0, working.load_by_life[source] - least)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if working.answer_s(source, -middle) > working.answer_s(target, middle):
            low = middle
        else:
            high = middle
    return low


def _shift(working: _Plan, source: Incarnation, target: Incarnation, rate: float) -> bool:
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


def _merged(rows: list[KeyRange]) -> list[KeyRange]:
    """Join neighbours that are one grant."""
    merged: list[KeyRange] = []
    for row in rows:
        if merged and merged[-1][2:] == row[2:]:
            merged[-1] = merged[-1]._replace(last=row.last)
        else:
            merged.append(row)
    return merged
