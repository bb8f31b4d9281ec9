"""Tests of following a kind whose lists have pages of different age."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

import pytest
from tests.objects.listed_store import ListedStore
from tests.virtual_time import LoopClock, run

from coltsfootstair.errors import UnusableAnswerError
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    Relay,
    RelayedChanges,
    StoreHealth,
)
from coltsfootstair.supervision import FailureLog, SupervisedTask

KEEPER_DELAY_S = 0.01
"""Time between the keeper's reading of a change and its arrival, in seconds."""

HEARTBEAT_INTERVAL_S = 0.3


class _View:
    """Keeps the values that a follower has passed on, and the order of all changes."""

    def __init__(self) -> None:
        self.value_by_name: dict[str, Any] = {}
        self.events: list[str] = []

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        self.value_by_name = {item.name: item.value for item in listing.objects}
        self.events.append('listed')

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        name = change.object.name
        known = self.value_by_name.pop(name, None)
        if change.deleted:
            self.events.append(f'{name} deleted')
            return True
        self.value_by_name[name] = change.object.value
        self.events.append(f'{name} {change.object.value}')
        # As the registry: what is known already is not worth relaying.
        return bool(known != change.object.value)


def _follow(store: ListedStore, view: _View, relay: Relay | None = None) -> Follower:
    return Follower(
        store,
        'servers',
        view,
        LoopClock(),
        random.Random(1),
        StoreHealth(),
        relay or Relay(),
        0.25,
        20.0,
        max_watch_s=0.6,
        max_evidence_age_s=1.2,
    )


def _draw(*ages_s: float) -> Callable[[], float]:
    """Return a function that draws these ages, one after the other."""
    return itertools.cycle(ages_s).__next__


def _read_values(store: ListedStore) -> dict[str, Any]:
    return {name: item.value for name, item in store.read_state().items()}


def test_no_earlier_state_follows_one_that_a_newer_page_has() -> None:
    """Guards against servers that are joined and gone again in the log for old changes."""

    async def work() -> tuple[dict[str, Any], dict[str, Any], list[str]]:
        # The first page is new, the second one is old.
        store, view = ListedStore(_draw(0.0, 3.0)), _View()
        for name in 'abcdef':
            store.put(name, 'ready')
        await asyncio.sleep(4.0)
        store.put('a', 'other born')
        store.put('a', 'draining')
        store.delete('b')
        store.put('b', 'made again')
        store.put('aa', 'short life')
        store.delete('aa')
        store.put('f', 'draining')
        follower = _follow(store, view)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return _read_values(store), view.value_by_name, view.events

    stored, known, events = run(work())
    assert known == stored
    assert events == ['listed', 'aa deleted', 'f draining']


class _Daemons:
    """A keeper that relays its changes, and a daemon that relies on it."""

    def __init__(self, store: ListedStore, draw_age_s: Callable[[], float]) -> None:
        self.store = store
        self.keeper_view, self.view = _View(), _View()
        self._keeper_store, self.other_store = (
            ListedStore.sharing(store, draw_age_s),
            ListedStore.sharing(store, lambda: 0.0),
        )
        self.keeper_relay, self._relay = Relay(), Relay()
        self.keeper_relay.is_source = True
        self.keeper = _follow(self._keeper_store, self.keeper_view, self.keeper_relay)
        self.other = _follow(self.other_store, self.view, self._relay)
        self.keeper.publish_to(self._relay_changes)
        self.lost_count = 0

    @property
    def keeper_store(self) -> ListedStore:
        return self._keeper_store

    def _relay_changes(self, changes: RelayedChanges) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(KEEPER_DELAY_S, self.other.apply_relayed, changes)

    async def send_heartbeats(self) -> None:
        while True:
            self._relay.set_active(True)
            self._relay.set_keeper_revisions({'servers': self.keeper.revision})
            self.other.confirm(self.keeper.revision, self.keeper.confirmed_at)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def test_what_a_keeper_knows_from_a_page_is_relayed_when_it_comes_as_a_change() -> None:
    """Guards against a keeper that tells others of no change that its own list had."""

    async def work() -> tuple[dict[str, Any], dict[str, Any]]:
        store = ListedStore(lambda: 0.0)
        for name in 'abcdef':
            store.put(name, 'ready')
        daemons = _Daemons(store, _draw(0.0, 3.0))
        tasks = [asyncio.create_task(daemons.other.run())]
        await asyncio.sleep(4.0)
        # The other daemon is at the revision of the old page, and the keeper at that of both.
        daemons.other_store.is_silent = True
        store.put('a', 'draining')
        tasks.append(asyncio.create_task(daemons.send_heartbeats()))
        tasks.append(asyncio.create_task(daemons.keeper.run()))
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        return daemons.keeper_view.value_by_name, daemons.view.value_by_name

    keeper_knows, known = run(work())
    assert keeper_knows['a'] == 'draining'
    assert known == keeper_knows


@pytest.mark.parametrize('is_stale', [True, False])
def test_a_long_list_is_taken_over_while_changes_go_on(is_stale: bool) -> None:
    """Guards against lists that are dropped since a page is older than what is known."""

    async def work() -> tuple[dict[str, Any], dict[str, Any], int]:
        source = random.Random(7)
        store, view = ListedStore(lambda: source.uniform(0.0, 6.0)), _View()
        for number in range(60):
            store.put(f's{number:02}', 0)
        await asyncio.sleep(7.0)
        follower = _follow(store, view)
        if not is_stale:
            # The first list fails, and the next one may not be stale.
            store.errors.append(RuntimeError('a fault of the test'))
        task = asyncio.create_task(follower.run())
        for number in range(1000):
            if task.done():
                task = asyncio.create_task(follower.run())
            store.put(f's{source.randrange(60):02}', number)
            await asyncio.sleep(0.003)
            if number == 500:
                follower.recover()
        await asyncio.sleep(1.0)
        task.cancel()
        return _read_values(store), view.value_by_name, len(store.calls)

    stored, known, call_count = run(work())
    assert known == stored
    assert call_count < 30


def test_a_page_older_than_the_history_leads_to_one_fresh_list() -> None:
    async def work() -> tuple[dict[str, Any], dict[str, Any], list[str]]:
        store, view = ListedStore(_draw(0.0, 5.0)), _View()
        for name in 'abcdef':
            store.put(name, 'ready')
        await asyncio.sleep(6.0)
        store.put('f', 'draining')
        store.oldest_watchable = store.revision
        follower = _follow(store, view)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return _read_values(store), view.value_by_name, store.calls

    stored, known, calls = run(work())
    assert known == stored
    assert calls[:4] == ['stale list', 'watch 0', 'list', 'watch 0.6']


def _play_keeper_that_lists_again(
    *, fails_half_way: bool = False, other_is_ahead: bool = False
) -> tuple[dict[str, Any], dict[str, Any], dict[str, Any], list[str]]:
    """Let a keeper list once more, with five entries deleted that it has not seen deleted.

    :param fails_half_way: whether the keeper lists since its follower has failed
    :param other_is_ahead: whether the other daemon has seen an entry that came meanwhile, and
        that is deleted before the keeper lists
    :return: what is stored, what the keeper knows, what the other daemon knows, and the calls
        of the other daemon after that
    """

    async def work() -> tuple[dict[str, Any], dict[str, Any], dict[str, Any], list[str]]:
        store = ListedStore(lambda: 0.0)
        for number in range(12):
            store.put(f's{number:02}', 'ready')
        daemons = _Daemons(store, lambda: 0.0)
        keeper = SupervisedTask(
            'keeper',
            daemons.keeper.run,
            LoopClock(),
            FailureLog(),
            lambda _task: daemons.keeper.recover(),
        )
        tasks = [asyncio.create_task(keeper.run()), asyncio.create_task(daemons.other.run())]
        await asyncio.sleep(0.1)
        tasks.append(asyncio.create_task(daemons.send_heartbeats()))
        await asyncio.sleep(2.0)
        daemons.keeper_store.errors = [
            RuntimeError('a fault') if fails_half_way else UnusableAnswerError('odd')
        ]
        daemons.keeper_store.is_held = True
        if other_is_ahead:
            store.put('short-lived', 'ready')
            # Longer than the evidence of the keeper counts.
            await asyncio.sleep(1.7)
            assert 'short-lived' in daemons.view.value_by_name
            store.delete('short-lived')
        for number in range(0, 10, 2):
            store.delete(f's{number:02}')
        store.put('s11', 'draining')
        daemons.other_store.calls.clear()
        daemons.keeper_store.is_held = False
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        return (
            _read_values(store),
            daemons.keeper_view.value_by_name,
            daemons.view.value_by_name,
            daemons.other_store.calls,
        )

    return run(work())


@pytest.mark.parametrize('fails_half_way', [False, True])
@pytest.mark.parametrize('other_is_ahead', [False, True])
def test_what_is_missing_from_a_later_list_of_the_keeper_is_gone_at_all_daemons(
    fails_half_way: bool, other_is_ahead: bool
) -> None:
    """The keeper's list was told as changes, and deleted entries stayed at all others."""
    stored, keeper_knows, known, _ = _play_keeper_that_lists_again(
        fails_half_way=fails_half_way, other_is_ahead=other_is_ahead
    )
    assert len(stored) == 7
    assert keeper_knows == stored
    assert known == stored


def test_a_later_list_of_the_keeper_costs_the_other_daemons_no_call() -> None:
    *_, calls = _play_keeper_that_lists_again()
    assert calls == []
