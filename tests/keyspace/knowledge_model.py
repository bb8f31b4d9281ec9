"""In-memory model of daemons that follow the entries of backend servers, with faults."""

from __future__ import annotations

import asyncio
import bisect
import random
from typing import Any

from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    RelayedChanges,
    StoredObject,
    StoreHealth,
    WatchAnswer,
)
from tests.keyspace.model import Daemon, ModelStore, World

SERVERS_KIND = 'servers'

TOUCH_S = 3.0
"""Time without a fault after which a daemon is bound by what the store acknowledges, in
seconds."""

DRAIN_S = 2.0
"""Time after which a server that said that it leaves must get nothing, in seconds."""

LINK_QUEUE_GROWTH = 0.8
"""Seconds by which datagrams come later after each second in which a link is too narrow."""


PAGE_SIZE = 3
"""Entries in a page of a list."""

MAX_STALE_AGE_S = 6.0
"""Highest age of a page of a list that may be stale, in seconds."""


class EntryStore(ModelStore):
    """The shared store, which also has the entries of backend servers.

    Each page of a list that may be stale is of another age.
    """

    def __init__(self, world: KnowledgeWorld, daemon: str) -> None:
        super().__init__(world, daemon)
        self._knowledge = world
        self._ages = random.Random(daemon)

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        if kind != SERVERS_KIND:
            return await super().list(kind, may_be_stale=may_be_stale)
        objects: list[StoredObject] = []
        revisions: list[int] = []
        after = ''
        while True:
            await self._simulate_call()
            age_s = self._ages.uniform(0.0, MAX_STALE_AGE_S) if may_be_stale else 0.0
            written = self._knowledge.read_written(age_s)
            by_name = {item.name: item for item in written}
            names = sorted(name for name in by_name if name > after)[:PAGE_SIZE]
            objects.extend(by_name[name] for name in names)
            revisions.append(len(written))
            if len(names) < PAGE_SIZE:
                return Listing.of_pages(objects, revisions)
            after = names[-1]

    async def watch(
        self, kind: str, after_revision: int, wait_s: float, **_: Any
    ) -> WatchAnswer:
        await self._simulate_call()
        world = self._knowledge
        try:
            async with asyncio.timeout(wait_s):
                while world.entry_revision <= after_revision:
                    await world.entry_written.wait()
        except TimeoutError:
            pass
        if not self._is_reachable:
            await asyncio.sleep(world.call_timeout_s)
            raise StoreUnavailableError('the answer to a watch was lost')
        changes = [
            Change(item, False) for item in world.written if item.revision > after_revision
        ]
        return WatchAnswer(changes, world.entry_revision)


class KnownEntries:
    """Records up to which revision a daemon has applied entries."""

    def __init__(self) -> None:
        self.revision = 0

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        self.revision = max(self.revision, listing.revision)

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        self.revision = max(self.revision, change.object.revision)
        return True


class FollowingDaemon(Daemon):
    """A daemon that follows the entries of backend servers."""

    def __init__(self, world: KnowledgeWorld, name: str) -> None:
        self.entries = KnownEntries()
        self._health = StoreHealth()
        super().__init__(world, name)
        self.follower = Follower(
            world.make_store(name),
            SERVERS_KIND,
            self.entries,
            world.clock,
            world.random,
            self._health,
            self.relay,
            watch_pause_s=0.25,
            history_s=20.0,
            max_watch_s=0.6,
            max_evidence_age_s=0.6 * DRAIN_S,
        )
        self.follower.publish_to(self.keeper.publish)
        self.follower_task = asyncio.create_task(self.follower.run())

    def is_store_reachable(self) -> bool:
        return self._health.is_reachable

    def collect_revisions(self) -> dict[str, int]:
        return {SERVERS_KIND: self.follower.revision}

    def collect_ages(self) -> dict[str, float]:
        return {SERVERS_KIND: self.follower.evidence_age_s}

    def confirm(
        self, confirmed_at_by_kind: dict[str, float], revision_by_kind: dict[str, int]
    ) -> None:
        if SERVERS_KIND in confirmed_at_by_kind:
            self.follower.confirm(
                revision_by_kind[SERVERS_KIND], confirmed_at_by_kind[SERVERS_KIND]
            )

    def apply_relayed(self, changes: RelayedChanges) -> None:
        self.follower.apply_relayed(changes)


class KnowledgeWorld(World):
    """Daemons that must know of each written entry in time, whatever their keeper meets.

    :ivar violations: daemons without a fault of their own that knew an entry too late
    """

    call_timeout_s = 1.5

    def __init__(self, seed: int, daemon_count: int) -> None:
        self.written: list[StoredObject] = []
        self.entry_written = asyncio.Event()
        self._written_at: list[float] = []
        self._disturbed_at_by_daemon: dict[str, float] = {}
        self._disturbed_daemons: list[str] = []
        super().__init__(seed, daemon_count, server_count=1)

    def make_daemon(self, name: str) -> FollowingDaemon:
        return FollowingDaemon(self, name)

    def make_store(self, daemon: str) -> EntryStore:
        return EntryStore(self, daemon)

    @property
    def entry_revision(self) -> int:
        return len(self.written)

    def read_written(self, age_s: float) -> list[StoredObject]:
        """Return the entries that were written up to ``age_s`` seconds ago."""
        count = bisect.bisect_right(self._written_at, self.now - age_s)
        return self.written[:count]

    def write_entry(self) -> None:
        """Let a backend server write that it leaves."""
        self.written.append(
            StoredObject(f's{self.random.randrange(9)}', len(self.written) + 1, {})
        )
        self._written_at.append(self.now)
        self.entry_written.set()
        self.entry_written = asyncio.Event()

    def find_keeper(self) -> str:
        """Return the name of the keeper with the highest epoch."""
        known = max(
            (
                daemon.view.lease
                for daemon in self.daemon_by_name.values()
                if daemon.view.lease
            ),
            key=lambda lease: lease.epoch,
        )
        return known.holder

    async def disturb(
        self,
        daemon: str,
        duration_s: float,
        *,
        loses_store: bool = False,
        stands_still: bool = False,
        link_delay_s: float = 0.0,
    ) -> None:
        """Let a daemon meet faults for a time.

        :param stands_still: whether it sends nothing and the store does not answer it
        :param link_delay_s: how much later its datagrams arrive in the end, in seconds; the
            delay grows, as in the queue of a link that is too narrow
        """
        links = {(daemon, other) for other in self._daemon_names} if stands_still else set()
        self._disturbed_daemons.append(daemon)
        if loses_store or stands_still:
            self.daemons_without_store.add(daemon)
        self.cut_links |= links
        began_at = self.now
        while (elapsed_s := self.now - began_at) < duration_s:
            if link_delay_s:
                delay_s = min(link_delay_s, LINK_QUEUE_GROWTH * elapsed_s)
                self.link_delay_s_by_daemon[daemon] = delay_s
            await asyncio.sleep(0.05)
        self._disturbed_daemons.remove(daemon)
        self._disturbed_at_by_daemon[daemon] = self.now
        if daemon not in self._disturbed_daemons:
            self.daemons_without_store.discard(daemon)
            self.link_delay_s_by_daemon.pop(daemon, None)
        self.restore_links(links)

    async def check(self) -> None:
        """Record daemons in touch that know an entry too late, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            due = sum(written_at <= self.now - DRAIN_S for written_at in self._written_at)
            for name, daemon in self.daemon_by_name.items():
                calm_since = self._disturbed_at_by_daemon.get(name, 0.0)
                is_in_touch = (
                    name not in self._disturbed_daemons and self.now - calm_since >= TOUCH_S
                )
                assert isinstance(daemon, FollowingDaemon)
                if is_in_touch and daemon.entries.revision < due:
                    late_s = self.now - self._written_at[daemon.entries.revision]
                    self.violations.append(
                        f'{self.now:.2f}: {name} does not know an entry of {late_s:.2f} s ago'
                    )
