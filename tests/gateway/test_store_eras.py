"""A daemon on loopback while its store comes back from an older copy of itself."""

from __future__ import annotations

import asyncio

from tests.coltsfootstair_platform.standin import (
    ServerStandin,
    build_configuration,
    build_route,
)
from tests.gateway.harness import RunningGateway, run_gateway, run_with_time_limit

RECOVERY_S = 5.0
"""Time in which a new configuration must be in force after the store is back, in seconds."""


async def _wait_for_status(running: RunningGateway, route: str, status: int) -> None:
    async with asyncio.timeout(RECOVERY_S):
        while (await running.call(route)).status != status:
            await asyncio.sleep(0.05)


def _add_route(version: int, name: str) -> dict[str, object]:
    configuration = build_configuration(version)
    configuration['resources'].append(build_route(name, 'calendar'))
    return configuration


def test_the_configuration_in_force_stays_and_a_later_one_is_taken() -> None:
    """Revisions went back, so the later configuration had a lower one than those known."""

    async def scenario() -> None:
        server = ServerStandin('s1')
        async with run_gateway(('calendar', server)) as running:
            store = running.store
            store.take_copy()
            for number in range(20):
                await store.put('other', f'o{number}', {})
            await store.put('config', 'main', _add_route(2, 'added'))
            await _wait_for_status(running, 'added', 200)
            store.down = True
            await asyncio.sleep(0.2)
            await store.restore()
            store.down = False
            for _ in range(10):
                assert (await running.call('added')).status == 200
                await asyncio.sleep(0.05)
            await store.put('config', 'main', _add_route(3, 'another'))
            await _wait_for_status(running, 'another', 200)

    run_with_time_limit(scenario())
