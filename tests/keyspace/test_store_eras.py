"""No key has two owners although the store comes back from an older copy of itself."""

from __future__ import annotations

import asyncio

import pytest

from coltsfootstair.keyspace import KeyTable, _service, decode_table
from coltsfootstair.keyspace._lease import decode_lease
from coltsfootstair.keyspace._service import ServiceKeeper
from tests.keyspace.model import SERVICE, World
from tests.virtual_time import run

SEEDS = range(16)
TABLE = f'table-{SERVICE}'


async def _simulate(seed: int) -> World:
    """Run drills among the other faults: two in a row, or while all daemons restart."""
    world = World(seed)
    await asyncio.sleep(4.0)
    world.copy_store()
    for _ in range(8):
        for _ in range(world.random.randrange(4)):
            world.inject_fault()
            await asyncio.sleep(world.random.uniform(0.1, 1.0))
        if world.random.random() < 0.7:
            await world.run_drill(
                world.random.uniform(0.2, 2.0), restart_all=world.random.random() < 0.3
            )
        if world.random.random() < 0.7:
            world.copy_store()
        await asyncio.sleep(world.random.uniform(0.2, 5.0))
        world.check_owners(range(64))
    return world


@pytest.mark.parametrize('seed', SEEDS)
def test_no_key_has_two_owners(seed: int) -> None:
    assert run(_simulate(seed)).violations == []


def _any_seed_violates() -> bool:
    return any(run(_simulate(seed)).violations for seed in range(100))


def test_the_model_detects_grants_of_earlier_eras_that_are_not_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load_table = ServiceKeeper._load_table

    async def load_without_wait(keeper: ServiceKeeper) -> None:
        keeper._earlier_era_expiry = 0.0
        await load_table(keeper)

    monkeypatch.setattr(ServiceKeeper, '_load_table', load_without_wait)
    assert _any_seed_violates()


def test_the_model_detects_fences_that_are_given_out_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_service, 'first_fence_of_era', lambda _era: 0)
    assert _any_seed_violates()


def test_the_model_detects_a_restored_table_that_is_trusted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def trust_stored_table(keeper: ServiceKeeper, stored: KeyTable) -> KeyTable:
        return KeyTable(stored.ranges, 1 << 50, keeper._epoch)

    monkeypatch.setattr(ServiceKeeper, '_recover_table', trust_stored_table)
    assert _any_seed_violates()


@pytest.mark.parametrize('restart_all', [False, True])
@pytest.mark.parametrize('copy_is_empty', [False, True])
def test_all_keys_are_owned_again_after_a_drill(
    restart_all: bool, copy_is_empty: bool
) -> None:
    """Daemons waited until the revisions, which had gone back, were above those they knew."""

    async def simulate() -> tuple[float, int, int]:
        world = World(1)
        if copy_is_empty:
            world.copy_store()
        await asyncio.sleep(5.0)
        if not copy_is_empty:
            world.copy_store()
        await asyncio.sleep(3.0)
        await world.run_drill(1.0, restart_all=restart_all)
        await asyncio.sleep(15.0)
        lease = decode_lease(world.objects['keeper'].value)
        table = decode_table(world.objects[TABLE].value)
        assert world.violations == []
        return world.compute_served_share(), lease.epoch, table.epoch

    served_share, lease_epoch, table_epoch = run(simulate())
    assert served_share == 1.0
    assert lease_epoch == table_epoch


def test_keys_stay_served_in_a_drill_that_the_keeper_survives() -> None:
    """The former keeper knows the tables that the store has lost, so no grant runs out."""

    async def simulate() -> list[float]:
        world = World(1)
        await asyncio.sleep(5.0)
        world.copy_store()
        model = next(iter(world.server_by_address.values()))
        model.alive = False
        for daemon in world.daemon_by_name.values():
            daemon.registry.remove(model.server.name)
        await asyncio.sleep(5.0)
        await world.run_drill(0.6)
        shares = []
        for _ in range(20):
            await asyncio.sleep(0.25)
            shares.append(world.compute_served_share())
        assert world.violations == []
        return shares

    # Only a key range that moves has no owner for a moment.
    assert min(run(simulate())) > 0.5
