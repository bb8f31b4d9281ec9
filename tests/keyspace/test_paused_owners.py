"""Owners that have asked daemons for a pause, as the keeper plans with them."""

from __future__ import annotations

import asyncio

from coltsfootstair.keyspace._paused_owners import PAUSED_SLOWDOWN, PausedOwners
from coltsfootstair.peers import LoadFigures, Report
from tests.keyspace.model import SERVICE, World
from tests.virtual_time import run

KEYS = range(0, 65536, 64)


def _count_keys(world: World, server: str) -> int:
    keeper = next(each for each in world.daemon_by_name.values() if each.keeper.is_keeper)
    owners = [keeper.view.range_of(SERVICE, key) for key in KEYS]
    return sum(owner is not None and owner.owner[0] == server for owner in owners)


def _report_paused(world: World, server: str) -> None:
    """Let all daemons report from now on that ``server`` has asked them for a pause."""
    for daemon in world.daemon_by_name.values():
        dependencies = daemon.keeper._dependencies
        collect_report = dependencies.collect_report

        def collect_paused(
            epoch: int,
            store_reachable: bool,
            interval_s: float,
            revisions: dict[str, int],
            collect_report: object = collect_report,
        ) -> Report:
            report = collect_report(epoch, store_reachable, interval_s, revisions)  # type: ignore[operator]
            report.figures_by_server[server] = LoadFigures(0, 0.0, pause_left_s=5.0)
            return report  # type: ignore[no-any-return]

        daemon.keeper._dependencies = dependencies._replace(collect_report=collect_paused)


def test_a_paused_owner_gets_fewer_keys_and_keeps_some() -> None:
    """Guards against plans that take a pause for nothing, or for the end of the owner."""

    async def simulate(*, is_paused: bool) -> tuple[int, int]:
        world = World(1)
        await asyncio.sleep(15.0)
        keys_by_server = {
            model.server.name: _count_keys(world, model.server.name)
            for model in world.server_by_address.values()
        }
        busiest = max(keys_by_server, key=lambda name: keys_by_server[name])
        if is_paused:
            _report_paused(world, busiest)
        await asyncio.sleep(6.0)
        return keys_by_server[busiest], _count_keys(world, busiest)

    before, left = run(simulate(is_paused=False))
    assert left > 0.9 * before
    before, left = run(simulate(is_paused=True))
    assert 0 < left < 0.9 * before


def test_an_owner_counts_as_slower_by_the_share_of_daemons_that_it_asked() -> None:
    owners = PausedOwners()
    for daemon in ('d1', 'd2', 'd3', 'd4'):
        owners.on_report(daemon, 100.0)
    assert owners.compute_slowdown('s1', 100.0) == 1.0
    owners.apply_pause('s1', 'd1', 1.0, 100.0)
    assert owners.compute_slowdown('s1', 100.5) == 1.0 + (PAUSED_SLOWDOWN - 1.0) / 4
    assert owners.compute_slowdown('s2', 100.5) == 1.0
    for daemon in ('d2', 'd3', 'd4'):
        owners.apply_pause('s1', daemon, 60.0, 100.0)
    assert owners.compute_slowdown('s1', 100.5) == PAUSED_SLOWDOWN
    # Without further reports it is soon not known any more.
    assert owners.compute_slowdown('s1', 103.0) == 1.0
