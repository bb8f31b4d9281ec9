"""Tests of reading a large object slowly while the keeper goes on sending its changes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

from tests.virtual_time import LoopClock, run

from coltsfootstair.errors import AnswerTooLargeError
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    Relay,
    RelayedDelta,
    StoredObject,
    StoreHealth,
    WatchAnswer,
    compute_delta,
)


class _LargeStore:
    """Has one object whose list takes long and whose history is too large to read."""

    era = 0

    def __init__(self) -> None:
        self.revision = 1
        self.list_count = 0

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        self.list_count += 1
        item = StoredObject('main', self.revision, {'v': self.revision})
        listing = Listing([item], self.revision)
        await asyncio.sleep(1.8)
        return listing

    async def watch(
        self, kind: str, after_revision: int, wait_s: float, **_: Any
    ) -> WatchAnswer:
        await asyncio.sleep(0.01)
        if after_revision < self.revision:
            raise AnswerTooLargeError('a fault of the test')
        return WatchAnswer([], self.revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        raise NotImplementedError

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        raise NotImplementedError


class _Subscriber:
    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        pass

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        return True


def _build_follower(
    store: _LargeStore, relay: Relay, clock: LoopClock, subscriber: _Subscriber | None = None
) -> Follower:
    return Follower(
        store,
        'configuration',
        subscriber or _Subscriber(),
        clock,
        random.Random(1),
        StoreHealth(),
        relay,
        0.05,
        50.0,
        0.6,
        is_latest_only=True,
    )


async def _play_changes(
    relay: Relay,
    store: _LargeStore,
    follower: Follower,
    clock: LoopClock,
    *,
    loses_first: bool,
) -> list[float]:
    """Send 200 changes in 20 s; return the age of the evidence after each."""
    ages = []
    for number in range(200):
        before, store.revision = store.revision, store.revision + 1
        now = store.revision
        relay.set_keeper_revisions({'configuration': now})
        await asyncio.sleep(0.3 if number == 0 else 0.1)
        if number or not loses_first:
            delta = compute_delta({'v': before}, {'v': now})
            follower.apply_relayed_delta(
                RelayedDelta('configuration', before, now, 'main', before, now, delta)
            )
        follower.confirm(now, clock.monotonic())
        ages.append(clock.monotonic() - follower.confirmed_at)
    return ages


def _play(*, loses_first: bool) -> tuple[int, int, float, int]:
    async def scenario() -> tuple[int, int, float, int]:
        clock, store, relay = LoopClock(), _LargeStore(), Relay()
        follower = _build_follower(store, relay, clock)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(4.0)
        relay.set_active(True)
        ages = await _play_changes(relay, store, follower, clock, loses_first=loses_first)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return follower.revision, store.revision, min(ages[-50:]), store.list_count

    return run(scenario())


def test_a_late_difference_does_not_make_a_list_begin_again_without_end() -> None:
    """Each list was dropped, and meanwhile evidence of the keeper did not count."""
    known, newest, age_s, list_count = _play(loses_first=False)
    assert known == newest
    assert list_count <= 3
    assert age_s < 1.8


def test_a_daemon_that_missed_one_difference_catches_up_while_changes_go_on() -> None:
    """Differences that came during its list were dropped, so each list was outdated."""
    known, newest, age_s, list_count = _play(loses_first=True)
    assert newest - known <= 3
    assert list_count <= 3
    assert age_s < 1.8


def test_a_list_that_is_being_read_is_not_overdue() -> None:
    """A keeper that read a large version slowly told all others that it had no store."""

    async def scenario() -> int:
        clock, store, relay = LoopClock(), _LargeStore(), Relay()
        follower = _build_follower(store, relay, clock)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(4.0)
        store.revision += 1
        overdue_count = 0
        for _ in range(40):
            await asyncio.sleep(0.05)
            overdue_count += follower.is_overdue
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return overdue_count

    assert run(scenario()) == 0


def test_a_difference_that_does_not_fit_ends_no_follower() -> None:
    """Guards against a list that can't be applied, since a wrong difference waits for it."""

    async def scenario() -> int:
        clock, store, relay = LoopClock(), _LargeStore(), Relay()
        follower = _build_follower(store, relay, clock)
        delta = compute_delta([1], [1, 2])
        follower.apply_relayed_delta(RelayedDelta('configuration', 1, 2, 'main', 1, 2, delta))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(4.0)
        assert not task.done()
        task.cancel()
        return follower.revision

    assert run(scenario()) == 1


def test_a_difference_does_not_stand_for_a_lost_change_of_another_object() -> None:
    """A change of one object counted as evidence that no other had changed before it."""

    class Store(_LargeStore):
        async def watch(
            self, kind: str, after_revision: int, wait_s: float, **_: Any
        ) -> WatchAnswer:
            await asyncio.sleep(wait_s or 0.01)
            changes = [
                Change(StoredObject('other', 2, {'v': 2}), False),
                Change(StoredObject('main', 3, {'v': 3}), False),
            ]
            return WatchAnswer(
                [change for change in changes if after_revision < change.object.revision]
                if self.revision == 3
                else [],
                self.revision,
            )

    class Subscriber(_Subscriber):
        def apply_change(self, change: Change, *, after_outage: bool) -> bool:
            known.append((change.object.name, change.object.revision))
            return True

    known: list[tuple[str, int]] = []

    async def scenario() -> tuple[int, float]:
        clock, store, relay = LoopClock(), Store(), Relay()
        follower = _build_follower(store, relay, clock, Subscriber())
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(3.0)
        relay.set_active(True)
        await asyncio.sleep(1.0)
        store.revision = 3
        # The message with the change at revision 2 was lost.
        delta = compute_delta({'v': 1}, {'v': 3})
        follower.apply_relayed_delta(RelayedDelta('configuration', 2, 3, 'main', 1, 3, delta))
        revision_before = follower.revision
        relay.set_keeper_revisions({'configuration': 3})
        await asyncio.sleep(1.0)
        task.cancel()
        return revision_before, follower.revision

    assert run(scenario()) == (1, 3)
    assert dict(known) == {'other': 2, 'main': 3}
