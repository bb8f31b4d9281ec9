"""Plans which backend server owns which key ranges."""

from __future__ import annotations

import bisect
import math
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.keyspace._table import KEY_COUNT, Incarnation, KeyRange, KeyTable

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


__all__ = ['FENCE_STEP', 'KeyRates', 'OwnerCandidate', 'plan_table']

UNIFORM_RATE_SHARE = 0.2
"""Share of the total request rate that is added evenly over all keys, so that keys without
recent requests have a rate too."""

MAX_LATENCY_RATIO = 2.0
"""Ratio of the expected latencies of two servers from which keys move between them."""

RATE_ERROR_COUNT = 1.0
"""Number of standard errors by which the rate of the slower server is lowered, and that of the
faster one raised, before their latencies are compared. With hundreds of servers each has a few
requests a second, and some always have many of them by chance."""

MIN_RATE_SHARE = 0.15
"""Share of the mean request rate of the servers that each server keeps, so that its speed
remains known."""

WAIT_FACTOR = 2.0
"""Factor of the wait in the queue model: 1 for one slot, random arrivals and exponential
service times; higher because requests come in bursts and their service times differ several
times over."""

HIGH_UTILIZATION = 0.95
"""Utilization from which the expected latency grows linearly."""

MAX_MOVE_COUNT = 4
"""Most key ranges that one plan moves to balance load; requests for moved keys wait until the
requests that run on them have ended."""

BISECTION_STEP_COUNT = 12
"""Bisection steps to find the rate to move; the error is below one part in 4,000."""

FENCE_STEP = 2
"""Fencing tokens for each move: one for the release call, and a higher one for the grant to
the next owner."""


class OwnerCandidate(NamedTuple):
    """A backend server that may own keys.

    :param slots: number of requests that it works on at once
    :param mean_service_time_s: mean time of a request without its wait in the queue, in
        seconds
    :param accepts_keys: whether it may get further keys
    :param has_settled_figures: whether its figures reflect the keys that it owns now
    """

    incarnation: Incarnation
    slots: float
    mean_service_time_s: float
    accepts_keys: bool
    has_settled_figures: bool = True

    def estimate_latency_s(self, rate: float) -> float:
        """Return the expected latency at ``rate`` requests per second, in seconds.

        It grows with the utilization as the wait in a queue does, and linearly from
        ``HIGH_UTILIZATION``, so that it stays finite at and above a utilization of 1.
        """
        utilization = rate * self.mean_service_time_s / self.slots
        if utilization < HIGH_UTILIZATION:
            return self.mean_service_time_s * (
                1.0 + WAIT_FACTOR * utilization / (1.0 - utilization)
            )
        linear_start = WAIT_FACTOR * HIGH_UTILIZATION / (1.0 - HIGH_UTILIZATION)
        linear_growth = (
            WAIT_FACTOR * (utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION) ** 2
        )
        return self.mean_service_time_s * (1.0 + linear_start + linear_growth)


class KeyRates:
    """Requests per second by key, with sums over key ranges in logarithmic time.

    :param window_s: time over which the requests were counted, in seconds; infinite for rates
        that are known exactly
    """

    def __init__(self, rate_by_key: Mapping[int, float], window_s: float = math.inf) -> None:
        self.window_s = window_s
        self.keys = sorted(rate_by_key)
        self._cumulative_rates = [0.0]
        for key in self.keys:
            self._cumulative_rates.append(self._cumulative_rates[-1] + rate_by_key[key])
        self.total = self._cumulative_rates[-1]
        self.uniform_rate_per_key = max(self.total * UNIFORM_RATE_SHARE, 1e-6) / KEY_COUNT

    def compute_error(self, rate: float) -> float:
        """Return the standard error of ``rate``, as of a count of independent requests."""
        return math.sqrt(max(0.0, rate) / self.window_s)

    def sum_over(self, first: int, last: int) -> float:
        """Return the rate of the keys from ``first`` to ``last``, inclusive."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        return (
            self._cumulative_rates[high]
            - self._cumulative_rates[low]
            + (last - first + 1) * self.uniform_rate_per_key
        )

    def find_cut(self, first: int, last: int, rate: float) -> int:
        """Return the last key of a part of about ``rate`` that starts at ``first``.

        The result is below ``last``, so that both parts of the range have a key.
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
    """Key ranges and the request rates of their owners while a plan changes them."""

    def __init__(
        self, table: KeyTable, candidates: Sequence[OwnerCandidate], rates: KeyRates
    ) -> None:
        self.ranges = list(table.ranges)
        self.highest_fence = table.highest_fence
        self.rates = rates
        self.candidate_by_incarnation = {
            candidate.incarnation: candidate for candidate in candidates
        }
        self.rate_by_incarnation = dict.fromkeys(self.candidate_by_incarnation, 0.0)
        for key_range in self.ranges:
            if key_range.owner in self.rate_by_incarnation:
                self.rate_by_incarnation[key_range.owner] += rates.sum_over(
                    key_range.first, key_range.last
                )

    def estimate_latency_s(self, incarnation: Incarnation, extra_rate: float = 0.0) -> float:
        candidate = self.candidate_by_incarnation[incarnation]
        return candidate.estimate_latency_s(
            max(0.0, self.rate_by_incarnation[incarnation] + extra_rate)
        )

    def bound_latency_s(
        self, incarnation: Incarnation, error_count: float, extra_rate: float = 0.0
    ) -> float:
        """Return the expected latency at a rate ``error_count`` errors above its figure."""
        rate = self.rate_by_incarnation[incarnation]
        return self.estimate_latency_s(
            incarnation, extra_rate + error_count * self.rates.compute_error(rate)
        )

    def has_excess_latency(
        self, source: Incarnation, target: Incarnation, extra_rate: float = 0.0
    ) -> bool:
        """Whether ``source`` answers slowly enough, beyond chance, to move keys to ``target``.

        :param extra_rate: rate by which ``target`` would have more requests
        """
        return self.bound_latency_s(
            source, -RATE_ERROR_COUNT
        ) >= MAX_LATENCY_RATIO * self.bound_latency_s(target, RATE_ERROR_COUNT, extra_rate)

    def is_highly_utilized(self, incarnation: Incarnation) -> bool:
        candidate = self.candidate_by_incarnation[incarnation]
        return (
            self.rate_by_incarnation[incarnation] * candidate.mean_service_time_s
            > HIGH_UTILIZATION * candidate.slots
        )

    def find_fastest(self, extra_rate: float) -> Incarnation | None:
        """Return the server that would answer fastest with ``extra_rate`` more requests.

        Prefers servers that accept keys, and among them those with settled figures.
        """
        candidates = self.candidate_by_incarnation.values()
        preferred = [
            candidate.incarnation
            for candidate in candidates
            if candidate.accepts_keys and candidate.has_settled_figures
        ]
        preferred = preferred or [
            candidate.incarnation for candidate in candidates if candidate.accepts_keys
        ]
        preferred = preferred or list(self.candidate_by_incarnation)
        return min(
            preferred,
            key=lambda incarnation: self.estimate_latency_s(incarnation, extra_rate),
            default=None,
        )

    def assign(self, key_range: KeyRange, incarnation: Incarnation) -> None:
        """Make ``incarnation`` the owner of ``key_range``, with new fencing tokens."""
        self.highest_fence += FENCE_STEP
        past_and_present_owners = dict.fromkeys((*key_range.previous_owners, key_range.owner))
        previous_owners = tuple(
            owner for owner in past_and_present_owners if owner != incarnation
        )
        index = self.ranges.index(key_range)
        self.ranges[index] = KeyRange(
            key_range.first,
            key_range.last,
            incarnation,
            self.highest_fence,
            False,
            previous_owners,
        )
        rate = self.rates.sum_over(key_range.first, key_range.last)
        if key_range.owner in self.rate_by_incarnation:
            self.rate_by_incarnation[key_range.owner] -= rate
        self.rate_by_incarnation[incarnation] += rate

    def split(self, key_range: KeyRange, key: int) -> tuple[KeyRange, KeyRange]:
        """Split ``key_range`` after ``key``; both parts keep its owner and fencing token."""
        index = self.ranges.index(key_range)
        parts = key_range._replace(last=key), key_range._replace(first=key + 1)
        self.ranges[index : index + 1] = parts
        return parts


def plan_table(
    table: KeyTable, candidates: Sequence[OwnerCandidate], rates: KeyRates
) -> KeyTable:
    """Return the planned table, or ``table`` itself if nothing needs to change.

    Key ranges whose owner is not among ``candidates`` go to other servers. Servers that own no
    keys get some. Slow servers lose some keys, a few ranges at a time. A key range that is not
    granted yet stays unchanged while its owner is among ``candidates``.

    :param candidates: servers that may own keys; without any, nothing changes
    :param rates: requests per second of the keys that have requests
    """
    if not candidates:
        return table
    if not table.ranges:
        return _build_first_table(table, candidates)
    draft = _PlanDraft(table, candidates, rates)
    _reassign_ranges_of_removed_owners(draft)
    _assign_keys_to_servers_without_any(draft)
    _relieve_slow_servers(draft)
    if draft.highest_fence == table.highest_fence:
        return table
    return KeyTable(_merge_neighbours(draft.ranges), draft.highest_fence, table.epoch)


def _build_first_table(table: KeyTable, candidates: Sequence[OwnerCandidate]) -> KeyTable:
    incarnations = sorted(candidate.incarnation for candidate in candidates)
    first_keys = [
        KEY_COUNT * index // len(incarnations) for index in range(len(incarnations) + 1)
    ]
    ranges = [
        KeyRange(
            first, end - 1, incarnation, table.highest_fence + FENCE_STEP * (1 + index), False
        )
        for index, (incarnation, first, end) in enumerate(
            zip(incarnations, first_keys[:-1], first_keys[1:], strict=True)
        )
    ]
    return KeyTable(ranges, table.highest_fence + FENCE_STEP * len(incarnations), table.epoch)


def _reassign_ranges_of_removed_owners(draft: _PlanDraft) -> None:
    """Assign the key ranges of owners that are no candidates now to the fastest servers.

    They are split into pieces of about equal rate.
    """
    ownerless_ranges = [
        key_range
        for key_range in draft.ranges
        if key_range.owner not in draft.candidate_by_incarnation
    ]
    if not ownerless_ranges:
        return
    total = sum(draft.rate_by_incarnation.values())
    total += sum(
        draft.rates.sum_over(key_range.first, key_range.last) for key_range in ownerless_ranges
    )
    # A third of the mean rate of a candidate; a range is split above 1.5 times this rate.
    piece_rate = total / max(1, len(draft.candidate_by_incarnation)) / 3
    for key_range in ownerless_ranges:
        remainder = key_range
        while (
            draft.rates.sum_over(remainder.first, remainder.last) > 1.5 * piece_rate
            and remainder.first < remainder.last
        ):
            cut = draft.rates.find_cut(remainder.first, remainder.last, piece_rate)
            part, remainder = draft.split(remainder, cut)
            _assign_to_fastest(draft, part)
        _assign_to_fastest(draft, remainder)


def _assign_to_fastest(draft: _PlanDraft, key_range: KeyRange) -> None:
    incarnation = draft.find_fastest(draft.rates.sum_over(key_range.first, key_range.last))
    if incarnation is not None:
        draft.assign(key_range, incarnation)


def _assign_keys_to_servers_without_any(draft: _PlanDraft) -> None:
    """Assign a part of the slowest server's keys to each server that owns none."""
    owners = {key_range.owner for key_range in draft.ranges}
    mean_rate = sum(draft.rate_by_incarnation.values()) / len(draft.rate_by_incarnation)
    for incarnation, candidate in draft.candidate_by_incarnation.items():
        if incarnation in owners or not candidate.accepts_keys:
            continue
        slowest = max(draft.rate_by_incarnation, key=draft.estimate_latency_s)
        if slowest != incarnation:
            _move_rate(
                draft,
                slowest,
                incarnation,
                min(mean_rate, draft.rate_by_incarnation[slowest] / 2),
            )


def _relieve_slow_servers(draft: _PlanDraft) -> None:
    """Move keys from the servers that answer slowest to those that answer fastest.

    It handles hot keys, slowed servers and servers of unequal speed: at low load the faster
    servers own more than an equal part, at high load the waits become equal. Differences
    within the error of the counted rates move nothing: a move delays the requests of its keys.
    """
    min_rate = (
        MIN_RATE_SHARE
        * sum(draft.rate_by_incarnation.values())
        / len(draft.rate_by_incarnation)
    )
    for _ in range(MAX_MOVE_COUNT):
        incarnations = [
            incarnation
            for incarnation, rate in draft.rate_by_incarnation.items()
            # Leaves out servers whose rate is near the minimum that each server keeps.
            if rate > 1.5 * min_rate
            and (
                draft.candidate_by_incarnation[incarnation].has_settled_figures
                or draft.is_highly_utilized(incarnation)
            )
        ]
        if not incarnations:
            return
        slowest = max(
            incarnations,
            key=lambda incarnation: draft.bound_latency_s(incarnation, -RATE_ERROR_COUNT),
        )
        if not _relieve_server(draft, slowest, min_rate):
            return


def _relieve_server(draft: _PlanDraft, source: Incarnation, min_rate: float) -> bool:
    """Move keys from ``source`` if that shortens its latency enough; return whether any moved.

    :param min_rate: request rate that ``source`` keeps
    """
    granted_ranges = [
        key_range
        for key_range in draft.ranges
        if key_range.owner == source and key_range.is_granted
    ]
    if not granted_ranges:
        return False
    rates = draft.rates
    busiest = max(
        granted_ranges, key=lambda key_range: rates.sum_over(key_range.first, key_range.last)
    )
    busiest_rate = rates.sum_over(busiest.first, busiest.last)
    if busiest.first == busiest.last and len(granted_ranges) == 1:
        # The only granted range is a single key, so it cannot be split: assign it to the
        # fastest server.
        target = draft.find_fastest(busiest_rate)
        if target is None or target == source:
            return False
        if not draft.has_excess_latency(source, target, busiest_rate):
            return False
        draft.assign(busiest, target)
        return True
    target = draft.find_fastest(0.0)
    if target is None or target == source:
        return False
    if not draft.has_excess_latency(source, target):
        return False
    return _move_rate(
        draft, source, target, _find_equalizing_rate(draft, source, target, min_rate)
    )


def _find_equalizing_rate(
    draft: _PlanDraft, source: Incarnation, target: Incarnation, min_rate: float
) -> float:
    """Return the rate whose move makes the expected latencies of both servers equal."""
    low, high = 0.0, max(0.0, draft.rate_by_incarnation[source] - min_rate)
    for _ in range(BISECTION_STEP_COUNT):
        middle = (low + high) / 2
        if draft.estimate_latency_s(source, -middle) > draft.estimate_latency_s(
            target, middle
        ):
            low = middle
        else:
            high = middle
    return low


def _move_rate(
    draft: _PlanDraft, source: Incarnation, target: Incarnation, rate: float
) -> bool:
    """Move keys of about ``rate`` from ``source`` to ``target``; return whether any moved.

    Moves a whole granted key range of about that rate, or else a part of the granted
    range with the highest rate, from the side where the part comes closer to ``rate``.
    """
    rates = draft.rates
    granted_ranges = [
        key_range
        for key_range in draft.ranges
        if key_range.owner == source and key_range.is_granted
    ]
    if not granted_ranges:
        return False
    # A whole range may be moved if its rate is from 40 % below to 20 % above ``rate``.
    fitting = [
        key_range
        for key_range in granted_ranges
        if 0.6 * rate <= rates.sum_over(key_range.first, key_range.last) <= 1.2 * rate
    ]
    if fitting and len(granted_ranges) > 1:
        draft.assign(fitting[0], target)
        return True
    key_range = max(
        granted_ranges, key=lambda key_range: rates.sum_over(key_range.first, key_range.last)
    )
    if key_range.first == key_range.last:
        # The busiest range is a single key, so it cannot be split: move the busiest of the
        # other ranges.
        others = [other for other in granted_ranges if other is not key_range]
        if not others:
            return False
        draft.assign(
            max(others, key=lambda key_range: rates.sum_over(key_range.first, key_range.last)),
            target,
        )
        return True
    low_cut = rates.find_cut(key_range.first, key_range.last, rate)
    moved = rates.sum_over(key_range.first, low_cut)
    # A part of up to 1.5 times ``rate`` is close enough.
    if moved <= 1.5 * rate:
        part, _ = draft.split(key_range, low_cut)
    else:
        # A busy key would make the part too large: move the keys below it, or, if these have
        # less than 0.3 times ``rate``, those at the end of the range.
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
    """Merge adjacent key ranges that differ in their keys only."""
    merged: list[KeyRange] = []
    for key_range in ranges:
        if merged and merged[-1][2:] == key_range[2:]:
            merged[-1] = merged[-1]._replace(last=key_range.last)
        else:
            merged.append(key_range)
    return merged
