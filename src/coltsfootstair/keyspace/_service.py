"""A keeper's work for one service: its table, its grants and its moves."""

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
from coltsfootstair.keyspace._owner_grants import ORDER_RETRY_S, OwnerGrants
from coltsfootstair.keyspace._planner import FENCE_STEP, KeyRates, OwnerCapacity, plan
from coltsfootstair.keyspace._table import KeyRange, KeyTable, decode, encode, pack
from coltsfootstair.keyspace._view import OWNERSHIP_KIND, TABLE_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.keyspace._dependencies import KeeperDependencies
    from coltsfootstair.keyspace._table import Incarnation
    from coltsfootstair.objects import StoredObject
    from coltsfootstair.peers import TableUpdate

__all__ = ['ServiceKeeper']

logger = structlog.get_logger()

RENEW_S = 0.8
"""Seconds between renewals of a grant."""

PLAN_S = 0.25
"""Seconds between two looks at the load."""

SETTLE_S = 1.0
"""Seconds after the first backend server was seen in which the others are awaited."""

SETTLED_S = 1.5
"""Seconds after which the figures of an owner tell of a change of its keys: a move, a report
and some answers."""

HEADROOM = 1.4
"""How many times what an owner can serve is let pass: what it can serve is an estimate, and
the daemons' own view of its queue refuses what is too much."""

WRITE_RETRY_S = 0.3
"""Seconds to the next try of a write that was not answered."""


class ServiceKeeper:
    """Owns the table of one service as long as this daemon is the keeper.

    The table is written before an order that follows from it is sent, so that a next
    keeper knows every fencing token that a backend server may have seen.
    """

    def __init__(
        self,
        service: str,
        epoch: int,
        parts: KeeperDependencies,
        unknown_until: float,
        hold_s: Callable[[], float | None],
        is_leading: Callable[[], bool],
        deposed: Callable[[int], None],
        announce: Callable[[TableUpdate], None],
        silent_servers: Callable[[], list[str]],
    ) -> None:
        self.service = service
        self.demand = KeyDemand()
        self._parts = parts
        self._hold_s = hold_s
        self._epoch = epoch
        self._is_leading = is_leading
        self._deposed = deposed
        self._announce = announce
        self._silent_servers = silent_servers
        self._orders = OwnerGrants(service, parts, unknown_until, hold_s)
        self._table = KeyTable([], 0)
        self._stored_table = self._table
        self._published: tuple[int, KeyTable] | None = None
        self.published_at = -math.inf
        self._revision: int | None = None
        self._unwritten = False
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._settling: dict[int, asyncio.Task[None]] = {}
        self._renewing: set[Incarnation] = set()
        self._renewed_at_by_life: dict[Incarnation, float] = {}
        self._moved_at_by_life: dict[Incarnation, float] = {}
        self._seen_servers_at = math.inf
        self._settled = asyncio.Event()
        self._paused = False

    def start(self) -> None:
        """Start the work."""
        self._spawn(self._run())

    def bound_unknown_holds(self, until: float) -> None:
        """Note that holds that the last keeper granted end by ``until`` at the latest."""
        self._orders.bound_unknown_holds(until)

    def pause(self) -> None:
        """Send no more orders."""
        self._paused = True
        self._orders.pause()

    def close(self) -> None:
        """End the work."""
        self.pause()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                'work of the keeper failed',
                service=self.service,
                reason=repr(task.exception()),
            )

    async def _run(self) -> None:
        while self._revision is None:
            try:
                await self._load()
            except (StoreUnavailableError, StoreConflictError, ProtocolError) as error:
                logger.warning('table not read', service=self.service, reason=str(error))
                await asyncio.sleep(WRITE_RETRY_S)
        self._spawn(self._renew_until_paused())
        while not self._paused:
            try:
                await self._step()
            except StoreConflictError as error:
                logger.warning('table changed elsewhere', service=self.service, why=str(error))
                if not self._is_leading():
                    return
                await self._load_quietly()
            except StoreUnavailableError as error:
                logger.warning('table not read', service=self.service, reason=str(error))
            await self._pause_until_settled()

    async def _pause_until_settled(self) -> None:
        self._settled.clear()
        try:
            async with asyncio.timeout(PLAN_S):
                await self._settled.wait()
        except TimeoutError:
            return

    async def _renew_until_paused(self) -> None:
        while not self._paused:
            if self._hold_s() is not None:
                self._renew_rows()
            await asyncio.sleep(PLAN_S)

    async def _load_quietly(self) -> None:
        try:
            await self._load()
        except (StoreUnavailableError, StoreConflictError, ProtocolError) as error:
            logger.warning('table not read', service=self.service, reason=str(error))

    async def _load(self) -> None:
        """Read the table and write this keeper's epoch there, so that no other one can.

        :raises StoreConflictError: it was changed in between
        """
        name = TABLE_PREFIX + self.service
        item = await self._parts.store.get(OWNERSHIP_KIND, name)
        if item is None:
            empty = encode(KeyTable([], 0, self._epoch))
            item = await self._parts.store.create(OWNERSHIP_KIND, name, empty)
        table = decode(item.value)
        if table.epoch > self._epoch:
            self._deposed(table.epoch)
            return
        if table.epoch < self._epoch:
            table = KeyTable(table.ranges, table.fence, self._epoch)
            item = await self._parts.store.replace(
                OWNERSHIP_KIND, name, encode(table), expected_revision=item.revision
            )
        for task in self._settling.values():
            task.cancel()
        self._settling = {}
        self._table, self._revision = table, item.revision
        self._stored_table = table
        self._publish(item)
        logger.info(
            'table read', service=self.service, rows=len(table.ranges), fence=table.fence
        )

    async def _step(self) -> None:
        owners = self._owners()
        if self._hold_s() is None:
            return
        if self._may_plan(owners):
            await self._plan(owners)
        if self._unwritten:
            await self._write(self._table)
        self._settle_rows()

    def _may_plan(self, owners: list[OwnerCapacity]) -> bool:
        now = self._parts.clock.monotonic()
        if owners and math.isinf(self._seen_servers_at):
            self._seen_servers_at = now
        if self._table.ranges:
            return bool(owners)
        return now - self._seen_servers_at >= SETTLE_S

    def _owners(self) -> list[OwnerCapacity]:
        now = self._parts.clock.monotonic()
        owners = []
        for server in self._parts.registry.usable(self.service):
            self._orders.seen(server)
            owns_some = any(row.owner == server.life for row in self._table.ranges)
            silent = server.name in self._silent_servers()
            if silent or not self._orders.may_own(server.life, owns_some=owns_some):
                continue
            cold = self._parts.registry.cold_left_s(server) > 0
            service_s = self.demand.estimate_service_s(
                server.name, self._parts.default_service_s(self.service)
            )
            if cold:
                allowed_per_s = max(0.1, self._parts.cold_limit_per_s(self.service))
                service_s = max(service_s, server.slots / allowed_per_s)
            owners.append(
                OwnerCapacity(
                    server.life,
                    server.slots,
                    service_s,
                    accepts_keys=not cold,
                    has_settled_figures=now
                    - self._moved_at_by_life.get(server.life, -math.inf)
                    > SETTLED_S,
                )
            )
        return owners

    async def _plan(self, owners: list[OwnerCapacity]) -> None:
        now = self._parts.clock.monotonic()
        rows = self._with_new_fences()
        target = plan(rows, owners, self.demand.compute_rate_by_key(now))
        if not self._is_planned(target):
            return
        moved = [row for row in target.ranges if row.fence > self._table.fence]
        for row in moved:
            for life in (row.owner, *row.previous_owners):
                self._moved_at_by_life[life] = now
            logger.info(
                'key range moves',
                service=self.service,
                first=row.first,
                last=row.last,
                owner=row.owner[0],
                fence=row.fence,
                previous=[life[0] for life in row.previous_owners],
            )
        await self._write(target)

    def _is_planned(self, target: KeyTable) -> bool:
        return target.fence != self._table.fence

    def _with_new_fences(self) -> KeyTable:
        """Return the table with higher fences where an owner has seen a higher one."""
        refused = self._orders.refused_fences()
        if not refused:
            return self._table
        fence = self._table.fence
        rows = []
        for row in self._table.ranges:
            if row.fence in refused:
                fence += FENCE_STEP
                row = row._replace(fence=fence, live=False)
            rows.append(row)
        return KeyTable(rows, fence, self._epoch)

    async def _write(self, table: KeyTable) -> None:
        """Write ``table``, trying until it is known whether it took effect.

        :raises StoreConflictError: another daemon has written
        """
        assert self._revision is not None
        name = TABLE_PREFIX + self.service
        value = encode(table)
        settled = table is self._table
        while True:
            if not self._is_leading():
                return
            try:
                item = await self._parts.store.replace(
                    OWNERSHIP_KIND, name, value, expected_revision=self._revision
                )
                break
            except StoreUnavailableError as error:
                logger.warning('table not written', service=self.service, reason=str(error))
                await asyncio.sleep(WRITE_RETRY_S)
            except StoreConflictError:
                found = await self._parts.store.get(OWNERSHIP_KIND, name)
                if found is None or found.value != value:
                    raise
                item = found
                break
        self._accept(table, item, settled=settled)

    def _accept(self, table: KeyTable, item: StoredObject, *, settled: bool) -> None:
        self._revision = item.revision
        self._stored_table = table
        if settled:
            # Rows may have settled while the write was under way; they are written next.
            self._unwritten = encode(self._table) != item.value
        else:
            settled_fences = {row.fence for row in self._table.ranges if row.live}
            rows = [
                row._replace(live=True, previous_owners=())
                if row.fence in settled_fences
                else row
                for row in table.ranges
            ]
            self._table = KeyTable(rows, table.fence, self._epoch)
            self._unwritten = encode(self._table) != item.value
        self._publish(item)

    def _publish(self, item: StoredObject) -> None:
        self._parts.ownership_view.apply_object(item)
        if self._revision is None:
            return
        known, self._published = self._published, (self._revision, self._stored_table)
        self.published_at = self._parts.clock.monotonic()
        if known is None or known[0] != self._revision:
            self._announce(pack(self._stored_table, self.service, self._revision, known))

    def update(self) -> TableUpdate | None:
        """Return the message with the whole table as it lies in the store."""
        if self._revision is None:
            return None
        return pack(self._stored_table, self.service, self._revision)

    def admitted(self) -> dict[str, float]:
        """Return the part of their requests that overloaded owners can serve, by name."""
        rates = KeyRates(self.demand.compute_rate_by_key(self._parts.clock.monotonic()))
        load_by_life: dict[Incarnation, float] = {}
        for row in self._table.ranges:
            load = load_by_life.get(row.owner, 0.0) + rates.over(row.first, row.last)
            load_by_life[row.owner] = load
        admitted = {}
        for server in self._parts.registry.usable(self.service):
            usual_s = self._parts.default_service_s(self.service)
            able_per_s = server.slots / self.demand.estimate_service_s(server.name, usual_s)
            load = load_by_life.get(server.life, 0.0)
            if load > HEADROOM * able_per_s:
                admitted[server.name] = round(HEADROOM * able_per_s / load, 3)
        return admitted

    @property
    def revision(self) -> int:
        """The revision of the table in the store, 0 while that is not known."""
        return self._revision or 0

    def _settle_rows(self) -> None:
        fences = {row.fence for row in self._table.ranges}
        for fence in [fence for fence in self._settling if fence not in fences]:
            self._settling.pop(fence).cancel()
        for row in self._table.ranges:
            if not row.live and row.fence not in self._settling:
                self._settling[row.fence] = self._spawn(self._settle(row))

    async def _settle(self, row: KeyRange) -> None:
        """Take a row back from whoever had it, grant it, and note it as live."""
        handover = None
        for life in row.previous_owners:
            handover = await self._orders.reclaim(life, row) or handover
        while not await self._orders.grant(row, handover):
            await asyncio.sleep(ORDER_RETRY_S)
        self._table = KeyTable(
            [
                other._replace(live=True, previous_owners=())
                if other.fence == row.fence
                else other
                for other in self._table.ranges
            ],
            self._table.fence,
            self._epoch,
        )
        self._settling.pop(row.fence, None)
        logger.info(
            'key range granted',
            service=self.service,
            first=row.first,
            last=row.last,
            owner=row.owner[0],
            fence=row.fence,
            handover=handover is not None,
        )
        self._unwritten = True
        if not self._settling:
            self._settled.set()

    def _renew_rows(self) -> None:
        now = self._parts.clock.monotonic()
        for life in dict.fromkeys(row.owner for row in self._table.ranges if row.live):
            due_at = self._renewed_at_by_life.get(life, -math.inf) + RENEW_S
            if now >= due_at and life not in self._renewing:
                self._renewing.add(life)
                self._spawn(self._renew(life))

    async def _renew(self, life: Incarnation) -> None:
        try:
            async with self._orders.lock(life):
                for row in self._table.ranges:
                    due = row.live and row.owner == life
                    if due and not await self._orders.grant(row, None):
                        return
                self._renewed_at_by_life[life] = self._parts.clock.monotonic()
        finally:
            self._renewing.discard(life)
