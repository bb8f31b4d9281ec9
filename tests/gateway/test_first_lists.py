"""Tests of when a daemon that starts says that it is ready."""

from __future__ import annotations

import asyncio
from typing import Any

from tests.coltsfootstair_platform.standin import ServerStandin, StoreStandin
from tests.gateway.harness import run_gateways, run_with_time_limit

STALE_AGE_S = 0.3


class _StoreWithSlowWatches(StoreStandin):
    """Has servers that say that they leave just before daemons start."""

    def __init__(self) -> None:
        super().__init__()
        self.draw_stale_age_s = lambda: STALE_AGE_S

    async def put(self, kind: str, name: str, spec: Any) -> None:
        await super().put(kind, name, spec)
        if kind == 'servers':
            await asyncio.sleep(STALE_AGE_S + 0.1)
            await super().put(kind, name, spec | {'state': 'draining'})

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        if kind == 'servers':
            await asyncio.sleep(0.3)
        return await super()._watch(kind, after, wait_s)


def test_a_daemon_is_not_ready_with_a_stale_list_of_servers() -> None:
    """Guards against requests to servers that had left before the daemon started."""

    async def work() -> tuple[int, int]:
        server = ServerStandin('s1')
        store = _StoreWithSlowWatches()
        async with run_gateways(1, ('calendar', server), store=store) as gateways:
            answer = await gateways[0].call('lookups')
            return answer.status, len(server.received)

    assert run_with_time_limit(work()) == (503, 0)
