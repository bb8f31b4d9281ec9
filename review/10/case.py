"""A request that crashes its servers is tried anew when all daemons have been killed."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins_2 import (
    BackendServer,
    Deployment,
    NotRunError,
    Record,
    build_configuration,
    build_route,
    build_service,
    call,
    run_case,
)

DAEMON_COUNT = 4
SERVER_COUNT = 8

CRASH_PATH = '/x/crash'
CRASH_BODY = b'a body that no server survives'

BACK_AFTER_S = 3.0
"""Time after which a crashed server is back, in seconds ("after some seconds", letter 6)."""

TOUCH_S = 3.0
"""Time for which a machine must have been without disruption (``touch-ms``), in seconds."""

MAX_RETRY_COUNT = 3
"""Retries that may reach a server later than ``touch-ms`` after the third crash (BUDGET)."""

RETRY_INTERVAL_S = 1.0
"""Time between two arrivals of the request, in seconds."""

TRIES_BEFORE_COUNT = 22
TRIES_AFTER_COUNT = 22

ORDINARY_INTERVAL_S = 0.05

WORK_S = 0.29
"""Mean work of an ordinary request, in seconds, as in the site lpfs-gateway."""


class CrashingRequest:
    """Sends the request again and again, and notes which tries reached a server."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._draws = random.Random(7)
        self._tasks: set[asyncio.Task[object]] = set()
        self._crash_count = 0
        self.crashed_at: list[float] = []
        self.reached_at_by_id: dict[str, float] = {}

    def on_crash(self, server: BackendServer, request_id: str) -> None:
        """Note a crash, and let the server come back under another name."""
        self._crash_count += 1
        self.crashed_at.append(time.monotonic())
        self.reached_at_by_id.setdefault(request_id, time.monotonic())
        task = asyncio.create_task(self._replace(server, f'r{self._crash_count}'))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, server: BackendServer, name: str) -> None:
        replacement = await self._deployment.replace_crashed(server, name, BACK_AFTER_S)
        self.watch(replacement)

    def watch(self, server: BackendServer) -> None:
        """Let the request crash this server."""
        server.work_s = WORK_S
        server.crash_path = CRASH_PATH
        server.on_crash = self.on_crash

    async def send(self, count: int) -> None:
        """Send it several times, each at any daemon."""
        for _ in range(count):
            daemon = self._draws.choice(self._deployment.daemons)
            request_id = secrets.token_hex(8)
            headers = {
                'Host': 'desk.example',
                'X-Request-Id': request_id,
                'X-Request-Deadline': '2000',
            }
            record = self._deployment.record
            record.write(f'{request_id}, which crashes, sent to {daemon.name}')
            answer = await call(
                daemon.host, daemon.front, 'POST', CRASH_PATH, headers, 3.0, CRASH_BODY
            )
            record.write(f'{request_id} answered {answer.status}')
            await asyncio.sleep(RETRY_INTERVAL_S)


async def send_ordinary_requests(deployment: Deployment, statuses: Counter[int]) -> None:
    """Send bookings that harm nobody, each once, until cancelled; count their statuses."""
    draws = random.Random(8)
    tasks: set[asyncio.Task[None]] = set()

    async def send() -> None:
        daemon = draws.choice(deployment.daemons)
        request_id = secrets.token_hex(8)
        headers = {
            'Host': 'desk.example',
            'X-Request-Id': request_id,
            'X-Request-Deadline': '2000',
        }
        path = f'/x/{request_id}'
        deployment.record.write(f'{request_id} sent to {daemon.name}')
        answer = await call(daemon.host, daemon.front, 'POST', path, headers, 3.0)
        deployment.record.write(f'{request_id} answered {answer.status}')
        statuses[answer.status] += 1

    while True:
        task = asyncio.create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(ORDINARY_INTERVAL_S)


async def run(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Send the request until it is refused, kill all daemons, and send it again."""
    async with Deployment(record, folder) as deployment:
        store = deployment.store
        await store.put(
            'config',
            'main',
            build_configuration(
                [build_route('desk', 'desk', kind='non_idempotent'), build_service('desk')]
            ),
        )
        crashing = CrashingRequest(deployment)
        for number in range(1, SERVER_COUNT + 1):
            server = await deployment.add_server(f's{number}', 'desk')
            crashing.watch(server)
        await deployment.start_daemons(DAEMON_COUNT, is_first_start=True)
        await asyncio.sleep(TOUCH_S + 1.0)
        statuses: Counter[int] = Counter()
        ordinary = asyncio.create_task(send_ordinary_requests(deployment, statuses))
        await asyncio.sleep(1.0)
        await crashing.send(TRIES_BEFORE_COUNT)
        record.write(f'{len(crashing.crashed_at)} servers have crashed')
        if has_trouble:
            for daemon in deployment.daemons:
                daemon.send_signal(signal.SIGKILL)
            for daemon in deployment.daemons:
                await daemon.wait()
            record.write('all daemons are killed')
            for daemon in deployment.daemons:
                await daemon.start(is_first_start=False)
            await deployment.wait_until_ready()
            record.write('all daemons are ready again')
            await asyncio.sleep(TOUCH_S + 1.0)
        await crashing.send(TRIES_AFTER_COUNT)
        ordinary.cancel()
        await asyncio.gather(ordinary, return_exceptions=True)
        record.write(f'bookings of others by status: {dict(statuses)}')
        return report(record, crashing)


def report(record: Record, crashing: CrashingRequest) -> bool:
    """Return whether more retries than allowed reached servers."""
    crashed_at = crashing.crashed_at
    record.write(f'{len(crashed_at)} servers crashed in all')
    if len(crashed_at) < MAX_RETRY_COUNT:
        raise NotRunError('fewer servers crashed than the rule speaks of')
    counted_from = crashed_at[2] + TOUCH_S
    late = [
        request_id
        for request_id, reached_at in crashing.reached_at_by_id.items()
        if reached_at > counted_from
    ]
    record.write(
        f'{len(late)} retries reached a server later than {TOUCH_S:.0f} s after the third'
        f' crash, at most {MAX_RETRY_COUNT} may: {", ".join(late)}'
    )
    return len(late) > MAX_RETRY_COUNT


if __name__ == '__main__':
    run_case(Path(__file__).parent / 'record.txt', run)
