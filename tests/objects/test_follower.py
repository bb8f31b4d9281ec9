"""Tests of following a kind of object when the store is down or no longer has the changes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

from tests.virtual_time import LoopClock, run

from coltsfootstair.errors import (
    AnswerTooLargeError,
    RevisionTooOldError,
    StoreUnavailableError,
    UnusableAnswerError,
)
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
)
from coltsfootstair.supervision import FailureLog, SupervisedTask


class ScriptedStore:
    """Answers lists and watches from a script; gives no answers once the script has ended."""

    era = 0

    def __init__(self, *script: Any) -> None:
        self.script = list(script)
        self.calls: list[str] = []
        self.listed_stale: list[bool] = []

    async def _next(self, call: str) -> Any:
        self.calls.append(call)
        await asyncio.sleep(0.01)
        if not self.script:
            await asyncio.Event().wait()
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        self.listed_stale.append(may_be_stale)
        listing: Listing = await self._next('list')
        return listing

    async def watch(
        self, kind: str, after_revision: int, wait_s: float, **_: Any
    ) -> WatchAnswer:
        changes: WatchAnswer = await self._next(f'watch {after_revision} {wait_s:g}')
        return changes

    async def get(self, kind: str, name: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        raise NotImplementedError

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        raise NotImplementedError


class RecordingSubscriber:
    """Records what a follower passes on, and whether it may be an effect of an outage."""

    def __init__(self) -> None:
        self.events: list[tuple[str, bool]] = []
        self.odd_name = ''

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        names = ' '.join(item.name for item in listing.objects)
        verb = 'restored' if is_restored else 'listed'
        self.events.append((f'{verb} {names}', after_outage))

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        if change.object.name == self.odd_name:
            raise RuntimeError('a fault of the test')
        verb = 'deleted' if change.deleted else 'changed'
        self.events.append((f'{verb} {change.object.name}', after_outage))
        return True


def _object(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, {})


def _run_follower(
    store: ScriptedStore, duration_s: float = 5.0, history_s: float = 50.0
) -> RecordingSubscriber:
    async def scenario() -> RecordingSubscriber:
        subscriber = RecordingSubscriber()
        clock = LoopClock()
        follower = Follower(
            store,
            'servers',
            subscriber,
            clock,
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            history_s,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(duration_s)
        task.cancel()
        return subscriber

    return run(scenario())


def test_a_follower_lists_once_and_watches_from_each_revision() -> None:
    store = ScriptedStore(
        Listing([_object('a', 3)], 5),
        WatchAnswer([], 5),
        WatchAnswer([Change(_object('b', 6), False)], 6),
    )
    subscriber = _run_follower(store)
    assert subscriber.events == [('listed a', False), ('changed b', False)]
    assert store.calls == ['list', 'watch 5 0', 'watch 5 30', 'watch 6 30']


def test_a_watch_ends_before_its_revision_is_older_than_the_history() -> None:
    """22 daemons listed all objects again when their watches of 30 s ended."""
    store = ScriptedStore(Listing([], 5), WatchAnswer([], 5), WatchAnswer([], 9))
    _run_follower(store, history_s=20.0)
    assert store.calls == ['list', 'watch 5 0', 'watch 5 12', 'watch 9 12']


def test_only_the_first_list_may_return_a_stale_state() -> None:
    """195 daemons that started together made 2,800 full-price calls to list all servers."""
    store = ScriptedStore(Listing([], 5), RevisionTooOldError('too old'), Listing([], 9))
    _run_follower(store)
    assert store.listed_stale == [True, False]


def test_a_follower_lists_again_when_the_store_no_longer_has_the_changes() -> None:
    store = ScriptedStore(Listing([], 5), RevisionTooOldError('too old'), Listing([], 9))
    _run_follower(store)
    assert store.calls == ['list', 'watch 5 0', 'list', 'watch 9 30']


def test_deletions_after_an_outage_are_marked_as_possible_effects_of_it() -> None:
    store = ScriptedStore(
        Listing([_object('a', 3)], 5),
        StoreUnavailableError('down'),
        StoreUnavailableError('down'),
        WatchAnswer([Change(_object('a', 7), True)], 7),
    )
    subscriber = _run_follower(store)
    assert subscriber.events[-1] == ('deleted a', True)
    assert store.calls[2:4] == ['watch 5 0', 'watch 5 0']


def test_one_follower_of_a_daemon_retries_while_the_store_is_down() -> None:
    async def scenario() -> list[int]:
        down = [StoreUnavailableError('down') for _ in range(40)]
        stores = [ScriptedStore(*down) for _ in range(3)]
        health = StoreHealth()
        clock = LoopClock()
        tasks = [
            asyncio.create_task(
                Follower(
                    store,
                    'k',
                    RecordingSubscriber(),
                    clock,
                    random.Random(1),
                    health,
                    Relay(),
                    0.1,
                    50.0,
                ).run()
            )
            for store in stores
        ]
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        assert not health.is_reachable
        return sorted(len(store.calls) for store in stores)

    calls = run(scenario())
    assert calls[0] == calls[1] == 1
    # The delays between the calls are at most 0.5 s, so that 6 s have more than 8 calls.
    assert calls[2] > 8


def _follow_with_relay(
    *, does_change_arrive: bool, relay_stops: bool = False
) -> tuple[list[str], list[str]]:
    """Follow while a keeper has read revision 9 and this daemon knows revision 5.

    Returns the events of the subscriber and the calls of the store.

    :param does_change_arrive: whether the keeper's message with the change arrives
    :param relay_stops: whether the relay stops afterwards
    """

    async def scenario() -> tuple[list[str], list[str]]:
        store = ScriptedStore(
            Listing([], 5),
            WatchAnswer([Change(_object('b', 9), False)], 9),
            WatchAnswer([], 9),
        )
        subscriber = RecordingSubscriber()
        relay = Relay()
        relay.set_active(True)
        follower = Follower(
            store,
            'servers',
            subscriber,
            LoopClock(),
            random.Random(1),
            StoreHealth(),
            relay,
            0.1,
            50.0,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        if does_change_arrive:
            changes = [Change(_object('b', 9), False)]
            follower.apply_relayed(RelayedChanges('servers', 5, 9, changes))
        relay.set_keeper_revisions({'servers': 9})
        await asyncio.sleep(1.0)
        if relay_stops:
            relay.set_active(False)
            await asyncio.sleep(1.0)
        task.cancel()
        return [name for name, _ in subscriber.events], store.calls

    return run(scenario())


def test_relayed_changes_need_no_call_of_the_store() -> None:
    assert _follow_with_relay(does_change_arrive=True) == (['listed ', 'changed b'], ['list'])


def test_a_change_that_did_not_arrive_is_read_from_the_store() -> None:
    assert _follow_with_relay(does_change_arrive=False) == (
        ['listed ', 'changed b'],
        ['list', 'watch 5 0'],
    )


def test_the_store_is_watched_at_once_when_the_relay_stops() -> None:
    _, calls = _follow_with_relay(does_change_arrive=True, relay_stops=True)
    assert calls[1] == 'watch 9 0'


def test_relayed_changes_with_a_gap_or_already_known_are_ignored() -> None:
    async def scenario() -> list[tuple[str, bool]]:
        subscriber = RecordingSubscriber()
        follower = Follower(
            ScriptedStore(Listing([], 5)),
            'servers',
            subscriber,
            LoopClock(),
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        follower.apply_relayed(
            RelayedChanges('servers', 7, 9, [Change(_object('b', 9), False)])
        )
        follower.apply_relayed(
            RelayedChanges('servers', 2, 5, [Change(_object('c', 4), False)])
        )
        task.cancel()
        return subscriber.events

    assert run(scenario()) == [('listed ', False)]


def test_a_listing_of_a_later_era_is_passed_on_as_restored() -> None:
    store = ScriptedStore(
        Listing([_object('a', compose_revision(1, 3))], compose_revision(1, 5)),
        RevisionTooOldError('another era'),
        Listing([], compose_revision(2, 4)),
        RevisionTooOldError('too old'),
        Listing([], compose_revision(2, 40)),
    )
    subscriber = _run_follower(store)
    assert subscriber.events == [
        ('listed a', False),
        ('restored ', True),
        ('listed ', True),
    ]


def test_a_watch_that_is_not_answered_in_time_is_replaced_at_once() -> None:
    """Guards against waiting for an answer that was lost, while the store is up."""
    gap = object()

    class DeafStore(ScriptedStore):
        async def watch(
            self, kind: str, after_revision: int, wait_s: float, **_: Any
        ) -> WatchAnswer:
            if self.script and self.script[0] is gap:
                self.script.pop(0)
                self.calls.append('lost')
                await asyncio.Event().wait()
            return await super().watch(kind, after_revision, wait_s)

    async def scenario() -> list[tuple[bool, int]]:
        clock = LoopClock()
        follower = Follower(
            store,
            'servers',
            RecordingSubscriber(),
            clock,
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
            max_watch_s=0.6,
        )
        task = asyncio.create_task(follower.run())
        seen = []
        for _ in range(6):
            await asyncio.sleep(0.2)
            seen.append((follower.is_overdue, follower.revision))
        task.cancel()
        return seen

    change = Change(_object('b', 6), False)
    store = DeafStore(
        Listing([_object('a', 3)], 5), WatchAnswer([], 5), gap, WatchAnswer([change], 6)
    )
    seen = run(scenario())
    assert store.calls == ['list', 'watch 5 0', 'lost', 'watch 5 0', 'watch 6 0.6']
    assert [revision for _, revision in seen] == [5, 5, 5, 5, 5, 6]
    assert not any(is_overdue for is_overdue, _ in seen)


def test_an_unusable_answer_is_no_outage_and_holds_no_other_kind_up() -> None:
    """One kind's list was refused again and again, and all kinds waited for its follower."""

    async def scenario() -> None:
        clock, health, relay = LoopClock(), StoreHealth(), Relay()
        health.record_failure('another follower')
        stores = [
            ScriptedStore(*[UnusableAnswerError('odd')] * 30, Listing([_object('a', 3)], 5)),
            ScriptedStore(Listing([_object('b', 3)], 5), WatchAnswer([], 5)),
        ]
        subscribers = [RecordingSubscriber(), RecordingSubscriber()]
        followers = [
            Follower(
                store, kind, subscriber, clock, random.Random(1), health, relay, 0.1, 50.0
            )
            for store, subscriber, kind in zip(
                stores, subscribers, ('servers', 'config'), strict=True
            )
        ]
        tasks = [asyncio.create_task(follower.run()) for follower in followers]
        await asyncio.sleep(5.0)
        assert health.is_reachable
        assert subscribers[0].events == []
        assert subscribers[1].events == [('listed b', False)]
        assert followers[0].activity == 'the first list is awaited'
        await asyncio.sleep(15.0)
        assert subscribers[0].events == [('listed a', False)]
        for task in tasks:
            task.cancel()

    run(scenario())


def test_a_history_that_is_too_large_is_replaced_by_the_latest_state() -> None:
    """Guards against reading each version in full, of which only the last one counts."""

    async def work() -> tuple[list[tuple[str, bool]], list[RelayedChanges]]:
        subscriber = RecordingSubscriber()
        published: list[RelayedChanges] = []
        follower = Follower(
            store,
            'config',
            subscriber,
            LoopClock(),
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
            is_latest_only=True,
        )
        follower.publish_to(published.append)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return subscriber.events, published

    store = ScriptedStore(
        Listing([_object('main', 3)], 5),
        AnswerTooLargeError('history'),
        Listing([_object('main', 90), _object('other', 4)], 95),
    )
    events, published = run(work())
    assert events == [('listed main', False), ('listed main other', False)]
    assert store.calls == ['list', 'watch 5 0', 'list', 'watch 95 30']
    assert store.listed_stale == [True, False]
    change = Change(_object('main', 90), False, _object('main', 3))
    assert published == [RelayedChanges('config', 5, 95, [change], is_difference=True)]


def _start_supervised(
    store: ScriptedStore, subscriber: RecordingSubscriber, health: StoreHealth, relay: Relay
) -> Follower:
    clock = LoopClock()
    follower = Follower(
        store, 'servers', subscriber, clock, random.Random(1), health, relay, 0.1, 50.0
    )
    supervised = SupervisedTask(
        'follower', follower.run, clock, FailureLog(), lambda _task: follower.recover()
    )
    follower.task = asyncio.create_task(supervised.run())  # type: ignore[attr-defined]
    return follower


def test_a_follower_lists_anew_after_a_change_that_failed_half_way() -> None:
    async def scenario() -> list[str]:
        store = ScriptedStore(
            Listing([], 5),
            WatchAnswer([], 5),
            WatchAnswer([Change(_object('odd', 6), False), Change(_object('b', 7), False)], 7),
            Listing([_object('b', 7)], 7),
        )
        subscriber = RecordingSubscriber()
        subscriber.odd_name = 'odd'
        _start_supervised(store, subscriber, StoreHealth(), Relay())
        await asyncio.sleep(5.0)
        assert store.calls[:4] == ['list', 'watch 5 0', 'watch 5 30', 'list']
        return [event for event, _ in subscriber.events]

    assert run(scenario()) == ['listed ', 'listed b']


def test_relayed_changes_that_failed_half_way_are_neither_confirmed_nor_lost() -> None:
    async def scenario() -> list[str]:
        store = ScriptedStore(Listing([], 5), Listing([_object('b', 7)], 7))
        subscriber = RecordingSubscriber()
        subscriber.odd_name = 'odd'
        relay = Relay()
        relay.set_active(True)
        follower = _start_supervised(store, subscriber, StoreHealth(), relay)
        await asyncio.sleep(1.0)
        changes = [Change(_object('odd', 6), False), Change(_object('b', 7), False)]
        with contextlib.suppress(RuntimeError):
            follower.apply_relayed(RelayedChanges('servers', 5, 7, changes))
        now = asyncio.get_running_loop().time()
        follower.confirm(7, now)
        assert follower.confirmed_at < now
        relay.set_keeper_revisions({'servers': 7})
        await asyncio.sleep(1.0)
        return [event for event, _ in subscriber.events]

    assert run(scenario()) == ['listed ', 'listed b']


def test_followers_do_not_wait_for_one_that_has_failed() -> None:
    """The one that retried while the store was away ended, and all others waited for ever."""

    async def scenario() -> list[str]:
        health = StoreHealth()
        failing = ScriptedStore(
            Listing([], 5), StoreUnavailableError('down'), RuntimeError('a fault of the test')
        )
        waiting = ScriptedStore(
            Listing([], 5), StoreUnavailableError('down'), WatchAnswer([], 9)
        )
        for store in (failing, waiting):
            _start_supervised(store, RecordingSubscriber(), health, Relay())
        await asyncio.sleep(10.0)
        assert health.is_reachable
        return waiting.calls

    assert 'watch 9 30' in run(scenario())


def test_a_kind_is_listed_if_the_answer_to_its_watch_can_not_be_used() -> None:
    store = ScriptedStore(
        Listing([_object('a', 3)], 5),
        WatchAnswer([], 5),
        UnusableAnswerError('odd'),
        UnusableAnswerError('odd'),
        UnusableAnswerError('odd'),
        Listing([_object('a', 3), _object('b', 6)], 6),
        WatchAnswer([Change(_object('c', 7), False)], 7),
    )
    subscriber = _run_follower(store)
    assert [event for event, _ in subscriber.events] == [
        'listed a',
        'listed a b',
        'changed c',
    ]
    assert store.calls == [
        'list',
        'watch 5 0',
        'watch 5 30',
        'list',
        'watch 5 30',
        'list',
        'watch 6 30',
        'watch 7 30',
    ]


def test_a_watch_whose_answer_comes_slowly_is_not_replaced() -> None:
    """Guards against a watch that is taken for dead in the middle of its answer."""

    class SlowStore(ScriptedStore):
        async def watch(
            self, kind: str, after_revision: int, wait_s: float, **options: Any
        ) -> WatchAnswer:
            on_answer = options.get('on_answer')
            if on_answer is not None and wait_s:
                await asyncio.sleep(wait_s)
                on_answer()
                await asyncio.sleep(2.0)
            return await super().watch(kind, after_revision, wait_s)

    async def scenario() -> bool:
        clock = LoopClock()
        subscriber = RecordingSubscriber()
        follower = Follower(
            store,
            'servers',
            subscriber,
            clock,
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
            max_watch_s=0.6,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(2.0)
        was_overdue = follower.is_overdue
        await asyncio.sleep(1.0)
        task.cancel()
        assert subscriber.events == [('listed a', False), ('changed b', False)]
        return was_overdue

    change = Change(_object('b', 6), False)
    store = SlowStore(
        Listing([_object('a', 3)], 5), WatchAnswer([], 5), WatchAnswer([change], 6)
    )
    assert not run(scenario())
    assert store.calls[:3] == ['list', 'watch 5 0', 'watch 5 0.6']


def test_an_answer_of_an_earlier_state_proves_nothing() -> None:
    """Guards against evidence from a store that answers from before what was asked for."""

    async def scenario() -> tuple[list[str], bool, bool]:
        store = ScriptedStore(
            Listing([], 5), WatchAnswer([], 5), WatchAnswer([], 4), Listing([], 3)
        )
        clock = LoopClock()
        follower = Follower(
            store,
            'servers',
            RecordingSubscriber(),
            clock,
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
            max_watch_s=0.6,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.025)
        told_at = follower.confirmed_at
        await asyncio.sleep(3.0)
        task.cancel()
        return store.calls, told_at > 0.0, follower.confirmed_at == told_at

    calls, was_told, proves_nothing = run(scenario())
    assert calls[:5] == ['list', 'watch 5 0', 'watch 5 0.6', 'list', 'watch 5 0.6']
    assert was_told
    assert proves_nothing


def test_a_follower_whose_history_is_gone_has_no_evidence_for_an_earlier_revision() -> None:
    """A keeper vouched with it for revision 0, so for any state that the others had."""

    async def scenario() -> tuple[int, bool]:
        store = ScriptedStore(
            Listing([], 5), WatchAnswer([], 5), RevisionTooOldError('too old')
        )
        follower = Follower(
            store,
            'servers',
            RecordingSubscriber(),
            LoopClock(),
            random.Random(1),
            StoreHealth(),
            Relay(),
            0.1,
            50.0,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(2.0)
        task.cancel()
        assert store.calls[-1] == 'list'
        return follower.revision, follower.evidence_age_s < 2.0

    assert run(scenario()) == (5, True)
