"""The work of the keeper for one service: its table, grants and moves of key ranges."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.errors import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from coltsfootstair.keyspace._demand import KeyDemand
from coltsfootstair.keyspace._lease import (
    decode_lease,
    era_of_epoch,
    first_fence_of_era,
    highest_fence_at,
)
from coltsfootstair.keyspace._owner_grants import CALL_RETRY_DELAY_S, OwnerGrants
from coltsfootstair.keyspace._paused_owners import PausedOwners
from coltsfootstair.keyspace._planner import FENCE_STEP, OwnerCandidate, plan_table
from coltsfootstair.keyspace._table import (
    KeyRange,
    KeyTable,
    build_table_update,
    decode_table,
    encode_table,
)
from coltsfootstair.keyspace._view import LEASE_NAME, OWNERSHIP_KIND, TABLE_PREFIX
from coltsfootstair.objects import era_of
from coltsfootstair.permits import MIN_LIMIT_PER_S
from coltsfootstair.supervision import SupervisedTask

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coltsfootstair.keyspace._dependencies import KeeperDependencies
    from coltsfootstair.keyspace._table import Incarnation
    from coltsfootstair.objects import Revision, StoredObject
    from coltsfootstair.peers import TableUpdate
    from coltsfootstair.registry import BackendServer

__all__ = ['ServiceKeeper']

logger = structlog.get_logger()

RENEWAL_INTERVAL_S = 0.8
"""Seconds between renewals of the grants of one owner."""

PLANNING_INTERVAL_S = 0.25
"""Seconds between two plans of which server owns which keys."""

INITIAL_SERVER_WAIT_S = 1.0
"""Seconds without a further backend server before the first plan."""

MAX_INITIAL_WAIT_S = 4.0
"""Longest wait for further backend servers before the first plan, in seconds from the first
server. A server that joins later takes keys from another one."""

FIGURES_SETTLE_TIME_S = 1.5
"""Seconds after a change of an owner's keys until its figures reflect the change: the move, a
report and some answers must come first."""

MAX_UNRESPONSIVE_OWNER_S = 2.0
"""How long an owner that answers grant calls may be unresponsive to requests before its keys
go to others, in seconds. An overloaded server may never answer requests that it cannot queue;
to move all its keys at once would overload others."""

ADMISSION_HEADROOM_RATIO = 1.4
"""Multiple of an owner's capacity that is admitted. The capacity is an estimate, and the
daemons refuse the excess by their own view of the owner's queue."""

MAX_FAILING_S = 1.4
"""How long the work for a service may fail again and again before another daemon becomes
keeper, in seconds; grants last longer."""

MAX_FAILING_FROM_START_S = 15.0
"""The same for work that has never succeeded here, in seconds: it probably failed at the
previous keeper too, and would fail at the next one."""

STORE_RETRY_DELAY_S = 0.3
"""Seconds to the next try of a read or write of the table that failed."""


class ServiceKeeper:
    """The work of the keeper for one service.

    Plans and writes the table of the service, and makes the grant and release calls that the
    table requires, while this daemon is the keeper.

    The table is written before the grant and release calls that follow from it are sent, so
    that the next keeper knows every fencing token that a backend server may have seen.

    :param epoch: epoch of this keeper
    :param inherited_expiry: latest expiry of grants of previous keepers, in monotonic seconds
    :param earlier_era_expiry: the same for keepers of earlier eras of the store, of whose
        grants the stored table may not tell
    :param remembered_table: the table of the previous era, if it is known to be the latest
    :param get_grant_duration_s: returns the duration of a grant made now, in seconds;
        ``None`` if no grant may be made
    :param is_keeper: returns whether this daemon is still the keeper
    :param on_superseded: called with the epoch of a later keeper that has written the table
    :param send_to_all: sends an update of the table to all daemons
    :param get_unresponsive_servers: returns the servers that answer no daemon
    :param on_failing: called when the work fails again and again
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        dependencies: KeeperDependencies,
        inherited_expiry: float,
        earlier_era_expiry: float,
        remembered_table: KeyTable | None,
        get_grant_duration_s: Callable[[], float | None],
        is_keeper: Callable[[], bool],
        on_superseded: Callable[[int], None],
        send_to_all: Callable[[TableUpdate], None],
        get_unresponsive_servers: Callable[[], list[str]],
        on_failing: Callable[[str], None] = lambda _reason: None,
    ) -> None:
        self.service = service
        self.demand = KeyDemand()
        self.paused_owners = PausedOwners()
        self._dependencies = dependencies
        self._get_grant_duration_s = get_grant_duration_s
        self._epoch = epoch
        self._earlier_era_expiry = earlier_era_expiry
        self._remembered_table = remembered_table
        self._is_table_remembered = False
        self._fences_after_refusal: set[int] = set()
        self._is_keeper = is_keeper
        self._on_superseded = on_superseded
        self._send_to_all = send_to_all
        self._get_unresponsive_servers = get_unresponsive_servers
        self._on_failing = on_failing
        self._owner_grants = OwnerGrants(
            service, dependencies, inherited_expiry, get_grant_duration_s
        )
        self._table = KeyTable([], 0)
        self._stored_table = self._table
        self._last_published: tuple[int, KeyTable] | None = None
        self.published_at = -math.inf
        self._revision: int | None = None
        self._has_unwritten_changes = False
        # Used as an ordered set: the values are ``None``.
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._grant_task_by_fence: dict[int, asyncio.Task[None]] = {}
        self._incarnations_being_renewed: set[Incarnation] = set()
        self._renewed_at_by_incarnation: dict[Incarnation, float] = {}
        self._moved_at_by_incarnation: dict[Incarnation, float] = {}
        self._unresponsive_since_by_name: dict[str, float] = {}
        self._first_server_seen_at = math.inf
        self._last_server_seen_at = math.inf
        self._seen_candidate_count = 0
        self._all_granted = asyncio.Event()
        self._work_stopped = False
        self._renews = False

    def start(self) -> None:
        """Start the tasks that read and plan the table and renew the grants."""
        self._start_work('key plans', self._run, self._on_plans_ended)

    def _start_work(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        on_ended: Callable[[SupervisedTask], None],
    ) -> None:
        supervised = SupervisedTask(
            name,
            run,
            self._dependencies.clock,
            self._dependencies.failures,
            on_ended,
            lambda: not self._work_stopped and self._is_keeper(),
        )
        self._start_task(supervised.run())

    @property
    def table(self) -> KeyTable:
        """The table as known here; it may contain grants that are not written yet."""
        return self._table

    def lower_inherited_expiry(self, expiry: float, earlier_era_expiry: float) -> None:
        """Lower the latest expiry of grants of previous keepers."""
        self._owner_grants.lower_inherited_expiry(expiry)
        self._earlier_era_expiry = min(self._earlier_era_expiry, earlier_era_expiry)

    def stop_work(self) -> None:
        """Start no further plans, grant calls or renewals of grants."""
        self._work_stopped = True
        self._owner_grants.stop_grant_calls()

    def close(self) -> None:
        """Cancel all tasks."""
        self.stop_work()
        for task in list(self._tasks):
            task.cancel()

    def _start_task(self, coroutine: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)  # type: ignore[arg-type]
        self._tasks[task] = None
        task.add_done_callback(self._on_task_ended)
        return task

    def _on_task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        self._dependencies.failures.record_end('key grants', task)
        # A key range whose task has failed is granted at the next step.
        for fence, grant_task in list(self._grant_task_by_fence.items()):
            if grant_task is task:
                del self._grant_task_by_fence[fence]

    def _on_plans_ended(self, task: SupervisedTask) -> None:
        # An unfinished step may have changed the table here, but not in the store.
        self._revision = None
        self._check_failing(task)

    def _check_failing(self, task: SupervisedTask) -> None:
        longest_s = MAX_FAILING_S if task.has_worked else MAX_FAILING_FROM_START_S
        if task.failing_s > longest_s:
            self._on_failing(f'{task.name} of {self.service} failed again and again')

    async def _run(self) -> None:
        while self._revision is None:
            try:
                await self._load_table()
            except (StoreUnavailableError, StoreConflictError, ProtocolError) as error:
                logger.warning('table not read', service=self.service, reason=str(error))
                await asyncio.sleep(STORE_RETRY_DELAY_S)
        if not self._renews:
            self._renews = True
            self._start_work('key renewals', self._renew_until_stopped, self._check_failing)
        while not self._work_stopped:
            try:
                await self._plan_write_and_grant()
            except StoreConflictError as error:
                logger.warning(
                    'table written by another daemon', service=self.service, why=str(error)
                )
                if not self._is_keeper():
                    return
                await self._try_load_table()
            except StoreUnavailableError as error:
                logger.warning('table not read', service=self.service, reason=str(error))
            await self._wait_for_next_step()

    async def _wait_for_next_step(self) -> None:
        self._all_granted.clear()
        try:
            async with asyncio.timeout(PLANNING_INTERVAL_S):
                await self._all_granted.wait()
        except TimeoutError:
            return

    async def _renew_until_stopped(self) -> None:
        while not self._work_stopped:
            if self._get_grant_duration_s() is not None:
                self._start_renewals()
            await asyncio.sleep(PLANNING_INTERVAL_S)

    async def _try_load_table(self) -> None:
        try:
            await self._load_table()
        except (StoreUnavailableError, StoreConflictError, ProtocolError) as error:
            logger.warning('table not read', service=self.service, reason=str(error))

    async def _load_table(self) -> None:
        """Read the table and write this keeper's epoch to it.

        From then on, a previous keeper can no longer write the table. Also cancels the tasks
        that grant key ranges, and sends the table to the other daemons.

        :raises StoreConflictError: another daemon wrote the table between read and write
        """
        name = TABLE_PREFIX + self.service
        item = await self._dependencies.store.get(OWNERSHIP_KIND, name)
        if item is None:
            recovered = await self._recover_table(KeyTable([], 0))
            item = await self._dependencies.store.create(
                OWNERSHIP_KIND, name, encode_table(recovered)
            )
        if era_of(item.revision) != era_of_epoch(self._epoch):
            # The keeper steps down with the table that it has in memory.
            raise StoreUnavailableError(f'{name}: another era of the store has begun')
        try:
            table = decode_table(item.value)
        except ProtocolError as error:
            table = await self._recover_unreadable_table(item.revision)
            must_write = True
            logger.error('unreadable table replaced', service=self.service, why=str(error))
        else:
            must_write = table.epoch < self._epoch
            if era_of_epoch(table.epoch) < era_of_epoch(self._epoch):
                table = await self._recover_table(table)
        if table.epoch > self._epoch:
            self._on_superseded(table.epoch)
            return
        if must_write:
            table = KeyTable(table.ranges, table.highest_fence, self._epoch)
            item = await self._dependencies.store.replace(
                OWNERSHIP_KIND, name, encode_table(table), expected_revision=item.revision
            )
        for task in self._grant_task_by_fence.values():
            task.cancel()
        self._grant_task_by_fence = {}
        self._table, self._revision = table, item.revision
        self._stored_table = table
        self._publish_table(item)
        logger.info(
            'table read',
            service=self.service,
            rows=len(table.ranges),
            fence=table.highest_fence,
        )

    async def _recover_unreadable_table(self, revision: Revision) -> KeyTable:
        """Return the table to go on with in place of one at ``revision`` that can't be read.

        It is the one in memory if this keeper has read or written it. Otherwise the last moves
        may not be known: all grants of earlier keepers are waited out, and the key ranges are
        granted anew.

        :raises ProtocolError: the stored lease is not that of this keeper, so that the table
            may hide one of a later keeper
        """
        item = await self._dependencies.store.get(OWNERSHIP_KIND, LEASE_NAME)
        if item is None or decode_lease(item.value).epoch != self._epoch:
            raise ProtocolError('a stored table can not be read, and another keeper may act')
        fence = highest_fence_at(revision)
        if self._revision is not None:
            return KeyTable(self._table.ranges, max(fence, self._table.highest_fence))
        known = self._dependencies.ownership_view.get_table(self.service) or KeyTable([], 0)
        return await self._recover_table(
            KeyTable(known.ranges, max(fence, known.highest_fence))
        )

    async def _recover_table(self, stored: KeyTable) -> KeyTable:
        """Return the table to go on with in an era of the store that has none yet.

        The stored one may lack the last moves. If the latest table is not remembered either,
        all grants of earlier eras are waited out, and all key ranges are granted anew.
        """
        fence = max(first_fence_of_era(era_of_epoch(self._epoch)), stored.highest_fence)
        remembered, self._remembered_table = self._remembered_table, None
        if remembered is not None:
            self._is_table_remembered = True
            fence = max(fence, remembered.highest_fence)
            return KeyTable(remembered.ranges, fence, self._epoch)
        await self._wait_for_earlier_eras()
        ranges = []
        for key_range in stored.ranges:
            fence += FENCE_STEP
            ranges.append(
                key_range._replace(fence=fence, is_granted=False, previous_owners=())
            )
        return KeyTable(ranges, fence, self._epoch)

    async def _wait_for_earlier_eras(self) -> None:
        """Wait until no grant of a keeper of an earlier era can be in force."""
        clock = self._dependencies.clock
        while (left_s := self._earlier_era_expiry - clock.monotonic()) > 0:
            await asyncio.sleep(min(left_s, PLANNING_INTERVAL_S))

    async def _plan_write_and_grant(self) -> None:
        candidates = self._find_owner_candidates()
        if self._get_grant_duration_s() is None:
            return
        if self._may_plan(candidates):
            await self._plan_and_write_moves(candidates)
        if self._has_unwritten_changes:
            await self._write_table(self._table)
        self._start_grants()

    def _may_plan(self, candidates: list[OwnerCandidate]) -> bool:
        """Whether the table may be planned now.

        The first plan waits until no further candidate appears, but no longer than
        ``INITIAL_SERVER_WAIT_S`` once callers ask for keys.
        """
        now = self._dependencies.clock.monotonic()
        if candidates and math.isinf(self._first_server_seen_at):
            self._first_server_seen_at = now
        if len(candidates) > self._seen_candidate_count:
            self._seen_candidate_count = len(candidates)
            self._last_server_seen_at = now
        if self._table.ranges:
            return bool(candidates)
        waited_s = now - self._first_server_seen_at
        return waited_s >= INITIAL_SERVER_WAIT_S and (
            now - self._last_server_seen_at >= INITIAL_SERVER_WAIT_S
            or waited_s >= MAX_INITIAL_WAIT_S
            or self.demand.has_requests
        )

    def _find_owner_candidates(self) -> list[OwnerCandidate]:
        """Return the usable servers that may own keys; record each usable server as seen."""
        now = self._dependencies.clock.monotonic()
        candidates = []
        for server in self._dependencies.registry.find_usable(self.service):
            self._owner_grants.on_server_seen(server)
            owns_keys = any(
                key_range.owner == server.incarnation for key_range in self._table.ranges
            )
            if self._is_unresponsive(server, now) or not self._owner_grants.may_own(
                server.incarnation, owns_keys=owns_keys
            ):
                continue
            is_cold = self._dependencies.registry.cold_left_s(server) > 0
            service_time_s = self.demand.estimate_service_time_s(
                server.name, self._dependencies.get_default_service_time_s(self.service)
            )
            service_time_s *= self.paused_owners.compute_slowdown(server.name, now)
            limits = self._dependencies.limits
            limit_per_s = None if limits is None else limits.get(server.incarnation)
            if limit_per_s is not None:
                # The service time at which the server would serve no more than its limit.
                service_time_s = max(
                    service_time_s, server.slots / max(MIN_LIMIT_PER_S, limit_per_s)
                )
            if is_cold:
                # The service time at which the server would serve no more than its cold limit;
                # the lower bound of the limit avoids a division by zero.
                allowed_per_s = max(0.1, self._dependencies.get_cold_limit_per_s(self.service))
                service_time_s = max(service_time_s, server.slots / allowed_per_s)
            candidates.append(
                OwnerCandidate(
                    server.incarnation,
                    server.slots,
                    service_time_s,
                    accepts_keys=not is_cold,
                    has_settled_figures=now
                    - self._moved_at_by_incarnation.get(server.incarnation, -math.inf)
                    > FIGURES_SETTLE_TIME_S,
                )
            )
        return candidates

    def _is_unresponsive(self, server: BackendServer, now: float) -> bool:
        """Whether a server is unresponsive, also to grant calls or for long."""
        if server.name not in self._get_unresponsive_servers():
            self._unresponsive_since_by_name.pop(server.name, None)
            return False
        since = self._unresponsive_since_by_name.setdefault(server.name, now)
        return (
            self._owner_grants.are_calls_failing(server.incarnation)
            or now - since >= MAX_UNRESPONSIVE_OWNER_S
        )

    async def _plan_and_write_moves(self, candidates: list[OwnerCandidate]) -> None:
        now = self._dependencies.clock.monotonic()
        current = self._replace_refused_fences()
        target = plan_table(current, candidates, self.demand.compute_rates(now))
        if not self._is_changed(target):
            return
        moved = [
            key_range
            for key_range in target.ranges
            if key_range.fence > self._table.highest_fence
        ]
        for key_range in moved:
            for incarnation in (key_range.owner, *key_range.previous_owners):
                self._moved_at_by_incarnation[incarnation] = now
            logger.info(
                'key range moves',
                service=self.service,
                first=key_range.first,
                last=key_range.last,
                owner=key_range.owner[0],
                fence=key_range.fence,
                previous=[incarnation[0] for incarnation in key_range.previous_owners],
            )
        await self._write_table(target)

    def _is_changed(self, target: KeyTable) -> bool:
        return target.highest_fence != self._table.highest_fence

    def _replace_refused_fences(self) -> KeyTable:
        """Return the table with new fencing tokens in place of those that owners refused."""
        refused = self._owner_grants.pop_refused_fences()
        if not refused:
            return self._table
        fence = self._table.highest_fence
        ranges = []
        for key_range in self._table.ranges:
            if key_range.fence in refused:
                fence += FENCE_STEP
                self._fences_after_refusal.add(fence)
                key_range = key_range._replace(fence=fence, is_granted=False)
            ranges.append(key_range)
        return KeyTable(ranges, fence, self._epoch)

    async def _write_table(self, table: KeyTable) -> None:
        """Write ``table``, with retries until it is known whether the write succeeded.

        :raises StoreConflictError: another daemon has written the table
        """
        assert self._revision is not None
        name = TABLE_PREFIX + self.service
        value = encode_table(table)
        is_table_in_memory = table is self._table
        while True:
            if not self._is_keeper():
                return
            try:
                item = await self._dependencies.store.replace(
                    OWNERSHIP_KIND, name, value, expected_revision=self._revision
                )
                break
            except StoreUnavailableError as error:
                logger.warning('table not written', service=self.service, reason=str(error))
                await asyncio.sleep(STORE_RETRY_DELAY_S)
            except StoreConflictError:
                found = await self._dependencies.store.get(OWNERSHIP_KIND, name)
                if found is None or found.value != value:
                    raise
                item = found
                break
        self._apply_written_table(table, item, is_table_in_memory=is_table_in_memory)

    def _apply_written_table(
        self, table: KeyTable, item: StoredObject, *, is_table_in_memory: bool
    ) -> None:
        """Record that ``table`` was written, and send it to the other daemons.

        :param is_table_in_memory: whether ``table`` was the table in memory when the write
            began, rather than a new plan that replaces it
        """
        self._revision = item.revision
        self._stored_table = table
        if is_table_in_memory:
            # Ranges that were granted during the write are written next.
            self._has_unwritten_changes = encode_table(self._table) != item.value
        else:
            # Ranges that were granted while the plan was written are granted in the plan too.
            granted_fences = {
                key_range.fence for key_range in self._table.ranges if key_range.is_granted
            }
            ranges = [
                key_range._replace(is_granted=True, previous_owners=())
                if key_range.fence in granted_fences
                else key_range
                for key_range in table.ranges
            ]
            self._table = KeyTable(ranges, table.highest_fence, self._epoch)
            self._has_unwritten_changes = encode_table(self._table) != item.value
        self._publish_table(item)

    def _publish_table(self, item: StoredObject) -> None:
        self._dependencies.ownership_view.apply_object(item)
        if self._revision is None:
            return
        base, self._last_published = (
            self._last_published,
            (self._revision, self._stored_table),
        )
        self.published_at = self._dependencies.clock.monotonic()
        if base is None or base[0] != self._revision:
            self._send_to_all(
                build_table_update(self._stored_table, self.service, self._revision, base)
            )

    def build_update(self) -> TableUpdate | None:
        """Return a message with the whole stored table, or ``None`` if it was not read yet."""
        if self._revision is None:
            return None
        return build_table_update(self._stored_table, self.service, self._revision)

    def compute_admitted_shares(self) -> dict[str, float]:
        """Return the share of its requests that each overloaded owner can serve, by name."""
        rates = self.demand.compute_rates(self._dependencies.clock.monotonic())
        rate_by_incarnation: dict[Incarnation, float] = {}
        for key_range in self._table.ranges:
            rate = rate_by_incarnation.get(key_range.owner, 0.0) + rates.sum_over(
                key_range.first, key_range.last
            )
            rate_by_incarnation[key_range.owner] = rate
        admitted_share_by_server = {}
        for server in self._dependencies.registry.find_usable(self.service):
            default_service_time_s = self._dependencies.get_default_service_time_s(
                self.service
            )
            capacity_per_s = server.slots / self.demand.estimate_service_time_s(
                server.name, default_service_time_s
            )
            rate = rate_by_incarnation.get(server.incarnation, 0.0)
            if rate > ADMISSION_HEADROOM_RATIO * capacity_per_s:
                admitted_share_by_server[server.name] = round(
                    ADMISSION_HEADROOM_RATIO * capacity_per_s / rate, 3
                )
        return admitted_share_by_server

    @property
    def revision(self) -> int:
        """Revision of the stored table, 0 while it is not known."""
        return self._revision or 0

    def _start_grants(self) -> None:
        fences = {key_range.fence for key_range in self._table.ranges}
        for fence in [fence for fence in self._grant_task_by_fence if fence not in fences]:
            self._grant_task_by_fence.pop(fence).cancel()
        for key_range in self._table.ranges:
            if not key_range.is_granted and key_range.fence not in self._grant_task_by_fence:
                self._grant_task_by_fence[key_range.fence] = self._start_task(
                    self._grant_range(key_range)
                )

    async def _grant_range(self, key_range: KeyRange) -> None:
        """Reclaim a key range from its previous owners, grant it and mark it as granted."""
        handover = None
        for incarnation in key_range.previous_owners:
            handover = await self._owner_grants.reclaim(incarnation, key_range) or handover
        if self._is_table_remembered and key_range.fence in self._fences_after_refusal:
            # Another keeper moved these keys before the era began, so someone may hold them.
            await self._wait_for_earlier_eras()
        while not await self._owner_grants.grant(key_range, handover):
            await asyncio.sleep(CALL_RETRY_DELAY_S)
        self._table = KeyTable(
            [
                other._replace(is_granted=True, previous_owners=())
                if other.fence == key_range.fence
                else other
                for other in self._table.ranges
            ],
            self._table.highest_fence,
            self._epoch,
        )
        self._grant_task_by_fence.pop(key_range.fence, None)
        logger.info(
            'key range granted',
            service=self.service,
            first=key_range.first,
            last=key_range.last,
            owner=key_range.owner[0],
            fence=key_range.fence,
            handover=handover is not None,
        )
        self._has_unwritten_changes = True
        if not self._grant_task_by_fence:
            self._all_granted.set()

    def _start_renewals(self) -> None:
        now = self._dependencies.clock.monotonic()
        for incarnation in dict.fromkeys(
            key_range.owner for key_range in self._table.ranges if key_range.is_granted
        ):
            due_at = (
                self._renewed_at_by_incarnation.get(incarnation, -math.inf)
                + RENEWAL_INTERVAL_S
            )
            if now >= due_at and incarnation not in self._incarnations_being_renewed:
                self._incarnations_being_renewed.add(incarnation)
                self._start_task(self._renew_grants(incarnation))

    async def _renew_grants(self, incarnation: Incarnation) -> None:
        try:
            async with self._owner_grants.get_renewal_lock(incarnation):
                for key_range in self._table.ranges:
                    needs_renewal = key_range.is_granted and key_range.owner == incarnation
                    if needs_renewal and not await self._owner_grants.grant(key_range, None):
                        return
                self._renewed_at_by_incarnation[incarnation] = (
                    self._dependencies.clock.monotonic()
                )
        finally:
            self._incarnations_being_renewed.discard(incarnation)
