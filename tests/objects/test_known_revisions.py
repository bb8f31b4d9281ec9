"""Drawn plays of followers: whoever has a revision knows all changes up to it."""

from __future__ import annotations

import asyncio
import random

import pytest
from tests.objects.listed_store import ListedStore
from tests.virtual_time import LoopClock, run

from coltsfootstair.errors import StoreUnavailableError, UnusableAnswerError
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    Relay,
    RelayedChanges,
    RelayedDelta,
    StoreHealth,
    compute_delta,
)
from coltsfootstair.supervision import FailureLog, SupervisedTask

PLAY_S = 30.0
DAEMON_COUNT = 4
NAME_COUNT = 12
SETTLING_TIME_S = 6.0
"""Time without faults after which all daemons know the latest state, in seconds."""


class _View:
    """Keeps the revision of each object that a follower has passed on."""

    def __init__(self, source: random.Random) -> None:
        self.revision_by_name: dict[str, int] = {}
        self.fails_next = False
        self._random = source

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        self._fail_if_told()
        self.revision_by_name = {item.name: item.revision for item in listing.objects}

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        self._fail_if_told()
        name = change.object.name
        known = self.revision_by_name.pop(name, None)
        if change.deleted:
            return True
        self.revision_by_name[name] = change.object.revision
        return known != change.object.revision

    def _fail_if_told(self) -> None:
        if self.fails_next:
            self.fails_next = False
            raise RuntimeError('a fault of the test')


class _Daemon:
    """A daemon with a follower, its link to the store, and datagrams of the keeper."""

    def __init__(self, world: _World, number: int) -> None:
        self._world = world
        source = world.random
        self.store = ListedStore.sharing(world.store, lambda: source.uniform(0.0, 6.0))
        self.view = _View(source)
        self.relay = Relay()
        self.relay.is_source = number == 0
        self.follower = Follower(
            self.store,
            'servers',
            self.view,
            LoopClock(),
            random.Random(number),
            StoreHealth(),
            self.relay,
            0.1,
            20.0,
            max_watch_s=0.6,
            max_evidence_age_s=1.2,
            is_latest_only=world.is_large,
        )
        self._supervised = SupervisedTask(
            f'd{number}',
            self.follower.run,
            LoopClock(),
            FailureLog(),
            lambda _task: self.follower.recover(),
        )
        self.task = asyncio.create_task(self._supervised.run())

    def receive(self, message: RelayedChanges | RelayedDelta) -> None:
        try:
            if isinstance(message, RelayedDelta):
                self.follower.apply_relayed_delta(message)
            else:
                self.follower.apply_relayed(message)
        except RuntimeError:
            return  # As for a datagram that can't be handled.


def _build_delta(relayed: RelayedChanges) -> RelayedDelta | None:
    """Return what a single change of an object that was known before differs in."""
    if len(relayed.changes) != 1:
        return None
    change = relayed.changes[0]
    if change.before is None or change.deleted:
        return None
    return RelayedDelta(
        relayed.kind,
        relayed.after_revision,
        relayed.revision,
        change.object.name,
        change.before.revision,
        change.object.revision,
        compute_delta(change.before.value, change.object.value),
        relayed.is_difference,
    )


class _World:
    """Daemons of which the first is the keeper, and what they must know.

    :param is_large: whether the objects are large, so that only what differs is relayed
    """

    def __init__(self, seed: int, *, is_large: bool) -> None:
        self.random = random.Random(seed)
        self.is_large = is_large
        self.store = ListedStore(lambda: 0.0)
        self.has_faults = True
        self.daemons: list[_Daemon] = []
        self.violations: list[str] = []

    def start(self, number: int) -> None:
        daemon = _Daemon(self, number)
        if number == 0:
            daemon.follower.publish_to(self._relay_changes)
        self.daemons[number : number + 1] = [daemon]

    def _relay_changes(self, changes: RelayedChanges) -> None:
        loop = asyncio.get_running_loop()
        message = _build_delta(changes) or changes
        for daemon in self.daemons[1:]:
            if self.has_faults and self.random.random() < 0.2:
                continue  # Lost.
            delay_s = self.random.choice((0.001, 0.01, 0.3)) if self.has_faults else 0.001
            loop.call_later(delay_s, daemon.receive, message)

    async def send_heartbeats(self) -> None:
        while True:
            follower = self.daemons[0].follower
            revision, confirmed_at = follower.revision, follower.confirmed_at
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
            for daemon in self.daemons[1:]:
                daemon.relay.set_active(True)
                daemon.relay.set_keeper_revisions({'servers': revision})
                daemon.follower.confirm(revision, confirmed_at)
            await asyncio.sleep(0.3)

    def write(self) -> None:
        name = f's{self.random.randrange(NAME_COUNT):02}'
        if name in self.store.read_state() and self.random.random() < 0.4:
            self.store.delete(name)
        else:
            self.store.put(name, {'n': self.store.revision})

    def disturb(self) -> None:
        number = self.random.randrange(DAEMON_COUNT)
        daemon = self.daemons[number]
        match self.random.choice(
            ('unusable', 'silent', 'answers', 'fails', 'restart', 'gone')
        ):
            case 'unusable':
                daemon.store.errors.append(UnusableAnswerError('odd'))
            case 'silent':
                daemon.store.errors += [StoreUnavailableError('no answer')] * 3
            case 'answers':
                daemon.store.is_silent = not daemon.store.is_silent
            case 'fails':
                daemon.view.fails_next = True
            case 'restart':
                daemon.task.cancel()
                self.start(number)
            case 'gone':
                self.store.forget_history()

    def check(self) -> None:
        for number, daemon in enumerate(self.daemons):
            follower = daemon.follower
            if not follower.revision or follower._must_list:
                continue
            self._check_view(number, daemon)
            known_before = sum(write.at < follower.confirmed_at for write in self.store.writes)
            if known_before > follower.revision:
                self.violations.append(
                    f'd{number} has evidence of {known_before}, knows {follower.revision}'
                )

    def _check_view(self, number: int, daemon: _Daemon) -> None:
        revision = daemon.follower.revision
        allowed: dict[str, set[int | None]] = {}
        for write in self.store.writes:
            name = write.change.object.name
            state = None if write.change.deleted else write.change.object.revision
            if write.revision <= revision:
                allowed[name] = {state}
            else:
                allowed.setdefault(name, {None}).add(state)
        for name, states in allowed.items():
            known = daemon.view.revision_by_name.get(name)
            if known not in states:
                self.violations.append(
                    f'd{number} at {revision}: {name} is {known}, allowed: {states}'
                )


async def _play(seed: int, *, is_large: bool) -> tuple[list[str], list[int]]:
    """Return what daemons did not know at some moment, and which of them at the end."""
    world = _World(seed, is_large=is_large)
    for _ in range(20):
        world.write()
    for number in range(DAEMON_COUNT):
        world.start(number)
    heartbeats = asyncio.create_task(world.send_heartbeats())
    loop = asyncio.get_running_loop()
    end_at = loop.time() + PLAY_S
    while loop.time() < end_at:
        await asyncio.sleep(world.random.choice((0.002, 0.02, 0.2)))
        if world.random.random() < 0.7:
            world.write()
        elif world.random.random() < 0.3:
            world.disturb()
        world.check()
    world.has_faults = False
    for daemon in world.daemons:
        daemon.store.is_silent = False
        daemon.store.errors.clear()
        daemon.view.fails_next = False
    await asyncio.sleep(SETTLING_TIME_S)
    world.check()
    stored = {name: item.revision for name, item in world.store.read_state().items()}
    late = [
        number
        for number, daemon in enumerate(world.daemons)
        if daemon.view.revision_by_name != stored
    ]
    heartbeats.cancel()
    for daemon in world.daemons:
        daemon.task.cancel()
    return world.violations, late


@pytest.mark.parametrize('is_large', [False, True])
@pytest.mark.parametrize('seed', range(24))
def test_a_revision_and_its_evidence_stand_for_all_changes_before(
    seed: int, is_large: bool
) -> None:
    """Guards against changes that nobody asks for any more, since a revision hides them."""
    violations, late = run(_play(seed, is_large=is_large))
    assert violations == []
    assert late == []
