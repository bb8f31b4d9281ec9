"""Tests of requests that end each backend server that begins to run them.

The routes are those of ``test_path``.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from coltsfootstair.crashes import compute_fingerprints
from coltsfootstair.crashes._archive import ARCHIVE_KIND, ARCHIVE_NAME
from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin, StoreStandin
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit

DAEMON_COUNT = 3
SERVER_COUNT = 3
CRASHING_PATH = '/x/crashing'
CRASH_COUNT = 3
KNOWN_AFTER_S = 3.0
"""Time after the third crash from which further sends count, in seconds."""

MAX_LATER_SENDS = 3
LOAD_S = 12.0
ARCHIVED_AFTER_S = 1.0


class CrashingServer(ServerStandin):
    """A backend server that ends while it runs one request, and is back a second later."""

    def __init__(self, name: str, service: str, crashes_at: list[float]) -> None:
        super().__init__(name, self._answer)
        self._service = service
        self._crashes_at = crashes_at
        self._born = 1700000000000
        self.store: StoreStandin | None = None

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.03)
        if request.target == CRASHING_PATH:
            self._crashes_at.append(time.monotonic())
            self._restart = asyncio.create_task(self._end_and_start_again())
            await asyncio.sleep(60.0)
        writer.write(self.build_answer(request))
        return True

    async def _end_and_start_again(self) -> None:
        port = self.port
        self.stop()
        await asyncio.sleep(0.6)
        assert self.store is not None
        await self.store.delete('servers', self.name)
        await asyncio.sleep(0.4)
        await self.start(port)
        self._born += 1000
        entry = self.build_entry(self._service, born=self._born)
        await self.store.put('servers', self.name, entry)


async def _repeat(
    gateways: list[RunningGateway], route: str, path: str, pause_s: float, **headers: int
) -> list[int]:
    """Send a request again and again through the daemons in turn; return the statuses."""
    statuses: list[int] = []
    ends_at = time.monotonic() + LOAD_S
    while time.monotonic() < ends_at:
        gateway = gateways[len(statuses) % len(gateways)]
        statuses.append((await gateway.call(route, path, **headers)).status)
        await asyncio.sleep(pause_s)
    return statuses


@pytest.mark.parametrize(
    ('route', 'service', 'headers'),
    [
        ('lookups', 'calendar', {}),
        ('bookings', 'desk', {}),
        ('keyed', 'slots', {'X_Shard_Key': 7}),
    ],
    ids=['lookups', 'bookings', 'keyed'],
)
def test_a_request_that_ends_its_servers_is_not_sent_on_and_on(
    route: str, service: str, headers: dict[str, int]
) -> None:
    """Guards against repeats that end one server after the other through any daemon."""
    crashes_at: list[float] = []
    servers = [CrashingServer(f's{n}', service, crashes_at) for n in range(SERVER_COUNT)]
    bystander_statuses: list[int] = []

    async def play() -> None:
        async with run_gateways(
            DAEMON_COUNT, *((service, server) for server in servers)
        ) as gateways:
            for server in servers:
                server.store = gateways[0].store
            while (await gateways[0].call(route, **headers)).status != 200:
                await asyncio.sleep(0.1)
            _, statuses = await asyncio.gather(
                _repeat(gateways, route, CRASHING_PATH, 0.5, **headers),
                _repeat(gateways, route, '/x/popular', 0.05, **headers),
            )
            bystander_statuses.extend(statuses)

    run_with_time_limit(play())
    known_at = crashes_at[CRASH_COUNT - 1] + KNOWN_AFTER_S
    assert sum(at > known_at for at in crashes_at) <= MAX_LATER_SENDS
    # A popular request in flight at each server that ended is no suspect for long.
    served_share = bystander_statuses[-40:].count(200) / 40
    assert served_share >= 0.9


@pytest.mark.parametrize('crash_count', [1, 4])
def test_what_is_known_of_a_request_outlives_all_daemons(crash_count: int) -> None:
    """Guards against crashes that are counted from zero after a loss of all processes."""
    servers = [ServerStandin(f's{n}') for n in range(SERVER_COUNT)]
    store = StoreStandin()

    def count_archived() -> int:
        archive = store.get(ARCHIVE_KIND, ARCHIVE_NAME) or {'suspects': []}
        return min((len(one['crashes']) for one in archive['suspects']), default=0)

    async def play_first_life() -> None:
        async with run_gateways(2, *(('desk', server) for server in servers), store=store) as (
            first,
            second,
        ):
            while None in (first.gateway._ownership.lease, second.gateway._ownership.lease):
                await asyncio.sleep(0.05)
            now = time.monotonic()
            fingerprints = compute_fingerprints(
                b'bookings.example', b'GET', CRASHING_PATH.encode(), None, b'', '127.0.0.1'
            )
            for number in range(crash_count):
                at = now - 10.0 + number
                first.gateway._fleet.suspects.record_crash(
                    fingerprints, (f'c{number}', 1), at, at, is_trial=number == 3
                )
            # The keeper is told at once, and writes at once what it is told.
            async with asyncio.timeout(ARCHIVED_AFTER_S):
                while count_archived() < crash_count:
                    await asyncio.sleep(0.01)

    async def play_second_life() -> tuple[int, int]:
        async with run_gateways(
            1, *(('desk', server) for server in servers), store=store
        ) as gateways:
            status = (await gateways[0].call('bookings', CRASHING_PATH)).status
            crashes = gateways[0].gateway._fleet.suspects.list_crashes(10)
            return status, len(crashes[0].crashes) if crashes else 0

    async def play() -> tuple[int, int]:
        await play_first_life()
        return await play_second_life()

    status, known_count = run_with_time_limit(play())
    assert status == (503 if crash_count == 4 else 200)
    # A run to its end clears it.
    assert known_count == (4 if crash_count == 4 else 0)
    assert any(server.received for server in servers) == (crash_count == 1)
