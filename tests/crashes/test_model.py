"""Tests of many daemons that learn which request ends its servers, in a model."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
from tests import virtual_time
from tests.keyspace.model import Daemon, ModelStore, World

from coltsfootstair.clock import ManualClock
from coltsfootstair.crashes import (
    TRIAL_INTERVAL_S,
    SuspectArchive,
    SuspectRequests,
    TrialScheduler,
    Verdict,
)

CRASHING = (b'crashing', b'crashing caller')
POPULAR = (b'popular', b'popular caller')
RUN_S = 0.1
KNOWN_AFTER_S = 3.0
MAX_LATER_SENDS = 3


class ArchivingDaemon(Daemon):
    """A daemon with the archive of crashes."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        clock = world.clock_by_daemon[name]
        self.archive = SuspectArchive(
            world.make_store(name), self.suspects, clock, lambda: self.keeper.is_keeper
        )
        self.archive_task = asyncio.create_task(self.archive.run())


class ArchivingWorld(World):
    """Daemons with the archive of crashes."""

    daemon_by_name: dict[str, ArchivingDaemon]  # type: ignore[assignment]

    def make_daemon(self, name: str) -> Daemon:
        return ArchivingDaemon(self, name)

    def restart_daemon(self, name: str) -> None:
        self.daemon_by_name[name].archive_task.cancel()
        super().restart_daemon(name)


class Load:
    """A request that ends its servers comes again, beside a popular one.

    Each crash also ends the popular request at the same server.
    """

    def __init__(self, world: ArchivingWorld, repeat_s: float) -> None:
        self.world = world
        self.repeat_s = repeat_s
        self.crashes_at: list[float] = []
        self.popular_refused_count = 0
        self.popular_count = 0

    async def play(self, duration_s: float) -> None:
        ends_at = self.world.now + duration_s
        await asyncio.gather(self._repeat_crashing(ends_at), self._repeat_popular(ends_at))

    async def _repeat_crashing(self, ends_at: float) -> None:
        while self.world.now < ends_at:
            daemon = self._choose_daemon()
            is_trial = await self._judge(daemon, CRASHING)
            if is_trial is not None:
                await self._crash(daemon, is_trial)
            await asyncio.sleep(self.world.random.uniform(0.5, 1.5) * self.repeat_s)

    async def _crash(self, daemon: ArchivingDaemon, is_trial: bool) -> None:
        sent_at = self.world.now
        bystander = self._choose_daemon()
        bystander_is_trial = await self._judge(bystander, POPULAR)
        await asyncio.sleep(RUN_S)
        self.crashes_at.append(self.world.now)
        server = (f's{len(self.crashes_at)}', 1)
        daemon.suspects.record_crash(
            CRASHING, server, sent_at, self.world.now, is_trial=is_trial
        )
        if bystander_is_trial is not None:
            bystander.suspects.record_crash(
                POPULAR, server, sent_at, self.world.now, is_trial=bystander_is_trial
            )

    async def _repeat_popular(self, ends_at: float) -> None:
        while self.world.now < ends_at:
            await asyncio.sleep(self.world.random.expovariate(10.0))
            daemon = self._choose_daemon()
            self.popular_count += 1
            if await self._judge(daemon, POPULAR) is None:
                self.popular_refused_count += 1
                continue
            await asyncio.sleep(RUN_S)
            daemon.suspects.record_run(POPULAR)

    async def _judge(
        self, daemon: ArchivingDaemon, request: tuple[bytes, bytes]
    ) -> bool | None:
        """Return whether a request is a trial; ``None`` if it is not sent."""
        await daemon.archive.wait_for_first_read()
        match daemon.suspects.judge(request):
            case Verdict.FREE:
                return False
            case Verdict.HELD if await daemon.trials.ask(request[0]):
                return True
        return None

    def _choose_daemon(self) -> ArchivingDaemon:
        return self.world.random.choice(list(self.world.daemon_by_name.values()))

    def count_later_sends(self) -> int:
        known_at = self.crashes_at[2] + KNOWN_AFTER_S
        return sum(at - RUN_S > known_at for at in self.crashes_at)


Fault = Callable[[World], None]


def _restart_keeper(world: World) -> None:
    for daemon in list(world.daemon_by_name.values()):
        if daemon.keeper.is_keeper:
            world.restart_daemon(daemon.name)


def _stop_store(world: World) -> None:
    world.daemons_without_store.update(world.daemon_by_name)


def _restart_some(world: World) -> None:
    for name in list(world.daemon_by_name)[::2]:
        world.restart_daemon(name)


FAULTS: dict[str, dict[float, Fault]] = {
    'none': {},
    'keeper restarts': dict.fromkeys((2.0, 5.0, 9.0), _restart_keeper),
    'store away': {1.0: _stop_store},
    'half of the daemons restart': dict.fromkeys((6.0, 12.0), _restart_some),
}


async def _play(
    seed: int, daemon_count: int, repeat_s: float, faults: dict[float, Fault]
) -> Load:
    world = ArchivingWorld(seed, daemon_count, server_count=1)
    await asyncio.sleep(8.0)
    load = Load(world, repeat_s)
    for at, fault in faults.items():
        asyncio.get_running_loop().call_later(at, fault, world)
    await load.play(25.0)
    return load


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    ('daemon_count', 'repeat_s'), [(8, 0.5), (8, 2.0), (30, 0.5), (200, 1.0)]
)
def test_a_request_that_ends_its_servers_is_soon_sent_to_none_by_any_daemon(
    daemon_count: int, repeat_s: float, fault: str
) -> None:
    for seed in range(1 if daemon_count > 100 else 5):
        load = virtual_time.run(_play(seed, daemon_count, repeat_s, FAULTS[fault]))
        assert len(load.crashes_at) >= 3
        assert load.count_later_sends() <= MAX_LATER_SENDS, seed
        # A popular request that was in flight at every crash is hardly refused.
        assert load.popular_refused_count <= 0.1 * load.popular_count, seed


def _restart_all(world: World) -> None:
    for name in list(world.daemon_by_name):
        world.restart_daemon(name)


async def _play_drawn_kills(seed: int) -> Load:
    """Kill all daemons at one to three drawn moments, before and after each crash."""
    draws = random.Random(seed)
    kill_times = [draws.uniform(0.2, 8.0) for _ in range(draws.randint(1, 3))]
    repeat_s = draws.choice([0.5, 1.0, 2.0])
    return await _play(seed, 6, repeat_s, dict.fromkeys(kill_times, _restart_all))


def test_what_is_known_of_a_request_outlives_all_daemons() -> None:
    """Guards against crashes that are counted from zero after a loss of all processes."""
    later_sends = {}
    refused = {}
    for seed in range(60):
        load = virtual_time.run(_play_drawn_kills(seed))
        assert len(load.crashes_at) >= 3
        later_sends[seed] = load.count_later_sends()
        refused[seed] = load.popular_refused_count / load.popular_count
    assert max(later_sends.values()) <= MAX_LATER_SENDS, later_sends
    assert max(refused.values()) <= 0.1, refused


def test_the_model_catches_daemons_that_do_not_read_the_archive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def read_nothing(*_: object) -> None:
        return None

    monkeypatch.setattr(ModelStore, 'get', read_nothing)
    later_sends = [
        virtual_time.run(_play_drawn_kills(seed)).count_later_sends() for seed in range(20)
    ]
    assert max(later_sends) > MAX_LATER_SENDS


def test_the_model_catches_daemons_that_do_not_tell_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SuspectRequests, 'apply', lambda _self, _statements: None)
    load = virtual_time.run(_play(1, 30, 0.5, {}))
    assert load.count_later_sends() > MAX_LATER_SENDS


def test_trials_of_all_daemons_are_spaced_and_few() -> None:
    clock = ManualClock()
    scheduler = TrialScheduler(clock)
    assert scheduler.grant(b'one')
    assert not scheduler.grant(b'other')
    clock.advance(TRIAL_INTERVAL_S)
    assert scheduler.grant(b'other')
    clock.advance(TRIAL_INTERVAL_S)
    assert scheduler.grant(b'one')
    clock.advance(TRIAL_INTERVAL_S)
    assert not scheduler.grant(b'one')
