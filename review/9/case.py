"""Helpers of a daemon that is cut off send one request to too many servers."""

from __future__ import annotations

import asyncio
import secrets
import sys
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins_2 import (
    Deployment,
    Record,
    build_configuration,
    build_route,
    build_service,
    call,
    run_case,
)

DAEMON_COUNT = 5
SERVER_COUNT = 10

MAX_ATTEMPTS = 2
"""``max-attempts`` of the route."""

MAX_REQUEST_COUNT = 3
"""Requests that may run on more upstreams than that (BUDGET)."""

CUT_COUNT = 2
"""Daemons that are cut off from all servers ("some", letter 7)."""

CUT_S = 10.0
"""For how long they are cut off, in seconds ("for seconds", letter 7)."""

LOST_FROM_S = 4.0
LOST_FOR_S = 4.0
"""When and for how long servers lose answers within the cut, in seconds; 4 s in the site."""

LOSING_SHARE = 0.6
LOST_SHARE = 0.4
"""Share of the servers that lose answers and share of those, as in the site's days."""

CALL_INTERVAL_S = 0.016

WORK_S = 0.1


async def send_requests(deployment: Deployment) -> None:
    """Send lookups to each daemon in turn until cancelled."""
    tasks: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        daemon = deployment.daemons[number % DAEMON_COUNT]
        request_id = secrets.token_hex(8)
        headers = {
            'Host': 'lookups.example',
            'X-Request-Id': request_id,
            'X-Request-Deadline': '4000',
        }
        path = f'/x/{request_id}'
        deployment.record.write(f'{request_id} sent to {daemon.name}')
        answer = await call(daemon.host, daemon.front, 'GET', path, headers, 5.0)
        deployment.record.write(f'{request_id} answered {answer.status}')

    number = 0
    while True:
        for _ in range(DAEMON_COUNT):
            task = asyncio.create_task(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
        await asyncio.sleep(CALL_INTERVAL_S)


async def run(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Cut two daemons off from all servers, and let servers lose answers meanwhile."""
    async with Deployment(record, folder) as deployment:
        await deployment.store.put(
            'config',
            'main',
            build_configuration(
                [
                    build_route('lookups', 'lookups', **{'max-attempts': MAX_ATTEMPTS}),
                    build_service('lookups'),
                ]
            ),
        )
        for number in range(1, SERVER_COUNT + 1):
            server = await deployment.add_server(f's{number}', 'lookups')
            server.work_s = WORK_S
        await deployment.start_daemons(DAEMON_COUNT, is_first_start=True, has_paths=True)
        await asyncio.sleep(4.0)
        calls = asyncio.create_task(send_requests(deployment))
        await asyncio.sleep(2.0)
        keeper = deployment.find_keeper()
        others = [daemon for daemon in deployment.daemons if daemon is not keeper]
        for daemon in others[:CUT_COUNT] if has_trouble else []:
            record.write(f'{daemon.name} is cut off from all servers')
            for path in daemon.paths:
                path.stop()
        await asyncio.sleep(LOST_FROM_S)
        losing = deployment.servers[: int(LOSING_SHARE * SERVER_COUNT)]
        for server in losing:
            server.loses_answers_share = LOST_SHARE
        record.write(f'servers lose answers: {", ".join(server.name for server in losing)}')
        await asyncio.sleep(LOST_FOR_S)
        for server in losing:
            server.loses_answers_share = 0.0
        record.write('servers lose no more answers')
        await asyncio.sleep(CUT_S - LOST_FROM_S - LOST_FOR_S)
        calls.cancel()
        await asyncio.gather(calls, return_exceptions=True)
        await asyncio.sleep(2.0)
        return report(record, deployment)


def report(record: Record, deployment: Deployment) -> bool:
    """Return whether too many requests ran on more servers than their route allows."""
    servers_by_id: defaultdict[str, list[str]] = defaultdict(list)
    for each in deployment.runs:
        servers_by_id[each.request_id].append(each.server)
    beyond = {
        request_id: servers
        for request_id, servers in servers_by_id.items()
        if len(set(servers)) > MAX_ATTEMPTS
    }
    for request_id, servers in beyond.items():
        record.write(f'{request_id} ran on {", ".join(servers)}')
    record.write(
        f'{len(beyond)} of {len(servers_by_id)} requests ran on more than {MAX_ATTEMPTS}'
        f' servers, {MAX_REQUEST_COUNT} may'
    )
    return len(beyond) > MAX_REQUEST_COUNT


if __name__ == '__main__':
    run_case(Path(__file__).parent / 'record.txt', run)
