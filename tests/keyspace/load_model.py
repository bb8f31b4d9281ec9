"""A played load of keyed requests: the real demand figures and plans, on virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import NamedTuple

from coltsfootstair.keyspace import (
    KEY_COUNT,
    KeyDemand,
    KeyTable,
    OwnerCandidate,
    plan_table,
)
from coltsfootstair.peers import LoadFigures
from coltsfootstair.placement import LoadEstimate, LoadReport, ServiceMean

REPORT_INTERVAL_S = 0.3
PLANNING_INTERVAL_S = 0.25
SETTLE_TIME_S = 1.5
SLOTS = 4
NOISE_PERIOD_S = 0.4
MAX_WAIT_SHARE = 0.5


class HotSpell(NamedTuple):
    """Some keys that get a share of all requests for a time.

    :param spacing: distance of each of these keys from the next one
    """

    from_s: float
    until_s: float
    share: float
    key_count: int
    spacing: int = 1


class Load(NamedTuple):
    """Callers and backend servers of one played day.

    :param requests_per_s: requests a second for all keys together
    :param mean_work_s: mean work of a request on a server of speed 1, in seconds
    :param target_s: target latency, in seconds
    :param skew: exponent with which the weight of keys falls with their distance from the
        busiest one; busy keys are close to one another
    :param noise_share: share of the time for which neighbours slow down a server's machine
    :param noise_factor: factor by which they do
    :param hot_spells: times in which some keys that are close to one another get a share of
        the requests
    :param speeds: factors of the work on the servers; each server has one of them
    """

    server_count: int
    requests_per_s: float
    mean_work_s: float
    target_s: float
    duration_s: float = 30.0
    skew: float = 0.3
    noise_share: float = 0.2
    noise_factor: float = 3.0
    hot_spells: tuple[HotSpell, ...] = ()
    speeds: tuple[float, ...] = (0.6, 1.0, 1.4)


class Outcome(NamedTuple):
    """What the callers got, as shares of their requests, and the keys that moved.

    :param moved: keys that changed hands, as a multiple of all keys
    :param in_time_by_second: share of the requests of each second that were answered in time
    """

    in_time: float
    late: float
    refused: float
    moved: float
    in_time_by_second: list[float]


class _Server:
    def __init__(self, number: int, speed: float, load: Load, source: random.Random) -> None:
        self.incarnation = (f's{number:04}', number)
        self.speed = speed
        self.load = load
        self.estimate = LoadEstimate(SLOTS, ServiceMean(0.3 * load.target_s))
        self.running = 0
        self.waiting: deque[float] = deque()
        self._source = source
        self._noise_by_period: dict[int, float] = {}
        self.moved_at = float('-inf')

    def slowdown(self, now: float) -> float:
        period = int(now / NOISE_PERIOD_S)
        if period not in self._noise_by_period:
            is_slowed = self._source.random() < self.load.noise_share
            self._noise_by_period[period] = self.load.noise_factor if is_slowed else 1.0
        return self._noise_by_period[period]

    def work_s(self, now: float) -> float:
        spread = self._source.lognormvariate(-0.045, 0.3)
        return self.load.mean_work_s * self.speed * spread * self.slowdown(now)


def _draw_key(load: Load, origin: int, source: random.Random, now: float) -> int:
    for number, spell in enumerate(load.hot_spells):
        if spell.from_s <= now < spell.until_s and source.random() < spell.share:
            first_key = origin + (number + 1) * KEY_COUNT // 3
            return (first_key + spell.spacing * source.randrange(spell.key_count)) % KEY_COUNT
    distance = int(KEY_COUNT * source.random() ** (1.0 / (1.0 - load.skew)))
    return (origin + min(distance, KEY_COUNT - 1)) % KEY_COUNT


def play(load: Load, seed: int) -> Outcome:
    """Play a day and return what the callers got."""
    return _Play(load, seed).run()


class _Play:
    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.source = random.Random(seed)
        self.origin = self.source.randrange(KEY_COUNT)
        self.servers = [
            _Server(number, load.speeds[number % len(load.speeds)], load, self.source)
            for number in range(load.server_count)
        ]
        self.by_incarnation = {server.incarnation: server for server in self.servers}
        self.demand = KeyDemand()
        self.table = KeyTable([], 0)
        self.counts: dict[int, int] = {}
        self.waiting_by_fence: dict[int, list[float]] = {}
        self.moved_keys = 0
        self.in_time: list[list[int]] = [[0, 0] for _ in range(int(load.duration_s) + 1)]
        self.late = self.refused = self.total = 0
        self.events: list[tuple[float, int, str, object]] = []
        self.order = itertools.count()

    def push(self, at: float, name: str, what: object = None) -> None:
        heapq.heappush(self.events, (at, next(self.order), name, what))

    def run(self) -> Outcome:
        self.plan(-1.0)
        self.grant(None)
        self.push(0.0, 'arrive')
        self.push(REPORT_INTERVAL_S, 'report')
        self.push(PLANNING_INTERVAL_S, 'plan')
        while self.events:
            now, _, name, what = heapq.heappop(self.events)
            if name in ('arrive', 'report', 'plan') and now > self.load.duration_s:
                continue
            match name:
                case 'arrive':
                    self.push(
                        now + self.source.expovariate(self.load.requests_per_s), 'arrive'
                    )
                    self.arrive(now)
                case 'end':
                    self.end(now, what)  # type: ignore[arg-type]
                case 'report':
                    self.push(now + REPORT_INTERVAL_S, 'report')
                    self.report(now)
                case 'plan':
                    self.push(now + PLANNING_INTERVAL_S, 'plan')
                    self.plan(now)
                case 'granted':
                    self.grant(what)  # type: ignore[arg-type]
                    self.send_waiting(now)
        return Outcome(
            sum(good for good, _ in self.in_time) / self.total,
            self.late / self.total,
            self.refused / self.total,
            self.moved_keys / KEY_COUNT,
            [good / max(1, count) for good, count in self.in_time],
        )

    def arrive(self, now: float) -> None:
        key = _draw_key(self.load, self.origin, self.source, now)
        self.total += 1
        self.in_time[int(now)][1] += 1
        self.counts[key] = self.counts.get(key, 0) + 1
        key_range = self.table.range_of(key)
        assert key_range is not None
        server = self.by_incarnation[key_range.owner]
        if not key_range.is_granted:
            # Keys on the move: their requests wait for the grant, or are refused.
            self.waiting_by_fence.setdefault(key_range.fence, []).append(now)
            return
        self.send(server, now, now)

    def send(self, server: _Server, arrived_at: float, now: float) -> None:
        estimate = server.estimate
        expected_s = estimate.estimate_latency_s(now)
        occupied = server.running + len(server.waiting)
        if occupied >= 3 * SLOTS or (
            occupied >= SLOTS and expected_s > 2.0 * self.load.target_s
        ):
            self.refused += 1
            return
        estimate.on_request_sent(now)
        server.waiting.append(arrived_at)
        self.start_next(server, now)

    def start_next(self, server: _Server, now: float) -> None:
        while server.waiting and server.running < SLOTS:
            arrived_at = server.waiting.popleft()
            server.running += 1
            self.push(now + server.work_s(now), 'end', (server, arrived_at, now))

    def end(self, now: float, what: tuple[_Server, float, float]) -> None:
        server, arrived_at, _ = what
        server.running -= 1
        estimate = server.estimate
        report = LoadReport(server.running, len(server.waiting), SLOTS, server.slowdown(now))
        estimate.apply_report(report, now)
        estimate.on_success(now - arrived_at, now)
        estimate.on_request_ended()
        if now - arrived_at <= self.load.target_s:
            self.in_time[int(arrived_at)][0] += 1
        else:
            self.late += 1
        self.start_next(server, now)

    def report(self, now: float) -> None:
        counts, self.counts = self.counts, {}
        self.demand.count_requests(counts, now)
        for server in self.servers:
            estimate = server.estimate
            if estimate.answer_count:
                figures = LoadFigures(estimate.answer_count, estimate.service_time_sum_s)
                self.demand.apply_figures(server.incarnation[0], figures)
                estimate.answer_count, estimate.service_time_sum_s = 0, 0.0

    def plan(self, now: float) -> None:
        candidates = [
            OwnerCandidate(
                server.incarnation,
                SLOTS,
                self.demand.estimate_service_time_s(
                    server.incarnation[0], 0.3 * self.load.target_s
                ),
                accepts_keys=True,
                has_settled_figures=now - server.moved_at > SETTLE_TIME_S,
            )
            for server in self.servers
        ]
        before = self.table.highest_fence
        table = plan_table(self.table, candidates, self.demand.compute_rates(now))
        if table.highest_fence == before:
            return
        self.table = table
        for key_range in table.ranges:
            if key_range.fence > before:
                if key_range.previous_owners:
                    self.moved_keys += key_range.last - key_range.first + 1
                    for incarnation in (key_range.owner, *key_range.previous_owners):
                        self.by_incarnation[incarnation].moved_at = now
                # The release is answered when the requests that run on the keys have ended.
                release_s = self.source.uniform(0.5, 2.5) * self.load.mean_work_s
                self.push(now + release_s, 'granted', key_range.fence)

    def send_waiting(self, now: float) -> None:
        waiting_by_fence, self.waiting_by_fence = self.waiting_by_fence, {}
        for fence, arrivals in waiting_by_fence.items():
            for key_range in self.table.ranges:
                if key_range.fence == fence:
                    break
            for arrived_at in arrivals:
                if now - arrived_at > MAX_WAIT_SHARE * self.load.target_s:
                    self.refused += 1
                elif key_range.is_granted:
                    self.send(self.by_incarnation[key_range.owner], arrived_at, now)
                else:
                    self.waiting_by_fence.setdefault(fence, []).append(arrived_at)

    def grant(self, fence: int | None) -> None:
        self.table = KeyTable(
            [
                key_range._replace(is_granted=True, previous_owners=())
                if fence is None or key_range.fence == fence
                else key_range
                for key_range in self.table.ranges
            ],
            self.table.highest_fence,
        )
