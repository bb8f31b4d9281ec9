"""A daemon is stopped while clients that pipeline read their answers over a slow link."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3 import (  # noqa: E402
    Client,
    Daemon,
    Record,
    Request,
    Store,
    Upstream,
    build_config,
    run_case,
    run_daemons,
)

CLIENT_COUNT = 12

OUTSTANDING_COUNT = 6
"""Requests that a client has sent and that are not answered; it sends one for each answer."""

ANSWER_BYTES = 90_000
"""Average size of a download at the site."""

READ_BYTES_PER_S = 300_000
"""Rate at which a client reads, in bytes a second."""

READ_INTERVAL_S = 0.02

RECEIVE_BUFFER_BYTES = 16_384

DEADLINE_MS = 2905
"""Deadline of a download at the site, in milliseconds."""

TIMEOUT_MS = 2500
"""Timeout of its route, in milliseconds."""

UPSTREAM_COUNT = 4

STOPPED_AFTER_S = 4.0
"""Time from the first request to SIGTERM, in seconds."""

GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL, in seconds (``grace-s``)."""

REPLY = bytes(ANSWER_BYTES)


async def _run_download(
    upstream: Upstream,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    await asyncio.sleep(0.02)
    writer.write(upstream.build_answer(request, REPLY))
    await writer.drain()
    return True


class _SlowClient:
    """A client on one kept connection, which it uses until it is told to close.

    :ivar lost: requests without a complete answer at the end of the connection, with the
        time since they were sent, in seconds
    """

    def __init__(self, name: str, record: Record) -> None:
        self.lost: list[tuple[str, float]] = []
        self.answered_count = 0
        self._name = name
        self._record = record
        self._outstanding: list[tuple[str, float]] = []

    async def run(self, daemon: Daemon) -> None:
        """Send requests and read the answers, until the connection ends."""
        client = await Client(daemon).open(RECEIVE_BUFFER_BYTES)
        for _ in range(OUTSTANDING_COUNT):
            self._send(client)
        buffer = b''
        is_closing = False
        while self._outstanding and not is_closing:
            piece = b''
            with contextlib.suppress(ConnectionError):
                piece = await client.reader.read(int(READ_BYTES_PER_S * READ_INTERVAL_S))
            if not piece:
                break
            buffer += piece
            while (end := self._find_end(buffer)) is not None:
                is_closing = is_closing or b'\r\nConnection: close' in buffer[:end]
                buffer = buffer[end:]
                sent, _ = self._outstanding.pop(0)
                self.answered_count += 1
                self._record.write(f'{self._name}: {sent} answered')
                if is_closing:
                    break
                with contextlib.suppress(ConnectionError):
                    self._send(client)
            await asyncio.sleep(READ_INTERVAL_S)
        now = self._record.now()
        if not is_closing:
            self.lost = [(sent, now - sent_at) for sent, sent_at in self._outstanding]
        self._record.write(
            f'{self._name}: the connection ends {"as announced" if is_closing else "cut"},'
            f' with {len(buffer)} bytes of the next answer'
        )
        client.close()

    def _send(self, client: Client) -> None:
        sent = client.send('GET', 'reports', '/x/usage', deadline_ms=DEADLINE_MS)
        self._outstanding.append((sent, self._record.now()))
        self._record.write(f'{self._name}: {sent} sent')

    @staticmethod
    def _find_end(buffer: bytes) -> int | None:
        """Return where the first answer in ``buffer`` ends, if it is complete."""
        head, mark, _ = buffer.partition(b'\r\n\r\n')
        if not mark:
            return None
        lines = [line for line in head.lower().split(b'\r\n') if line.startswith(b'content-l')]
        end = len(head) + 4 + int(lines[0].partition(b':')[2])
        return end if len(buffer) >= end else None


async def _play(record: Record, is_troubled: bool) -> list[str]:
    store = Store()
    await store.start()
    route = {
        'name': 'reports',
        'service': 'partner-portal',
        'kind': 'download',
        'timeout-ms': TIMEOUT_MS,
        'target-latency-ms': 2324,
    }
    await store.put('config', 'main', build_config(1, [route]))
    upstreams = [
        Upstream(f'i-{number}', 'partner-portal', record, slots=32, run=_run_download)
        for number in range(UPSTREAM_COUNT)
    ]
    clients = [_SlowClient(f'client {number}', record) for number in range(CLIENT_COUNT)]
    try:
        for upstream in upstreams:
            await upstream.join(store)
        async with run_daemons(2, store, record) as daemons:
            tasks = [asyncio.create_task(client.run(daemons[0])) for client in clients]
            await asyncio.sleep(STOPPED_AFTER_S)
            if is_troubled:
                record.write(f'SIGTERM to {daemons[0].name}')
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(GRACE_S):
                        await daemons[0].end(signal.SIGTERM)
                record.write(f'{daemons[0].name} has ended')
            else:
                await asyncio.sleep(GRACE_S)
                for task in tasks:
                    task.cancel()
            await asyncio.wait(tasks)
    finally:
        for upstream in upstreams:
            upstream.stop()
        store.stop()
    ran_ids = {each for upstream in upstreams for each in upstream.ran_ids}
    lost = [
        (sent, age_s)
        for client in clients
        for sent, age_s in client.lost
        if sent in ran_ids and age_s < TIMEOUT_MS / 1000
    ]
    answered_count = sum(client.answered_count for client in clients)
    record.write(f'{answered_count} answered, {len(lost)} run and not answered')
    if not lost:
        return []
    oldest_s = max(age_s for _, age_s in lost)
    text = (
        f'LOST broken: {len(lost)} requests were read, passed on and run around the SIGTERM,'
        f' and their connections ended without a complete answer, {oldest_s:.1f} s after'
        ' they were sent at most'
    )
    return [text]


if __name__ == '__main__':
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(run_case(FOLDER / 'record.txt', is_troubled, _play))
