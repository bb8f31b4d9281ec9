"""Tests of how late a daemon in touch learns that a server leaves."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.keyspace.knowledge_model import DRAIN_S, KnowledgeWorld
from tests.virtual_time import run

START_S = 6.0


@contextlib.asynccontextmanager
async def _run_world(seed: int, daemon_count: int) -> AsyncIterator[KnowledgeWorld]:
    """Run daemons of which one is keeper; fail if one in touch learnt of an entry too late."""
    world = KnowledgeWorld(seed, daemon_count)
    world.write_entry()
    await asyncio.sleep(START_S)
    check = asyncio.create_task(world.check())
    yield world
    check.cancel()
    assert world.violations[:3] == []


@pytest.mark.parametrize('link_delay_s', [0.5, 1.0, 1.8, 2.5, 4.0])
def test_late_datagrams_of_the_keeper_hide_no_leaving_server(link_delay_s: float) -> None:
    """Guards against heartbeats that count from their arrival."""

    async def work() -> None:
        async with _run_world(1, 6) as world:
            keeper = world.find_keeper()
            fault = asyncio.create_task(world.disturb(keeper, 12.0, link_delay_s=link_delay_s))
            for _ in range(8):
                await asyncio.sleep(0.7)
                world.write_entry()
            await asyncio.sleep(DRAIN_S + 0.1)
            fault.cancel()

    run(work())


@pytest.mark.parametrize('without_store_s', [0.6, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5])
def test_a_keeper_that_loses_the_store_and_stops_hides_no_leaving_server(
    without_store_s: float,
) -> None:
    """Guards against time limits for a keeper's faults that add up."""

    async def work() -> None:
        async with _run_world(2, 6) as world:
            keeper = world.find_keeper()
            losing = asyncio.create_task(
                world.disturb(keeper, without_store_s, loses_store=True)
            )
            await asyncio.sleep(0.01)
            world.write_entry()
            await losing
            stopping = asyncio.create_task(world.disturb(keeper, 6.0, stands_still=True))
            await asyncio.sleep(DRAIN_S + 0.5)
            stopping.cancel()

    run(work())


@pytest.mark.parametrize('daemon_count', [6, 24])
@pytest.mark.parametrize('seed', range(12))
def test_daemons_in_touch_know_leaving_servers_in_time_whatever_keepers_meet(
    seed: int, daemon_count: int
) -> None:
    """Guards against any chain of keepers' faults that is longer than the drain time."""

    async def meet_faults(world: KnowledgeWorld) -> None:
        faults: set[asyncio.Task[None]] = set()
        while True:
            keeper = world.find_keeper()
            duration_s = world.random.uniform(0.3, 5.0)
            match world.random.randrange(4):
                case 0:
                    fault = world.disturb(keeper, duration_s, loses_store=True)
                case 1:
                    fault = world.disturb(keeper, duration_s, stands_still=True)
                case 2:
                    delay_s = world.random.uniform(0.1, 4.0)
                    fault = world.disturb(keeper, duration_s, link_delay_s=delay_s)
                case _:
                    other = world.random.choice(list(world.daemon_by_name))
                    fault = world.disturb(other, duration_s, loses_store=True)
            task = asyncio.create_task(fault)
            faults.add(task)
            task.add_done_callback(faults.discard)
            await asyncio.sleep(world.random.uniform(0.2, 2.5))

    async def work() -> None:
        async with _run_world(seed, daemon_count) as world:
            faults = asyncio.create_task(meet_faults(world))
            for _ in range(60):
                await asyncio.sleep(world.random.uniform(0.05, 1.0))
                world.write_entry()
            faults.cancel()

    run(work())


def test_daemons_in_calm_rely_on_the_keeper_alone() -> None:
    """Guards against calls of all daemons where one has the evidence for all."""

    async def work() -> int:
        async with _run_world(3, 6) as world:
            keeper = world.find_keeper()
            before = dict(world.call_count_by_daemon)
            await asyncio.sleep(20.0)
            return sum(
                count - before[name]
                for name, count in world.call_count_by_daemon.items()
                if name != keeper
            )

    # A lost datagram may cost a call.
    assert run(work()) <= 5 * 20
