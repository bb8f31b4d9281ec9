"""Plans which backend server owns which keys."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.keyspace._table import KEY_COUNT, Incarnation, KeyRange, KeyTable

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


__all__ = ['FENCE_STEP', 'KeyRates', 'OwnerCapacity', 'plan_table']

UNIFORM_LOAD_SHARE = 0.2
"""Part of the traffic that is taken to be spread evenly over all keys, so that keys which
were not asked for of late count for something."""

MAX_ANSWER_TIME_RATIO = 2.0
"""Ratio of two servers' expected answer times beyond which keys move between them."""

MIN_LOAD_SHARE = 0.15
"""Part of the mean load that each server keeps, so that its speed stays known."""

WAIT_FACTOR = 2.0
"""How much the wait grows with utilization: 1 for one slot and even work; more since work
comes in bursts and its time varies several times over."""

HIGH_UTILIZATION = 0.95
"""Utilization beyond which the expected answer time grows in a straight line."""

MAX_MOVE_COUNT = 4
"""Ranges that are moved at a time to even out load; moved keys are held up for as long as
their running work takes."""

BISECTION_STEP_COUNT = 12
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
        if utilization < HIGH_UTILIZATION:
            return self.mean_service_s * (
                1.0 + WAIT_FACTOR * utilization / (1.0 - utilization)
            )
        at_crowded = WAIT_FACTOR * HIGH_UTILIZATION / (1.0 - HIGH_UTILIZATION)
        beyond = WAIT_FACTOR * (utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION) ** 2
        return self.mean_service_s * (1.0 + at_crowded + beyond)


class KeyRates:
    """Requests a second by key, with sums over ranges in logarithmic time."""

    def __init__(self, rate_by_key: Mapping[int, float]) -> None:
        self.keys = sorted(rate_by_key)
        self._cumulative_rates = [0.0]
        for key in self.keys:
            self._cumulative_rates.append(self._cumulative_rates[-1] + rate_by_key[key])
        self.total = self._cumulative_rates[-1]
        self.uniform_rate_per_key = max(self.total * UNIFORM_LOAD_SHARE, 1e-6) / KEY_COUNT

    def sum_over(self, first: int, last: int) -> float:
        """Return the rate of the keys ``first`` to ``last``, inclusive."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        return (
            self._cumulative_rates[high]
            - self._cumulative_rates[low]
            + (last - first + 1) * self.uniform_rate_per_key
        )

    def find_cut(self, first: int, last: int, rate: float) -> int:
        """Return the key up to which the range has about ``rate``, from ``first`` on.

        The result is below ``last``, so that both parts hold a key.
        """
        low, high = first, last - 1
        while low < high:
            middle = (low + high) // 2
            if self.sum_over(first, middle) < rate:
                low = middle + 1
            else:
                high = middle
        return low


class _PlanDraft:
    """Rows and loads while they are being changed."""

    def __init__(
        self, table: KeyTable, owners: Sequence[OwnerCapacity], rates: KeyRates
    ) -> None:
        self.ranges = list(table.ranges)
        self.fence = table.fence
        self.rates = rates
        self.owner_by_incarnation = {owner.incarnation: owner for owner in owners}
        self.load_by_incarnation = dict.fromkeys(self.owner_by_incarnation, 0.0)
        for key_range in self.ranges:
            if key_range.owner in self.load_by_incarnation:
                self.load_by_incarnation[key_range.owner] += rates.sum_over(
                    key_range.first, key_range.last
                )

    def estimate_answer_s(self, incarnation: Incarnation, extra: float = 0.0) -> float:
        owner = self.owner_by_incarnation[incarnation]
        return owner.estimate_answer_s(max(0.0, self.load_by_incarnation[incarnation] + extra))

    def is_highly_utilized(self, incarnation: Incarnation) -> bool:
        owner = self.owner_by_incarnation[incarnation]
        return (
            self.load_by_incarnation[incarnation] * owner.mean_service_s
            > HIGH_UTILIZATION * owner.slots
        )

    def find_fastest(self, extra: float) -> Incarnation | None:
        """Return who answers soonest when it has to bear ``extra`` more."""
        owners = self.owner_by_incarnation.values()
        takers = [
            owner.incarnation
            for owner in owners
            if owner.accepts_keys and owner.has_settled_figures
        ]
        takers = takers or [owner.incarnation for owner in owners if owner.accepts_keys]
        takers = takers or list(self.owner_by_incarnation)
        return min(
            takers,
            key=lambda incarnation: self.estimate_answer_s(incarnation, extra),
            default=None,
        )

    def assign(self, key_range: KeyRange, incarnation: Incarnation) -> None:
        """Replace ``row`` by one that ``life`` is to own."""
        self.fence += FENCE_STEP
        former = dict.fromkeys((*key_range.previous_owners, key_range.owner))
        previous = tuple(
            former_owner for former_owner in former if former_owner != incarnation
        )
        place = self.ranges.index(key_range)
        self.ranges[place] = KeyRange(
            key_range.first, key_range.last, incarnation, self.fence, False, previous
        )
        rate = self.rates.sum_over(key_range.first, key_range.last)
        if key_range.owner in self.load_by_incarnation:
            self.load_by_incarnation[key_range.owner] -= rate
        self.load_by_incarnation[incarnation] += rate

    def split(self, key_range: KeyRange, key: int) -> tuple[KeyRange, KeyRange]:
        """Cut ``row`` behind ``key``; both parts keep its owner and fence."""
        place = self.ranges.index(key_range)
        parts = key_range._replace(last=key), key_range._replace(first=key + 1)
        self.ranges[place : place + 1] = parts
        return parts


def plan_table(
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
        return _build_first_table(table, owners)
    draft = _PlanDraft(table, owners, rates)
    _assign_orphans(draft)
    _fill_idle_servers(draft)
    _relieve_slow_servers(draft)
    if draft.fence == table.fence:
        return table
    return KeyTable(_merge_neighbours(draft.ranges), draft.fence, table.epoch)


def _build_first_table(table: KeyTable, owners: Sequence[OwnerCapacity]) -> KeyTable:
    incarnations = sorted(owner.incarnation for owner in owners)
    bounds = [
        KEY_COUNT * number // len(incarnations) for number in range(len(incarnations) + 1)
    ]
    ranges = [
        KeyRange(first, end - 1, incarnation, table.fence + FENCE_STEP * (1 + number), False)
        for number, (incarnation, first, end) in enumerate(
            zip(incarnations, bounds[:-1], bounds[1:], strict=True)
        )
    ]
    return KeyTable(ranges, table.fence + FENCE_STEP * len(incarnations), table.epoch)


def _assign_orphans(draft: _PlanDraft) -> None:
    """Give the rows of owners that have gone to the least used ones, in even pieces."""
    orphans = [
        key_range
        for key_range in draft.ranges
        if key_range.owner not in draft.owner_by_incarnation
    ]
    if not orphans:
        return
    total = sum(draft.load_by_incarnation.values())
    total += sum(
        draft.rates.sum_over(key_range.first, key_range.last) for key_range in orphans
    )
    piece = total / max(1, len(draft.owner_by_incarnation)) / 3
    for key_range in orphans:
        rest = key_range
        while (
            draft.rates.sum_over(rest.first, rest.last) > 1.5 * piece
            and rest.first < rest.last
        ):
            cut = draft.rates.find_cut(rest.first, rest.last, piece)
            part, rest = draft.split(rest, cut)
            _assign_to_fastest(draft, part)
        _assign_to_fastest(draft, rest)


def _assign_to_fastest(draft: _PlanDraft, key_range: KeyRange) -> None:
    incarnation = draft.find_fastest(draft.rates.sum_over(key_range.first, key_range.last))
    if incarnation is not None:
        draft.assign(key_range, incarnation)


def _fill_idle_servers(draft: _PlanDraft) -> None:
    """Give servers that own nothing a part of the slowest server's keys."""
    owning = {key_range.owner for key_range in draft.ranges}
    mean = sum(draft.load_by_incarnation.values()) / len(draft.load_by_incarnation)
    for incarnation, owner in draft.owner_by_incarnation.items():
        if incarnation in owning or not owner.accepts_keys:
            continue
        slowest = max(draft.load_by_incarnation, key=draft.estimate_answer_s)
        if slowest != incarnation:
            _move_rate(
                draft, slowest, incarnation, min(mean, draft.load_by_incarnation[slowest] / 2)
            )


def _relieve_slow_servers(draft: _PlanDraft) -> None:
    """Move keys from the servers that answer slowest to those that answer soonest.

    Answers hot keys, slowed servers and servers of unequal speed: at low load the faster
    servers own more than their even part, at high load the waits are evened out.
    """
    least = (
        MIN_LOAD_SHARE
        * sum(draft.load_by_incarnation.values())
        / len(draft.load_by_incarnation)
    )
    for _ in range(MAX_MOVE_COUNT):
        incarnations = [
            incarnation
            for incarnation, load in draft.load_by_incarnation.items()
            if load > 1.5 * least
            and (
                draft.owner_by_incarnation[incarnation].has_settled_figures
                or draft.is_highly_utilized(incarnation)
            )
        ]
        if not incarnations:
            return
        slowest = max(incarnations, key=draft.estimate_answer_s)
        if not _relieve_server(draft, slowest, least):
            return


def _relieve_server(draft: _PlanDraft, source: Incarnation, least: float) -> bool:
    live = [
        key_range for key_range in draft.ranges if key_range.owner == source and key_range.live
    ]
    if not live:
        return False
    rates = draft.rates
    largest = max(live, key=lambda key_range: rates.sum_over(key_range.first, key_range.last))
    alone = rates.sum_over(largest.first, largest.last)
    if largest.first == largest.last and len(live) == 1:
        # The only key is more than its owner bears: the fastest one is to have it.
        target = draft.find_fastest(alone)
        if target is None or target == source:
            return False
        if draft.estimate_answer_s(source) < MAX_ANSWER_TIME_RATIO * draft.estimate_answer_s(
            target, alone
        ):
            return False
        draft.assign(largest, target)
        return True
    target = draft.find_fastest(0.0)
    if target is None or target == source:
        return False
    if draft.estimate_answer_s(source) < MAX_ANSWER_TIME_RATIO * draft.estimate_answer_s(
        target
    ):
        return False
    return _move_rate(
        draft, source, target, _find_equalizing_rate(draft, source, target, least)
    )


def _find_equalizing_rate(
    draft: _PlanDraft, source: Incarnation, target: Incarnation, least: float
) -> float:
    """Return the rate whose move makes both servers answer equally soon."""
    low, high = 0.0, max(0.0, draft.load_by_incarnation[source] - least)
    for _ in range(BISECTION_STEP_COUNT):
        middle = (low + high) / 2
        if draft.estimate_answer_s(source, -middle) > draft.estimate_answer_s(target, middle):
            low = middle
        else:
            high = middle
    return low


def _move_rate(
    draft: _PlanDraft, source: Incarnation, target: Incarnation, rate: float
) -> bool:
    """Move about ``rate`` of ``source``'s keys to ``target``; false if none can move.

    The range is taken off the live row that fits best: a whole row that is a little
    smaller, or the side of a row with fewer busy keys on it.
    """
    rates = draft.rates
    live = [
        key_range for key_range in draft.ranges if key_range.owner == source and key_range.live
    ]
    if not live:
        return False
    whole = [
        key_range
        for key_range in live
        if 0.6 * rate <= rates.sum_over(key_range.first, key_range.last) <= 1.2 * rate
    ]
    if whole and len(live) > 1:
        draft.assign(whole[0], target)
        return True
    key_range = max(
        live, key=lambda key_range: rates.sum_over(key_range.first, key_range.last)
    )
    if key_range.first == key_range.last:
        # One key is more than its owner bears; the others can still leave.
        smaller = [other for other in live if other is not key_range]
        if not smaller:
            return False
        draft.assign(
            max(
                smaller, key=lambda key_range: rates.sum_over(key_range.first, key_range.last)
            ),
            target,
        )
        return True
    low_cut = rates.find_cut(key_range.first, key_range.last, rate)
    moved = rates.sum_over(key_range.first, low_cut)
    if moved <= 1.5 * rate:
        part, _ = draft.split(key_range, low_cut)
    else:
        # A busy key begins the range: take what is above it, or below it, instead.
        below = (
            rates.sum_over(key_range.first, low_cut - 1) if low_cut > key_range.first else 0.0
        )
        if below >= 0.3 * rate:
            part, _ = draft.split(key_range, low_cut - 1)
        else:
            high_cut = rates.find_cut(
                key_range.first,
                key_range.last,
                rates.sum_over(key_range.first, key_range.last) - rate,
            )
            _, part = draft.split(key_range, high_cut)
    draft.assign(part, target)
    return True


def _merge_neighbours(ranges: list[KeyRange]) -> list[KeyRange]:
    """Join neighbours that are one grant."""
    merged: list[KeyRange] = []
    for key_range in ranges:
        if merged and merged[-1][2:] == key_range[2:]:
            merged[-1] = merged[-1]._replace(last=key_range.last)
        else:
            merged.append(key_range)
    return merged
