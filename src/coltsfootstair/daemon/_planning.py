"""Plans the tables of the services for which this daemon is the planner."""

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
    build_initial_shards,
    encode_shard,
    find_usable_server_names,
    plan_moves,
    rank_names,
    shard_key,
    shard_of,
)
from coltsfootstair.store import ABSENT, Replica, Store, VersionedObject

if TYPE_CHECKING:
    from coltsfootstair.document import Document
    from coltsfootstair.leases import PeerView

__all__ = ['LoadCounter', 'PlannerDependencies', 'TablePlanner']

logger = structlog.get_logger()

PLAN_INTERVAL_S = 0.1
"""Interval at which tables are checked for rows that must move, in seconds."""

BALANCE_INTERVAL_S = 2.0
"""Interval at which rows are moved to balance the measured load, in seconds."""

LOAD_REPORT_INTERVAL_S = 1.0
"""Interval at which coordinators report the load that they measure, in seconds."""

SMOOTHING_SHARE = 0.4
"""Weight of a new measurement in the moving average of a rate.

All rates also fall by this share at each balancing.
"""


class LoadCounter:
    """Counts requests by row and key; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._row_counts_by_service: dict[str, Counter[int]] = {}
        self._frequent_keys_by_service: dict[str, FrequentKeys] = {}
        self._counted_since = clock.monotonic()

    def count(self, service: str, row: int, key: str) -> None:
        """Count a request that was submitted to admission."""
        now = self._clock.monotonic()
        with self._lock:
            self._row_counts_by_service.setdefault(service, Counter())[row] += 1
            keys = self._frequent_keys_by_service.setdefault(service, FrequentKeys(now))
            keys.count(key, now)

    def collect_reports(self) -> list[LoadReported]:
        """Return the load of each service that had requests since the last call.

        Rates of rows are measured since the last call, and their counts are reset. Rates of
        keys come from the last full window of the counter of frequent keys.
        """
        now = self._clock.monotonic()
        with self._lock:
            elapsed_s = max(now - self._counted_since, 0.001)
            row_counts_by_service, self._row_counts_by_service = (
                self._row_counts_by_service,
                {},
            )
            self._counted_since = now
            return [
                LoadReported(
                    service,
                    [(row, count / elapsed_s) for row, count in rows.items()],
                    list(
                        self._frequent_keys_by_service[service]
                        .compute_rate_by_key(now)
                        .items()
                    ),
                )
                for service, rows in row_counts_by_service.items()
            ]


class PlannerDependencies(NamedTuple):
    """What the table planner works with.

    :param name: the name of this daemon
    :param table: returns the table of a service as this daemon knows it
    :param post: runs a callable on the ownership task
    """

    name: str
    clock: Clock
    store: Store
    replica: Replica
    executor: Executor
    table: Callable[[str], Table | None]
    post: Callable[[Callable[[], None]], None]


class _PlanInput(NamedTuple):
    """All that a plan without balancing depends on; the same input gives the same plan."""

    versions: tuple[int, ...]
    usable: frozenset[str]


class TablePlanner:
    """Marks rows of tables as moving; used on the ownership task's thread only.

    ``_input_without_changes_by_service`` has the last input for which a plan had no changes.
    """

    def __init__(self, dependencies: PlannerDependencies) -> None:
        self._dependencies = dependencies
        self._row_rates_by_service: dict[str, dict[int, float]] = {}
        self._key_rates_by_service: dict[str, dict[str, float]] = {}
        self._planned_at = 0.0
        self._balanced_at = dependencies.clock.monotonic()
        self._services_being_written: set[str] = set()
        self._input_without_changes_by_service: dict[str, _PlanInput] = {}

    def choose_planner(self, service: str, peers: PeerView) -> str:
        """Return the daemon that plans the table of a service.

        Daemons may choose differently for a while; several planners at once do no harm.
        """
        return rank_names(
            f'planner/{service}', [*peers.alive_by_name, self._dependencies.name]
        )[0]

    def apply_load(self, load: LoadReported) -> None:
        """Apply the load that a coordinator has measured."""
        rates = self._row_rates_by_service.setdefault(load.service, {})
        for row, rate in load.rows:
            rates[row] = rates.get(row, rate) * (1 - SMOOTHING_SHARE) + rate * SMOOTHING_SHARE
        self._key_rates_by_service.setdefault(load.service, {}).update(load.keys)

    def tick(
        self,
        document: Document,
        peers: PeerView,
        unresponsive: frozenset[str],
        unresponsive_here: frozenset[str],
    ) -> None:
        """Plan the tables that are due.

        :param unresponsive: backend servers that do not answer their coordinators
        :param unresponsive_here: those of them that this daemon coordinates; if a service has
            such a server, this daemon plans its table even if it is not the planner, and then
            treats all ``unresponsive`` servers as unusable
        """
        now = self._dependencies.clock.monotonic()
        if now - self._planned_at < PLAN_INTERVAL_S:
            return
        self._planned_at = now
        balance = now - self._balanced_at >= BALANCE_INTERVAL_S
        if balance:
            self._balanced_at = now
        services_with_unresponsive_servers = {
            s.service for s in document.backend_servers if s.name in unresponsive_here
        }
        for service in (item.name for item in document.services):
            is_planner = self.choose_planner(service, peers) == self._dependencies.name
            if is_planner or service in services_with_unresponsive_servers:
                self._plan(service, document, unresponsive, balance=balance and is_planner)
        if balance:
            self._decay_rates()

    def _plan(
        self, service: str, document: Document, unresponsive: frozenset[str], *, balance: bool
    ) -> None:
        table = self._dependencies.table(service)
        usable = frozenset(find_usable_server_names(document, service)) - unresponsive
        if service in self._services_being_written or not usable:
            return
        versions = () if table is None else table.versions()
        if table is None or ABSENT in versions:
            self._submit_writes(service, _missing_shards(service, usable, versions))
            return
        plan_input = _PlanInput(versions, usable)
        if not balance and self._input_without_changes_by_service.get(service) == plan_input:
            return
        load = Load(
            self._row_rates_by_service.get(service, {}),
            self._key_rates_by_service.get(service, {}),
        )
        changes = plan_moves(table, usable, load, balance=balance)
        writes: list[tuple[Shard, int]] = []
        for number in range(SHARDS_PER_TABLE):
            shard_changes = [change for change in changes if shard_of(change.number) == number]
            shard, version = table.shard(number)
            changed = apply_changes(shard, shard_changes)
            if changed != shard:
                writes.append((changed, version))
        if writes:
            logger.info('rows marked as moving', service=service, rows=len(changes))
            self._submit_writes(service, writes)
        else:
            self._input_without_changes_by_service[service] = plan_input

    def _submit_writes(self, service: str, writes: list[tuple[Shard, int]]) -> None:
        self._services_being_written.add(service)
        self._dependencies.executor.submit(self._write, service, writes)

    def _write(self, service: str, writes: list[tuple[Shard, int]]) -> None:
        for shard, expected in writes:
            try:
                self._put(shard_key(service, shard.number), encode_shard(shard), expected)
            except (StoreConflictError, StoreUnavailableError) as error:
                logger.info(
                    'table not written, its rows are planned again',
                    service=service,
                    why=str(error),
                )
        self._dependencies.post(lambda: self._services_being_written.discard(service))

    def _put(self, key: str, value: bytes, expected: int) -> None:
        """Write an object to the store, and apply it to the local replica.

        :raises StoreConflictError: the object's version is not ``expected``
        :raises StoreUnavailableError: the store did not answer
        """
        version = self._dependencies.store.put(key, value, expected_version=expected)
        self._dependencies.replica.apply([VersionedObject(key, version, value)])

    def _decay_rates(self) -> None:
        """Reduce all rates, and remove those below 0.01 requests a second."""
        for rates in self._row_rates_by_service.values():
            for row in list(rates):
                rates[row] *= 1 - SMOOTHING_SHARE
                if rates[row] < 0.01:
                    del rates[row]
        for keys in self._key_rates_by_service.values():
            for key in list(keys):
                keys[key] *= 1 - SMOOTHING_SHARE
                if keys[key] < 0.01:
                    del keys[key]


def _missing_shards(
    service: str, usable: frozenset[str], versions: tuple[int, ...]
) -> list[tuple[Shard, int]]:
    return [
        (shard, ABSENT)
        for shard in build_initial_shards(service, usable)
        if not versions or versions[shard.number] == ABSENT
    ]
