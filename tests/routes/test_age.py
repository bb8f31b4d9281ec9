"""Tests of the evidence that the configuration of a daemon is current."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

from msgspec import structs

from coltsfootstair.errors import RevisionTooOldError
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    Relay,
    RelayedChanges,
    StoredObject,
    StoreHealth,
    WatchAnswer,
    compose_revision,
    era_of,
)
from coltsfootstair.peers import Heartbeat
from coltsfootstair.routes import ConfigurationAge
from tests.keyspace.model import World
from tests.virtual_time import LoopClock, run

KIND = 'config'
LIST_S = 0.3
WATCH_S = 0.6


class FakeStore:
    """A store whose calls take a while; a watch is answered at the end of its wait."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 5
        self.is_silent = False

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        await asyncio.sleep(LIST_S)
        return Listing([], compose_revision(self.era, self.revision))

    async def watch(
        self, kind: str, after_revision: int, wait_s: float, **_: Any
    ) -> WatchAnswer:
        while self.is_silent:
            await asyncio.sleep(0.05)
        await asyncio.sleep(wait_s)
        if era_of(after_revision) != self.era:
            raise RevisionTooOldError('another era began')
        changes = [
            Change(StoredObject('main', compose_revision(self.era, self.revision), {}), False)
        ]
        return WatchAnswer(changes, compose_revision(self.era, self.revision))

    async def get(self, kind: str, name: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        raise NotImplementedError

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        raise NotImplementedError


class NoSubscriber:
    """Applies nothing."""

    def apply_listing(self, *_: Any, **__: Any) -> None:
        return

    def apply_change(self, *_: Any, **__: Any) -> bool:
        return False


def _follow(
    store: FakeStore, *, is_latest_only: bool = False
) -> tuple[Follower, asyncio.Task[None]]:
    follower = Follower(
        store,
        KIND,
        NoSubscriber(),
        LoopClock(),
        random.Random(1),
        StoreHealth(),
        Relay(),
        0.1,
        20.0,
        WATCH_S,
        is_latest_only=is_latest_only,
    )
    return follower, asyncio.create_task(follower.run())


def _follow_unanswered() -> tuple[Follower, asyncio.Task[None]]:
    """Follow a store that answers no watch, so that nothing but its list is known."""
    store = FakeStore()
    store.is_silent = True
    return _follow(store)


def test_a_list_that_may_be_stale_is_no_evidence() -> None:
    async def work() -> float:
        follower, _ = _follow_unanswered()
        await asyncio.sleep(LIST_S + 0.1)
        assert follower.revision > 0
        return follower.confirmed_at

    assert run(work()) == -math.inf


def test_a_first_list_that_may_be_stale_is_confirmed_at_once() -> None:
    """Guards against a daemon that can deny nothing until its first watch has ended."""

    async def work() -> tuple[float, float]:
        follower, _ = _follow(FakeStore(), is_latest_only=True)
        await asyncio.sleep(LIST_S + 0.1)
        return follower.confirmed_at, asyncio.get_running_loop().time() - 0.1

    confirmed_at, listed_at = run(work())
    assert abs(confirmed_at - listed_at) < 0.02


def test_evidence_is_as_old_as_the_begin_of_the_call_that_gave_it() -> None:
    """Guards against a watch whose answer counts from the time at which it came."""

    async def work() -> tuple[float, float]:
        follower, _ = _follow(FakeStore())
        await asyncio.sleep(LIST_S + WATCH_S + 0.05)
        began_at = asyncio.get_running_loop().time() - WATCH_S - 0.05
        return follower.confirmed_at, began_at

    confirmed_at, began_at = run(work())
    assert abs(confirmed_at - began_at) < 0.02


def test_a_watch_that_waits_is_no_evidence() -> None:
    async def work() -> tuple[float, float]:
        store = FakeStore()
        follower, _ = _follow(store)
        await asyncio.sleep(2.0)
        store.is_silent = True
        await asyncio.sleep(1.0)
        before = follower.confirmed_at
        await asyncio.sleep(4.0)
        return before, follower.confirmed_at

    before, after = run(work())
    assert before == after


def test_a_store_that_is_back_from_an_older_copy_is_no_evidence_at_first() -> None:
    """Guards against keys that the store has forgotten were taken away."""

    async def work() -> tuple[bool, bool]:
        store = FakeStore()
        follower, task = _follow(store)
        await asyncio.sleep(2.0)
        store.era = 2
        restored_at = asyncio.get_running_loop().time()
        # The watch ends and the kind is listed within 1.1 s.
        await asyncio.sleep(2.5)
        is_trusted_early = follower.confirmed_at >= restored_at
        await asyncio.sleep(4.0)
        task.cancel()
        return is_trusted_early, follower.confirmed_at >= restored_at

    assert run(work()) == (False, True)


def test_evidence_of_the_keeper_counts_only_with_its_changes() -> None:
    async def work() -> list[float]:
        follower, task = _follow_unanswered()
        await asyncio.sleep(LIST_S + 0.1)
        task.cancel()
        known = follower.revision
        seen = []
        for revision, confirmed_at in ((known + 1, 90.0), (known, 80.0), (known, 70.0)):
            follower.confirm(revision, confirmed_at)
            seen.append(follower.confirmed_at)
        return seen

    assert run(work()) == [-math.inf, 80.0, 80.0]


def test_evidence_that_comes_before_its_changes_counts_with_them() -> None:
    """Guards against evidence that is never met while changes come faster than heartbeats."""

    async def work() -> list[float]:
        follower, task = _follow_unanswered()
        await asyncio.sleep(LIST_S + 0.1)
        task.cancel()
        known = follower.revision
        follower.confirm(known + 1, 80.0)
        follower.confirm(known + 3, 90.0)
        seen = [follower.confirmed_at]
        for revision in (known + 2, known + 3):
            follower.apply_relayed(RelayedChanges('config', follower.revision, revision, []))
            seen.append(follower.confirmed_at)
        return seen

    assert run(work()) == [-math.inf, 80.0, 90.0]


def test_a_heartbeat_is_as_old_as_the_report_that_it_answers() -> None:
    """Guards against a heartbeat that a slow network, or an earlier process, got."""

    async def work() -> tuple[list[dict[str, float]], float]:
        world = World(1, 2, server_count=1)
        await asyncio.sleep(6.0)
        daemon = next(d for d in world.daemon_by_name.values() if not d.keeper.is_keeper)
        keeper = daemon.keeper
        confirmed: list[dict[str, float]] = []
        keeper._dependencies = keeper._dependencies._replace(
            on_kinds_confirmed=lambda at_by_kind, _revisions: confirmed.append(at_by_kind)
        )
        number, sent_at = next(iter(keeper._report_sent_at_by_number.items()))
        for report_number in (number, number - 1000):
            heartbeat = Heartbeat('d', 1, True, 2, {}, [], {}, [], [], [], report_number)
            keeper._use_evidence(structs.replace(heartbeat, age_s_by_kind={'config': 0.7}))
        return confirmed, sent_at

    confirmed, sent_at = run(work())
    assert confirmed == [{'config': sent_at - 0.7}]


def test_a_configuration_ages_while_the_vm_is_suspended() -> None:
    """Guards against a daemon that goes on with what it knew before it stood still."""

    async def work() -> list[bool]:
        world = World(1, 1, server_count=1)
        clock = world.clock_by_daemon['d0']
        confirmed_at = clock.monotonic()
        strict, lenient = (
            ConfigurationAge(
                clock, lambda: confirmed_at, lambda: True, 2.5, 5.0, is_strict=is_strict
            )
            for is_strict in (True, False)
        )
        states = [strict.is_current, strict.is_recent]
        clock.advance(4.6)
        return [*states, strict.is_current, strict.is_recent, lenient.is_current]

    assert run(work()) == [True, True, False, False, True]


def test_nothing_is_denied_beyond_the_time_in_which_a_version_must_be_in_force() -> None:
    """Guards against one age for all deployments, above the bound of some."""

    async def work() -> list[bool]:
        world = World(1, 1, server_count=1)
        clock = world.clock_by_daemon['d0']
        confirmed_at = clock.monotonic()
        is_readable = True
        age = ConfigurationAge(
            clock, lambda: confirmed_at, lambda: is_readable, 2.0, 5.0, is_strict=False
        )
        clock.advance(1.7)
        states = [age.is_recent]
        is_readable = False
        states.append(age.is_recent)
        is_readable = True
        clock.advance(0.3)
        return [*states, age.is_recent]

    assert run(work()) == [True, False, False]
