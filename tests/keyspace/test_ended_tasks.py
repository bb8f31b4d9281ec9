"""Tests of a keeper one of whose tasks fails."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import pytest

from coltsfootstair.keyspace import Keeper
from coltsfootstair.keyspace._grant_expiry import GrantExpiries
from coltsfootstair.keyspace._service import ServiceKeeper
from tests.keyspace.model import SERVICE, Daemon, ModelServer, World
from tests.virtual_time import run

if TYPE_CHECKING:
    from coltsfootstair.peers import Report

ALWAYS = 10**9

TAKEOVER_S = 2.5
"""Time in which another daemon has taken over, in seconds."""


class Fault:
    """Makes a method raise at its next calls."""

    def __init__(self, owner: Any, method: str, count: int) -> None:
        self.left = count
        self._call = getattr(owner, method)
        setattr(owner, method, self._raise_or_call)

    def _raise_or_call(self, *args: Any, **fields: Any) -> Any:
        if self.left:
            self.left -= 1
            raise RuntimeError('a fault of the test')
        return self._call(*args, **fields)


def _list_keepers(world: World) -> list[str]:
    return [name for name, daemon in world.daemon_by_name.items() if daemon.keeper.is_keeper]


async def _start_world(seed: int = 1, daemon_count: int = 4) -> tuple[World, Daemon]:
    world = World(seed, daemon_count)
    await asyncio.sleep(25.0)
    assert world.compute_served_share() == 1.0
    [name] = _list_keepers(world)
    return world, world.daemon_by_name[name]


async def _watch(world: World, duration_s: float, but_of: str = '') -> tuple[float, float]:
    """Return the longest time without all keys served, and without exactly one keeper.

    :param but_of: a daemon by whose table nothing is judged
    """
    longest_s = {'keys': 0.0, 'keeper': 0.0}
    since = dict.fromkeys(longest_s, world.now)
    ends_at = world.now + duration_s
    while world.now < ends_at:
        await asyncio.sleep(0.05)
        for what, is_well in (
            ('keys', world.compute_served_share(but_of) == 1.0),
            ('keeper', len(_list_keepers(world)) == 1),
        ):
            if is_well:
                since[what] = world.now
            longest_s[what] = max(longest_s[what], world.now - since[what])
    return longest_s['keys'], longest_s['keeper']


def _get_service_keeper(daemon: Daemon) -> ServiceKeeper:
    return daemon.keeper._services._service_keeper_by_name[SERVICE]


def _get_lease_owner(daemon: Daemon) -> Any:
    return daemon.keeper._services


def _get_keeper(daemon: Daemon) -> Any:
    return daemon.keeper


@pytest.mark.parametrize('count', [1, ALWAYS])
@pytest.mark.parametrize(
    ('find_owner', 'method'),
    [
        (_get_lease_owner, 'start_new_services'),
        (_get_keeper, '_check_era'),
        (_get_keeper, '_submit_report'),
        (_get_keeper, '_update_relay'),
    ],
)
def test_a_keeper_whose_own_task_fails_is_replaced(
    find_owner: Callable[[Daemon], Any], method: str, count: int
) -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        Fault(find_owner(daemon), method, count)
        await asyncio.sleep(1.0)
        assert not daemon.keeper.is_keeper
        without_keys_s, without_keeper_s = await _watch(world, 20.0, daemon.name)
        assert _list_keepers(world) != []
        assert without_keeper_s < TAKEOVER_S
        assert without_keys_s < TAKEOVER_S
        assert world.violations == []

    run(simulate())


def test_a_keeper_that_is_alone_takes_over_again_after_its_task_has_failed() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world(daemon_count=1)
        Fault(daemon.keeper._services, 'start_new_services', 1)
        await asyncio.sleep(1.0)
        without_keys_s, _ = await _watch(world, 10.0)
        assert daemon.keeper.is_keeper
        assert without_keys_s < TAKEOVER_S

    run(simulate())


def test_a_daemon_that_fails_while_it_takes_over_leaves_it_to_others() -> None:
    async def simulate() -> None:
        world, first = await _start_world()
        others = [each for each in world.daemon_by_name.values() if each is not first]
        for daemon in others[:-1]:
            Fault(daemon.keeper._services, 'start_new_services', ALWAYS)
        await first.keeper.stop()
        world.ended_daemons.add(first.name)
        await asyncio.sleep(8.0)
        assert _list_keepers(world) == [others[-1].name]
        without_keys_s, _ = await _watch(world, 5.0)
        assert without_keys_s == 0
        assert world.violations == []

    run(simulate())


@pytest.mark.parametrize('method', ['_plan_write_and_grant', '_start_renewals'])
def test_work_for_a_service_that_fails_once_goes_on_at_the_same_keeper(method: str) -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        fault = Fault(_get_service_keeper(daemon), method, 1)
        without_keys_s, _ = await _watch(world, 8.0)
        assert not fault.left
        assert without_keys_s < 1.0
        assert daemon.keeper.is_keeper
        await _check_that_keys_of_an_ended_server_move(world)

    run(simulate())


@pytest.mark.parametrize('method', ['_plan_write_and_grant', '_start_renewals'])
def test_work_for_a_service_that_always_fails_at_a_keeper_goes_on_at_another(
    method: str,
) -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        Fault(_get_service_keeper(daemon), method, ALWAYS)
        without_keys_s, _ = await _watch(world, 15.0)
        assert not daemon.keeper.is_keeper
        assert without_keys_s < TAKEOVER_S
        await _check_that_keys_of_an_ended_server_move(world)

    run(simulate())


def test_work_that_fails_at_all_daemons_changes_the_keeper_seldom(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(_self: ServiceKeeper) -> None:
        raise RuntimeError('a fault of the test')

    async def simulate() -> int:
        world, _ = await _start_world()
        monkeypatch.setattr(ServiceKeeper, '_plan_write_and_grant', fail)
        await asyncio.sleep(60.0)
        assert world.compute_served_share() == 1.0, 'grants are renewed all the while'
        epochs = [
            lease.epoch
            for daemon in world.daemon_by_name.values()
            if (lease := daemon.view.lease) is not None
        ]
        return max(epochs)

    assert run(simulate()) <= 6


async def _check_that_keys_of_an_ended_server_move(world: World) -> None:
    model: ModelServer = next(
        model for model in world.server_by_address.values() if model.has_grant(0)
    )
    model.alive = False
    for daemon in world.daemon_by_name.values():
        daemon.registry.remove(model.server.name)
    await asyncio.sleep(10.0)
    assert world.compute_served_share() == 1.0
    assert world.violations == []


def test_a_key_range_whose_grant_failed_once_is_granted_at_the_next_step() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        service_keeper = _get_service_keeper(daemon)
        fault = Fault(service_keeper._owner_grants, 'reclaim', 1)
        await _check_that_keys_of_an_ended_server_move(world)
        assert not fault.left

    run(simulate())


def test_a_server_whose_grant_calls_fail_inside_the_keeper_loses_its_keys() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        client = daemon.keeper._dependencies.grant_client
        grant = client.grant
        model = next(model for model in world.server_by_address.values() if model.has_grant(0))

        async def fail(server: Any, *args: Any) -> None:
            if server.name == model.server.name:
                raise ValueError('embedded null byte')
            await grant(server, *args)

        client.grant = fail  # type: ignore[assignment, method-assign]
        await asyncio.sleep(8.0)
        assert not model.has_grant(0)
        assert world.compute_served_share() == 1.0
        assert daemon.keeper.is_keeper
        assert world.violations == []

    run(simulate())


def test_reports_that_can_not_be_applied_are_answered_nevertheless() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        other = next(name for name in world.daemon_by_name if name != daemon.name)
        detector = daemon.keeper._unresponsive_detector
        apply_report = detector.apply_report

        def fail(report: Report, now: float) -> None:
            if report.daemon == other:
                raise OverflowError('a fault of the test')
            apply_report(report, now)

        detector.apply_report = fail  # type: ignore[method-assign]
        await asyncio.sleep(10.0)
        assert _list_keepers(world) == [daemon.name]

    run(simulate())


def test_a_heartbeat_that_can_not_be_handled_ends_the_relay_and_not_the_keeper() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        other = next(each for each in world.daemon_by_name.values() if each is not daemon)
        assert other.relay.is_active
        Fault(other.relay, 'set_keeper_revisions', ALWAYS)
        await asyncio.sleep(2.0)
        for _ in range(50):
            assert not other.relay.is_active
            await asyncio.sleep(0.1)
        assert _list_keepers(world) == [daemon.name]

    run(simulate())


def test_a_daemon_without_reports_does_not_rely_on_the_relay_of_before() -> None:
    async def simulate() -> None:
        world, daemon = await _start_world()
        other = next(each for each in world.daemon_by_name.values() if each is not daemon)
        Fault(other.keeper, '_submit_report', ALWAYS)
        await asyncio.sleep(3.0)
        assert not other.relay.is_active
        assert _list_keepers(world) == [daemon.name]

    run(simulate())


async def _simulate_random_faults(seed: int) -> World:
    """Run with random faults, among them tasks that end, and then without any."""
    world = World(seed)
    ends_at = world.now + 40.0
    faults = []
    await asyncio.sleep(4.0)
    while world.now < ends_at:
        if world.random.random() < 0.4:
            world.inject_fault()
        faults.append(_break_a_task(world))
        await asyncio.sleep(world.random.uniform(0.2, 2.5))
        world.check_owners(range(64))
    for fault in faults:
        fault.left = 0
    world.daemons_without_store.clear()
    world.cut_links.clear()
    world.late_call_share = world.lost_answer_share = 0.0
    await asyncio.sleep(25.0)
    ends_at = world.now + 2.0
    # Keys that move just now have no grant for a moment.
    while world.compute_served_share() < 1.0 and world.now < ends_at:
        await asyncio.sleep(0.05)
    return world


@pytest.mark.parametrize('seed', range(12))
def test_no_key_has_two_owners_while_tasks_end_at_random(seed: int) -> None:
    async def simulate() -> tuple[list[str], float]:
        world = await _simulate_random_faults(seed)
        return world.violations, world.compute_served_share()

    assert run(simulate()) == ([], 1.0)


def test_the_model_detects_a_keeper_that_does_not_reclaim_keys_while_tasks_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(GrantExpiries, 'get_expiry', lambda _self, _incarnation: 0.0)
    assert any(run(_simulate_random_faults(seed)).violations for seed in range(12))


def test_the_model_detects_a_failed_keeper_that_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Keeper, '_leave_to_others', lambda _self, _reason: None)

    async def simulate(seed: int) -> float:
        return (await _simulate_random_faults(seed)).compute_served_share()

    assert min(run(simulate(seed)) for seed in range(12)) < 1.0


def _break_a_task(world: World) -> Fault:
    daemon = world.random.choice(list(world.daemon_by_name.values()))
    places: list[tuple[Any, str]] = [
        (daemon.keeper, '_check_era'),
        (daemon.keeper, '_submit_report'),
        (daemon.keeper, '_update_issuing'),
        (daemon.view, 'apply_object'),
        (daemon.keeper._services, 'start_new_services'),
    ]
    service_keeper = daemon.keeper._services._service_keeper_by_name.get(SERVICE)
    if service_keeper is not None:
        places += [
            (service_keeper, '_plan_write_and_grant'),
            (service_keeper, '_apply_written_table'),
            (service_keeper, '_start_grants'),
            (service_keeper, '_publish_table'),
            (service_keeper, '_start_renewals'),
            (service_keeper._owner_grants, 'reclaim'),
            (service_keeper._owner_grants, 'grant'),
        ]
    owner, method = world.random.choice(places)
    return Fault(owner, method, world.random.choice((1, 1, 3)))
