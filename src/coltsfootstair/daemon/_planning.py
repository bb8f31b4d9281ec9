"""Runs the planner for the services whose tables this daemon is to plan."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.clock import Clock
from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.inner._heartbeats import LoadReported
from coltsfootstair.ownership import (
    SHARDS_PER_TABLE,
    FrequentKeys,
    Load,
    Shard,
    Table,
    apply_changes,
    encode_shard,
    initial_assignment,
    plan_moves,
    rank_names,
    shard_key,
    shard_of,
    usable_servers,
)
from coltsfootstair.store import ABSENT, Replica, Store, Versioned

if TYPE_CHECKING:
    from coltsfootstair.document import Document
    from coltsfootstair.leases import PeerView

__all__ = ['LoadCounts', 'Planning', 'PlanningParts']

logger = structlog.get_logger()

PLAN_EVERY_S = 0.1
BALANCE_EVERY_S = 2.0
"""How often measured load is evened out, in seconds."""

TELL_EVERY_S = 1.0
"""How often coordinators tell what they measured, in seconds."""

SMOOTHING = 0.4
"""Weight of a new measurement against what was known before."""


class LoadCounts:
    """Counts requests by row and key; from any thread."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._rows_by_service: dict[str, Counter[int]] = {}
        self._keys_by_service: dict[str, FrequentKeys] = {}
        self._since = clock.monotonic()

    def count(self, service: str, row: int, key: str) -> None:
        """Count a request that was admitted."""
        now = self._clock.monotonic()
        with self._lock:
            self._rows_by_service.setdefault(service, Counter())[row] += 1
            keys = self._keys_by_service.setdefault(service, FrequentKeys(now))
            keys.count(key, now)

    def reported(self) -> list[LoadReported]:
        """Return what was counted since the last call, by service."""
        now = self._clock.monotonic()
        with self._lock:
            seconds = max(now - self._since, 0.001)
            rows_by_service, self._rows_by_service = self._rows_by_service, {}
            self._since = now
            return [
                LoadReported(
                    service,
                    [(row, count / seconds) for row, count in rows.items()],
                    list(self._keys_by_service[service].rate_by_key(now).items()),
                )
                for service, rows in rows_by_service.items()
            ]


class PlanningParts(NamedTuple):
    """What planning works with.

    :param table: returns a service's table as this daemon knows it
    :param post: has a callable run on the ownership task
    """

    name: str
    clock: Clock
    store: Store
    replica: Replica
    executor: Executor
    table: Callable[[str], Table | None]
    post: Callable[[Callable[[], None]], None]


class _PlanInput(NamedTuple):
    """What a plan without balancing depends on; the same input needs no second one."""

    versions: tuple[int, ...]
    usable: frozenset[str]


class Planning:
    """Marks rows as moving; used on the ownership task's thread only."""

    def __init__(self, parts: PlanningParts) -> None:
        self._parts = parts
        self._rate_by_row: dict[str, dict[int, float]] = {}
        self._rate_by_key: dict[str, dict[str, float]] = {}
        self._planned_at = 0.0
        self._balanced_at = parts.clock.monotonic()
        self._writing: set[str] = set()
        self._settled_by_service: dict[str, _PlanInput] = {}

    def planner_of(self, service: str, peers: PeerView) -> str:
        """Return the daemon that plans a service's table; racing ones do no harm."""
        return rank_names(f'planner/{service}', [*peers.alive_by_name, self._parts.name])[0]

    def take_load(self, load: LoadReported) -> None:
        """Take in what a coordinator measured."""
        rates = self._rate_by_row.setdefault(load.service, {})
        for row, rate in load.rows:
            rates[row] = rates.get(row, rate) * (1 - SMOOTHING) + rate * SMOOTHING
        self._rate_by_key.setdefault(load.service, {}).update(load.keys)

    def tick(
        self,
        document: Document,
        peers: PeerView,
        lost: frozenset[str],
        lost_here: frozenset[str],
    ) -> None:
        """Plan what is due.

        :param lost: backend servers that do not answer
        :param lost_here: those that this daemon coordinates; their rows it moves itself
        """
        now = self._parts.clock.monotonic()
        if now - self._planned_at < PLAN_EVERY_S:
            return
        self._planned_at = now
        balance = now - self._balanced_at >= BALANCE_EVERY_S
        if balance:
            self._balanced_at = now
        here = {s.service for s in document.backend_servers if s.name in lost_here}
        for service in (item.name for item in document.services):
            mine = self.planner_of(service, peers) == self._parts.name
            if mine or service in here:
                self._plan(service, document, lost, balance=balance and mine)
        if balance:
            self._forget_idle()

    def _plan(
        self, service: str, document: Document, lost: frozenset[str], *, balance: bool
    ) -> None:
        table = self._parts.table(service)
        usable = frozenset(usable_servers(document, service)) - lost
        if service in self._writing or not usable:
            return
        versions = () if table is None else table.versions()
        if table is None or ABSENT in versions:
            self._submit(service, _missing_shards(service, usable, versions))
            return
        plan_input = _PlanInput(versions, usable)
        if not balance and self._settled_by_service.get(service) == plan_input:
            return
        load = Load(self._rate_by_row.get(service, {}), self._rate_by_key.get(service, {}))
        changes = plan_moves(table, usable, load, balance=balance)
        writes: list[tuple[Shard, int]] = []
        for number in range(SHARDS_PER_TABLE):
            mine = [change for change in changes if shard_of(change.number) == number]
            shard, version = table.shard(number)
            changed = apply_changes(shard, mine)
            if changed != shard:
                writes.append((changed, version))
        if writes:
            logger.info('rows marked', service=service, rows=len(changes))
            self._submit(service, writes)
        else:
            self._settled_by_service[service] = plan_input

    def _submit(self, service: str, writes: list[tuple[Shard, int]]) -> None:
        self._writing.add(service)
        self._parts.executor.submit(self._write, service, writes)

    def _write(self, service: str, writes: list[tuple[Shard, int]]) -> None:
        for shard, expected in writes:
            try:
                self._put(shard_key(service, shard.number), encode_shard(shard), expected)
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.info('marking put off', service=service, why=str(error))
        self._parts.post(lambda: self._writing.discard(service))

    def _put(self, key: str, value: bytes, expected: int) -> None:
        version = self._parts.store.put(key, value, expected=expected)
        self._parts.replica.apply([Versioned(key, version, value)])

    def _forget_idle(self) -> None:
        for rates in self._rate_by_row.values():
            for row in list(rates):
                rates[row] *= 1 - SMOOTHING
                if rates[row] < 0.01:
                    del rates[row]
        for keys in self._rate_by_key.values():
            for key in list(keys):
                keys[key] *= 1 - SMOOTHING
                if keys[key] < 0.01:
                    del keys[key]


def _missing_shards(
    service: str, usable: frozenset[str], versions: tuple[int, ...]
) -> list[tuple[Shard, int]]:
    return [
        (shard, ABSENT)
        for shard in initial_assignment(service, usable)
        if not versions or versions[shard.number] == ABSENT
    ]
