"""A daemon restarts while servers leave, and its first list has pages of different age.

No booking may reach a server later than the drain time after the store took its leaving.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
from pathlib import Path

from standins import (
    BROKEN,
    HELD,
    Daemon,
    Record,
    Store,
    Upstream,
    build_configuration,
    build_route,
    call,
    run_case,
)

RECORD_PATH = Path(__file__).resolve().parent / 'record.txt'

UPSTREAM_COUNT_BY_SERVICE = {'bookdesk': 32, 'scanbay': 10, 'slotview': 74}
"""As in the deployment lpfs-gateway-grown."""

PAGE_SIZE = 50
"""Objects in a page of a list: ``page`` under ``discovery`` of the site files."""

STALE_S = 3.0
"""Age of a stale read, in seconds: "may return data that is seconds old"; the bench's default,
half of the largest dose in the site file."""

FRESH_S = 0.1
"""Age of the first page, in seconds; a stale read may also return what is nearly new."""

LEAVING_SHARE = 0.25
"""Share of the service's servers that leave: the largest of ``scale_in`` in the site file."""

DRAIN_TIMEOUT_MS = 2500
"""``drain-timeout-ms`` of the site file, in milliseconds."""

SERVES_ON_S = 9.0
"""How long a leaving server serves before it exits, in seconds: the drain time "and a little
longer (at times many seconds)"."""

TOUCH_S = 3.0
"""``touch-ms`` of the site file, in seconds."""

WORK_S = 0.29
"""Mean time of a booking, by the site file, in seconds."""

BOOKING_COUNT = 32
"""Bookings that arrive at one moment."""


async def run(record: Record, folder: Path, has_trouble: bool) -> int:
    """Let servers leave and the daemon restart, and send bookings as the servers exit."""
    store = Store(record)
    store.page_size = PAGE_SIZE
    store.stale_age_by_page = lambda page: STALE_S if page else FRESH_S
    await store.start()
    upstreams: list[Upstream] = []
    for service, count in UPSTREAM_COUNT_BY_SERVICE.items():
        for number in range(count):
            zone = ('erie-shore', 'huron-bay')[number % 2]
            name = f'i-{random.getrandbits(40):010x}'
            upstreams.append(Upstream(name, service, zone, record, WORK_S))
    for upstream in upstreams:
        await upstream.start()
        await store.put('servers', upstream.name, upstream.build_entry())
    # So that a stale read has them all, as in a deployment that has run for a while.
    await asyncio.sleep(STALE_S + 0.5)
    routes = [
        build_route('booking', 'non_idempotent', 'bookdesk', 2500, 800),
        build_route('upload', 'upload', 'scanbay', 2500, 800),
        build_route('lookup', 'idempotent', 'slotview', 2000, 600),
    ]
    await store.put('config', 'main', build_configuration(routes))
    names = ('edge-erie-shore-1', 'edge-erie-shore-2', 'edge-huron-bay-1')
    daemons = [Daemon(name, name[5:-2], store.port, folder) for name in names]
    for daemon in daemons:
        daemon.drain_timeout_ms = DRAIN_TIMEOUT_MS
    restarted = daemons[-1]
    answers: dict[str, int] = {}
    try:
        for daemon in daemons:
            await daemon.start(bootstrap=True)
        for daemon in daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(5.0)
        of_service = [each for each in upstreams if each.service == 'bookdesk']
        leaving = random.sample(of_service, round(LEAVING_SHARE * len(of_service)))
        for upstream in leaving:
            upstream.is_leaving = True
            await store.put('servers', upstream.name, upstream.build_entry())
        acknowledged_at = record.now
        record.write('leaving acknowledged', servers=[each.name for each in leaving])
        started_at = 0.0
        if has_trouble:
            await asyncio.sleep(0.2)
            await restarted.end(signal.SIGKILL)
            record.write('daemon killed', daemon=restarted.name)
            await asyncio.sleep(0.5)
            await restarted.start(bootstrap=False)
            started_at = record.now
            record.write('daemon started', daemon=restarted.name)
            await restarted.wait_until_ready()
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - 0.2 - record.now)
        calls = [
            asyncio.create_task(_book(record, restarted, number, answers))
            for number in range(BOOKING_COUNT)
        ]
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - record.now)
        for upstream in leaving:
            upstream.end()
            await store.delete('servers', upstream.name)
        await asyncio.gather(*calls)
    finally:
        for daemon in daemons:
            await daemon.end(signal.SIGKILL)
    return judge(record, acknowledged_at, started_at, answers)


async def _book(record: Record, daemon: Daemon, number: int, answers: dict[str, int]) -> None:
    request_id = f'{random.getrandbits(64):016x}'
    body = random.randbytes(4_000)
    record.write('sent', id=request_id, daemon=daemon.name, body_bytes=len(body))
    head = [
        f'POST /a/{number} HTTP/1.1',
        'Host: booking.example',
        f'X-Request-Id: {request_id}',
        'X-Request-Deadline: 5000',
        f'Content-Length: {len(body)}',
    ]
    answer = await call(daemon.front, head, body)
    answers[request_id] = answer.status
    record.write(
        'answered', id=request_id, status=answer.status, body=answer.body.decode('latin-1')
    )


def judge(
    record: Record, acknowledged_at: float, started_at: float, answers: dict[str, int]
) -> int:
    """Return whether DRAIN was broken: a request came too late, by a machine in touch."""
    text = RECORD_PATH.read_text(encoding='utf-8')
    lines = [json.loads(line) for line in text.splitlines()]
    sent_at = {line['id']: line['at'] for line in lines if line['event'] == 'sent'}
    ended = {line['id'] for line in lines if line['event'] == 'run ends'}
    late = [
        line
        for line in lines
        if line['event'] == 'run begins'
        and line['is_leaving']
        and line['at'] > acknowledged_at + DRAIN_TIMEOUT_MS / 1000
        and sent_at[line['id']] > started_at + TOUCH_S
    ]
    record.write(
        'judged',
        rule='DRAIN',
        sent=len(sent_at),
        reached_a_leaving_server_late=len(late),
        latest_s_after_acknowledgement=round(
            max((line['at'] - acknowledged_at for line in late), default=0.0), 2
        ),
        of_these_cut_off_at_work=sum(line['id'] not in ended for line in late),
        of_these_answered_502=sum(answers.get(line['id']) == 502 for line in late),
    )
    return BROKEN if late else HELD


if __name__ == '__main__':
    run_case(run, RECORD_PATH, has_trouble=os.environ.get('TROUBLE') != '0')
