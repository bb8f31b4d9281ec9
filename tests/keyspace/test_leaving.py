"""Keys of an owner that says in its answers that it is leaving, which one daemon has seen."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from coltsfootstair.keyspace import _grant_expiry
from coltsfootstair.keyspace._service import RENEWAL_INTERVAL_S
from coltsfootstair.peers import Report, decode_message, encode_message
from tests.keyspace.model import SERVICE, Daemon, ModelServer, World
from tests.virtual_time import run

KEYS = range(0, 65536, ModelServer.KEY_STEP)
FAULT_SEEDS = range(12)
MOVE_LIMIT_S = 1.5
"""A report, a plan, its write, the release and the grants, with a lost datagram."""


def _pick_owner(world: World) -> ModelServer:
    return next(model for model in world.server_by_address.values() if model.has_grant(0))


def _pick_other_daemon(world: World) -> Daemon:
    """Return a daemon that is not the keeper."""
    return next(d for d in world.daemon_by_name.values() if not d.keeper.is_keeper)


def _is_owned_elsewhere(daemon: Daemon, model: ModelServer) -> bool:
    ranges = [daemon.view.range_of(SERVICE, key) for key in KEYS]
    return all(
        key_range is not None
        and key_range.is_granted
        and key_range.owner != model.server.incarnation
        for key_range in ranges
    )


async def _wait_until_moved(world: World, model: ModelServer) -> float:
    """Return how long it takes until all daemons know other owners of the server's keys."""
    started_at = world.now
    async with asyncio.timeout(30.0):
        while not all(
            _is_owned_elsewhere(daemon, model) for daemon in world.daemon_by_name.values()
        ):
            await asyncio.sleep(0.01)
    return world.now - started_at


@pytest.mark.parametrize('seed', range(8))
def test_keys_move_when_one_daemon_sees_that_their_owner_leaves(seed: int) -> None:
    """Guards against moving keys only when the store tells that their owner is draining."""

    async def simulate() -> tuple[float, float, list[str]]:
        world = World(seed)
        await asyncio.sleep(6.0)
        model = _pick_owner(world)
        _pick_other_daemon(world).registry.mark_leaving(model.server.incarnation)
        moved_after_s = await _wait_until_moved(world, model)
        world.check_owners(range(len(KEYS)))
        return moved_after_s, world.compute_served_share(), world.violations

    moved_after_s, served_share, violations = run(simulate())
    assert moved_after_s < MOVE_LIMIT_S
    assert served_share == 1.0
    assert violations == []


@pytest.mark.parametrize('seed', range(8))
def test_keys_move_when_their_owner_says_in_answers_to_the_keeper_that_it_leaves(
    seed: int,
) -> None:
    """Guards against renewing the grants of a leaving server that nobody asks anything."""

    async def simulate() -> tuple[float, list[str]]:
        world = World(seed)
        await asyncio.sleep(6.0)
        model = _pick_owner(world)
        model.says_leaving = True
        moved_after_s = await _wait_until_moved(world, model)
        world.check_owners(range(len(KEYS)))
        return moved_after_s, world.violations

    moved_after_s, violations = run(simulate())
    assert moved_after_s < RENEWAL_INTERVAL_S + MOVE_LIMIT_S
    assert violations == []


def test_a_later_keeper_learns_what_was_reported_to_an_earlier_one() -> None:
    """Guards against giving keys to a leaving server when the keeper changes."""

    async def simulate() -> tuple[list[str], bool]:
        world = World(3)
        await asyncio.sleep(6.0)
        model = _pick_owner(world)
        seer = _pick_other_daemon(world)
        seer.registry.mark_leaving(model.server.incarnation)
        await _wait_until_moved(world, model)
        for name in list(world.daemon_by_name):
            if name != seer.name:
                world.restart_daemon(name)
        await asyncio.sleep(20.0)
        world.check_owners(range(len(KEYS)))
        return world.violations, any(model.has_grant(key) for key in range(len(KEYS)))

    violations, has_grant = run(simulate())
    assert violations == []
    assert not has_grant


async def _simulate_faults(seed: int) -> list[str]:
    world = World(seed)
    end = world.now + 40.0
    await asyncio.sleep(4.0)
    while world.now < end:
        world.inject_fault()
        model = world.random.choice(list(world.server_by_address.values()))
        daemon = world.random.choice(list(world.daemon_by_name.values()))
        daemon.registry.mark_leaving(model.server.incarnation)
        await asyncio.sleep(world.random.uniform(0.2, 2.5))
        if model.alive and world.random.random() < 0.5:
            model.alive = False
            world.start_server(model.server.address)
        world.check_owners(range(len(KEYS)))
    return world.violations


@pytest.mark.parametrize('seed', FAULT_SEEDS)
def test_no_key_has_two_owners_when_servers_leave_among_faults(seed: int) -> None:
    assert run(_simulate_faults(seed)) == []


def test_the_model_detects_keys_that_are_granted_before_a_leaving_owner_released_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        _grant_expiry.GrantExpiries, 'get_expiry', lambda _self, _incarnation: 0.0
    )
    assert any(run(_simulate_faults(seed)) for seed in FAULT_SEEDS)


def test_a_report_of_a_daemon_that_tells_of_no_leaving_servers_is_read() -> None:
    """Daemons of an earlier version report to a keeper of this one during an update."""
    earlier = msgspec.msgpack.encode(['report', 'd1', 3, True, 0.3, {}, {}, {}])
    assert decode_message(earlier) == Report('d1', 3, True, 0.3, {}, {}, {}, [])
    sent = Report('d1', 3, True, 0.3, {}, {}, {}, [('s1', 7)])
    assert decode_message(encode_message(sent)) == sent
