"""Tests of backend servers that name a limit for all daemons together.

The routes are those of ``test_path``.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

if TYPE_CHECKING:
    from collections.abc import Sequence

DAEMON_COUNT = 9

WINDOW_S = 4.0
EXCESS_RATIO, EXCESS_REQUEST_COUNT = 1.5, 5
KNOWN_AFTER_S = 3.0
"""Time after the first answer with a limit from which the sum is bounded, in seconds."""

LOAD_S = 8.0
CALLS_PER_S_OF_DAEMON = 3.0


class LimitedServer(ServerStandin):
    """A backend server that names a limit from its first answer on."""

    def __init__(self, name: str, limit: str) -> None:
        super().__init__(name, self._answer)
        self.limit = limit
        self.received_at: list[float] = []

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self.received_at.append(time.monotonic())
        writer.write(self.build_answer(request, Server_Limit=self.limit))
        return True


def _count_most_in_window(received_at: Sequence[float], begin_at: float) -> int:
    """Return the most requests in a window that ends after ``begin_at``."""
    return max(
        sum(end_at - WINDOW_S < at <= end_at for at in received_at)
        for end_at in received_at
        if end_at >= begin_at
    )


async def _call_steadily(
    gateway: RunningGateway, route: str, statuses: list[int], **headers: int
) -> None:
    interval_s = 1.0 / CALLS_PER_S_OF_DAEMON
    for _ in range(round(LOAD_S * CALLS_PER_S_OF_DAEMON)):
        answer, _ = await asyncio.gather(
            gateway.call(route, **headers), asyncio.sleep(interval_s)
        )
        statuses.append(answer.status)


@pytest.mark.parametrize(
    ('route', 'service', 'headers'),
    [('bookings', 'desk', {}), ('keyed', 'slots', {'X_Shard_Key': 7})],
    ids=['unkeyed', 'keyed'],
)
def test_daemons_together_stay_within_the_limit_that_a_server_names(
    route: str, service: str, headers: dict[str, int]
) -> None:
    """Guards against servers in need that get what callers ask for instead of their limit."""
    limit_per_s = 2.4
    server = LimitedServer('s1', str(limit_per_s))
    statuses: list[int] = []

    async def play() -> None:
        async with run_gateways(DAEMON_COUNT, (service, server)) as gateways:
            await _wait_until_served(gateways[0], route, headers)
            server.received_at.clear()
            await asyncio.gather(
                *(_call_steadily(gateway, route, statuses, **headers) for gateway in gateways)
            )

    run_with_time_limit(play())
    named_at = server.received_at[0]
    most = _count_most_in_window(server.received_at, named_at + KNOWN_AFTER_S)
    assert most <= EXCESS_RATIO * WINDOW_S * limit_per_s + EXCESS_REQUEST_COUNT
    # Near its full use, since callers ask for more than ten times as much.
    assert statuses.count(200) >= 0.8 * LOAD_S * limit_per_s


async def _wait_until_served(
    gateway: RunningGateway, route: str, headers: dict[str, int]
) -> None:
    while (await gateway.call(route, **headers)).status != 200:
        await asyncio.sleep(0.1)
