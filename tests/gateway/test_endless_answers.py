"""Many backend servers at once that send bytes without end, beside honest ones."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import multiprocessing
import re
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import TYPE_CHECKING

from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin
from tests.gateway.harness import RunningGateway, run_gateway, run_with_time_limit

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

REPEATED_BYTES = 64 * 1024
STALLED_BODY_BYTES = 15 * 1024 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
KINDS = {
    'header lines': (OK, b'A: b\r\n'),
    'body': (OK + b'X-Upstream-Signature: s\r\n\r\n', b'x'),
    'chunk extension': (OK + b'Transfer-Encoding: chunked\r\n\r\n5;', b'x'),
    'stalled body': (OK + b'\r\n' + b'x' * STALLED_BODY_BYTES, b''),
}
SERVERS_PER_KIND = 12
REQUEST_COUNT = 200
REQUEST_INTERVAL_S = 0.01
MAX_GROWTH_MIB = 128
"""Half of the memory that the harness's settings give the daemon."""


class RemoteServer(ServerStandin):
    """An entry in the store for a server that another process runs."""

    def __init__(self, name: str, port: int) -> None:
        super().__init__(name)
        self.port = port

    async def start(self, port: int = 0) -> None:
        """Do nothing: it runs already."""

    def stop(self) -> None:
        """Do nothing: its process ends it."""


async def _serve_endless(control: Connection) -> None:
    request_ids: set[str] = set()

    async def serve(
        kind: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first, part = KINDS[kind]
        part *= REPEATED_BYTES // max(1, len(part))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            request_ids.update(re.findall(r'X-Request-Id: (\S+)', head.decode()))
            writer.write(first)
            while part:
                writer.write(part)
                await writer.drain()
            await reader.read()
        writer.transport.abort()

    listeners = [
        await asyncio.start_server(functools.partial(serve, kind), '127.0.0.1', 0)
        for kind in KINDS
        for _ in range(SERVERS_PER_KIND)
    ]
    control.send([listener.sockets[0].getsockname()[1] for listener in listeners])
    await asyncio.to_thread(control.recv)
    control.send(request_ids)


def _run_endless_servers(control: Connection) -> None:
    asyncio.run(_serve_endless(control))


class EndlessServers:
    """Process with the endless servers; they run until ``stop``."""

    def __init__(self) -> None:
        context = multiprocessing.get_context('spawn')
        self._control, control = context.Pipe()
        self._process = context.Process(target=_run_endless_servers, args=(control,))
        self._process.start()
        self.servers = [
            RemoteServer(f'e{index}', port) for index, port in enumerate(self._control.recv())
        ]

    def stop(self) -> set[str]:
        """End the process; return the ids of the requests that arrived there."""
        self._control.send(None)
        request_ids: set[str] = self._control.recv()
        self._process.join()
        return request_ids


def _read_memory_kib(field: str) -> int:
    status = Path('/proc/self/status').read_text(encoding='ascii')
    found = re.search(rf'^{field}:\s+(\d+) kB', status, re.MULTILINE)
    assert found is not None
    return int(found[1])


@contextlib.asynccontextmanager
async def _measure_growth_mib(growth: list[float]) -> AsyncIterator[None]:
    """Append how far the peak memory within the block lies above that at its start."""
    Path('/proc/self/clear_refs').write_text('5', encoding='ascii')  # Resets the peak.
    before_kib = _read_memory_kib('VmRSS')
    yield
    growth.append((_read_memory_kib('VmHWM') - before_kib) / 1024)


def test_many_endless_servers_neither_fill_the_memory_nor_stop_honest_ones() -> None:
    growth: list[float] = []
    honest = [ServerStandin(f'h{index}') for index in range(2)]

    async def call(running: RunningGateway, route: str, request_id: str) -> tuple[str, int]:
        body = b'x' if route == 'bookings' else None
        answer = await running.call(route, '/x/a', body, X_Request_Id=request_id)
        return request_id, answer.status

    async def work(servers: list[RemoteServer]) -> tuple[dict[str, int], list[int]]:
        async with run_gateway(
            *(('calendar', server) for server in servers),
            *(('desk', server) for server in honest),
        ) as running:
            await call(running, 'bookings', 'b')
            async with _measure_growth_mib(growth):
                lookups, bookings = [], []
                for number in range(REQUEST_COUNT):
                    lookup = call(running, 'lookups', f'l{number}')
                    lookups.append(asyncio.create_task(lookup))
                    bookings.append((await call(running, 'bookings', f'b{number}'))[1])
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                return dict(await asyncio.gather(*lookups)), bookings

    endless = EndlessServers()
    try:
        status_by_id, booking_statuses = run_with_time_limit(work(endless.servers))
    finally:
        arrived = endless.stop()
    print('peak growth in MiB', growth, Counter(status_by_id.values()), len(arrived))
    assert set(booking_statuses) == {200}
    assert len(arrived) > REQUEST_COUNT / 2
    for request_id, status in status_by_id.items():
        assert status in ((502, 504) if request_id in arrived else (502, 503, 504))
    assert growth[0] < MAX_GROWTH_MIB


def test_a_server_that_sends_an_endless_head_is_avoided_like_any_failing_one() -> None:
    async def send_endless_head(
        _request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(OK)
        while True:
            writer.write(b'A: b\r\n' * 1000)
            await writer.drain()

    endless, honest = ServerStandin('s1', send_endless_head), ServerStandin('s2')

    async def work() -> tuple[Counter[int], str]:
        async with run_gateway(('calendar', endless), ('calendar', honest)) as running:
            for state in ('draining', 'ready'):
                entry = honest.build_entry('calendar', state=state)
                await running.store.put('servers', honest.name, entry)
                await asyncio.sleep(0.6)
                if state == 'draining':
                    # Only the endless server may get it.
                    assert (await running.call('lookups')).status == 502
            statuses: Counter[int] = Counter()
            for _ in range(10):
                calls = [running.call('lookups') for _ in range(4)]
                statuses.update([answer.status for answer in await asyncio.gather(*calls)])
            return statuses, running.gateway.metrics.render_page().decode()

    statuses, metrics = run_with_time_limit(work())
    # The retry budget may not suffice at first.
    assert set(statuses) <= {200, 502}
    assert statuses[200] >= 36
    assert 0 < len(endless.received) < 10
    count = len(endless.received)
    assert re.search(rf'answers_cut_off.*reason="head too large".* {count}\.0', metrics)
