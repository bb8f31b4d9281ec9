"""Tests of the memory of a daemon process while long uploads end in different ways."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.coltsfootstair_platform.programs import Program, run_programs
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    StoreStandin,
    build_configuration,
    build_route,
    build_service,
    run_listeners,
)

MEMORY_LIMIT_MIB = 300
"""``memory-mb`` of the settings; the platform kills a process that exceeds it."""

MIB = 1024 * 1024
UPLOAD_SERVER_COUNT = 4
UPLOAD_TIMEOUT_MS = 3000
BOOKING_INTERVAL_S = 0.1
READS_ON_AFTER_S = 2.0
SLOW_PIECE_INTERVAL_S = 0.05
SLOW_READ_BYTES = 64 * 1024
GIVES_UP_AFTER_S = 0.7
REPEATED_BYTES = 64 * 1024

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'

ENDLESS = {
    'noise': (b'', b'x'),
    'one header': (OK, b'A: b'),
    'headers': (OK, b'A: b\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunks': (CHUNKED, b'400\r\n' + b' ' * 1024 + b'\r\n'),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n'),
    'body to the close': (OK + b'\r\n', b' '),
    'announced body': (OK + b'Content-Length: 1000000000000000\r\n\r\n', b' '),
    'stops within its body': (OK + b'Content-Length: 15728640\r\n\r\n', b''),
}
"""Beginnings and repeated parts of answers without an end."""

ENDINGS = [
    *ENDLESS,
    'slow body',
    'answered',
    'answered early',
    'answered early and in full',
    'reset after the body',
    'reset within the body',
    'silent',
    'read slowly by the server',
    'given up by the caller',
]


class _UploadServer(ServerStandin):
    """Reads uploads, or not, and ends their exchanges in one way."""

    def __init__(self, name: str, ending: str) -> None:
        super().__init__(name)
        self._ending = ending

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._serve_upload(reader, writer):
                pass
        self._writers.discard(writer)
        writer.transport.abort()

    async def _serve_upload(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = (line.partition(':') for line in head.split('\r\n')[1:])
        headers = {name.lower(): value.strip() for name, _, value in lines}
        length = int(headers.get('content-length', '0'))
        request = ReceivedRequest('POST', '/x/a', headers, b'')
        match self._ending:
            case 'answered':
                await _skip(reader, length)
                writer.write(self.build_answer(request, b'stored'))
                return True
            case 'answered early' | 'answered early and in full':
                # Clients can't tell these apart: the latter says that it is a success.
                answer = self.build_answer(request, b'no')
                if self._ending == 'answered early':
                    answer = answer.replace(b' 200 ', b' 413 ', 1)
                writer.write(answer)
                await asyncio.sleep(READS_ON_AFTER_S)
                await _skip(reader, length)
                return True
            case 'reset after the body':
                await _skip(reader, length)
                return False
            case 'reset within the body':
                await _skip(reader, length // 2)
                return False
            case 'read slowly by the server':
                while length:
                    length -= len(await reader.read(min(length, SLOW_READ_BYTES)))
                    await asyncio.sleep(SLOW_PIECE_INTERVAL_S)
            case 'silent' | 'given up by the caller':
                await _skip(reader, length)
                await reader.read(1)
                return False
            case 'slow body':
                writer.write(OK + b'\r\n')
                while True:
                    writer.write(b' ')
                    await writer.drain()
                    await asyncio.sleep(SLOW_PIECE_INTERVAL_S)
        first, part = ENDLESS[self._ending]
        writer.write(first)
        part *= REPEATED_BYTES // max(1, len(part))
        while part:
            writer.write(part)
            await writer.drain()
        await _skip(reader, length)
        return True


async def _skip(reader: asyncio.StreamReader, length: int) -> None:
    while length > 0:
        piece = await reader.read(min(length, MIB))
        if not piece:
            raise asyncio.IncompleteReadError(b'', length)
        length -= len(piece)


async def _send(
    program: Program,
    route: str,
    number: int,
    body: bytes,
    max_wait_s: float = 2 * UPLOAD_TIMEOUT_MS / 1000,
) -> int:
    """Send a request, and return the status of its answer; 0 if there is none."""
    head = (
        f'POST /x/a HTTP/1.1\r\nHost: {route}.example\r\nX-Request-Id: {route}{number}\r\n'
        f'X-Request-Deadline: {UPLOAD_TIMEOUT_MS}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    reader, writer = await asyncio.open_connection('127.0.0.1', program.callers)
    try:
        writer.write(head.encode())
        sending = asyncio.ensure_future(_write_body(writer, body))
        async with asyncio.timeout(max_wait_s):
            answer = await reader.readuntil(b'\r\n\r\n')
        sending.cancel()
        return int(answer.split(b' ')[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.transport.abort()


async def _write_body(writer: asyncio.StreamWriter, body: bytes) -> None:
    with contextlib.suppress(OSError):
        for start in range(0, len(body), MIB):
            writer.write(body[start : start + MIB])
            await writer.drain()


def _read_peak_mib(program: Program) -> float:
    status = Path(f'/proc/{program.pid}/status').read_text(encoding='ascii')
    found = re.search(r'^VmHWM:\s+(\d+) kB', status, re.MULTILINE)
    assert found is not None
    return int(found[1]) / 1024


@contextlib.asynccontextmanager
async def _run_daemon(ending: str, folder: Path) -> AsyncIterator[Program]:
    servers = [_UploadServer(f'u{number}', ending) for number in range(UPLOAD_SERVER_COUNT)]
    sound = [ServerStandin(f's{number}') for number in range(2)]
    store = StoreStandin()
    configuration = build_configuration(**{'max-body-bytes': 64 * MIB})
    configuration['resources'] = [
        each
        for each in configuration['resources']
        if each['metadata'].get('name') != 'uploads'
    ]
    configuration['resources'] += [
        build_service('vault'),
        build_route('uploads', 'vault', kind='upload', **{'timeout-ms': UPLOAD_TIMEOUT_MS}),
    ]
    async with run_listeners(store, *servers, *sound):
        await store.put('config', 'main', configuration)
        for service, group in (('vault', servers), ('desk', sound)):
            for server in group:
                await store.put('servers', server.name, server.build_entry(service))
        async with run_programs(1, store, folder) as programs:
            # The first keeper has no servers to give keys to; it only needs to be there.
            await asyncio.sleep(0.5)
            yield programs[0]


async def _play(
    ending: str, size_mib: int, at_once: int, folder: Path
) -> tuple[float, Counter[int], Counter[int]]:
    """Send uploads, and bookings at sound servers beside them.

    :return: the most memory that the process has had, in MiB, the statuses of the uploads, and
        those of the bookings
    """
    body = bytes(size_mib * MIB)
    max_wait_s = 2 * UPLOAD_TIMEOUT_MS / 1000
    if ending == 'given up by the caller':
        max_wait_s = GIVES_UP_AFTER_S
    async with _run_daemon(ending, folder) as program:
        bookings = []
        uploads = []
        rounds = max(2, 6 // at_once)
        for round_number in range(rounds):
            uploads += [
                asyncio.ensure_future(
                    _send(
                        program, 'uploads', at_once * round_number + number, body, max_wait_s
                    )
                )
                for number in range(at_once)
            ]
            for number in range(5):
                bookings.append(
                    asyncio.ensure_future(
                        _send(program, 'bookings', 5 * round_number + number, b'b' * 4000)
                    )
                )
                await asyncio.sleep(BOOKING_INTERVAL_S)
        upload_statuses = Counter(await asyncio.gather(*uploads))
        booking_statuses = Counter(await asyncio.gather(*bookings))
        peak_mib = _read_peak_mib(program)
        assert program.is_running
    assert program.failures == []
    return peak_mib, upload_statuses, booking_statuses


@pytest.mark.parametrize('size_mib', [20, 60])
@pytest.mark.parametrize('ending', ENDINGS)
def test_long_uploads_do_not_fill_the_memory_however_they_end(
    ending: str, size_mib: int, tmp_path: Path
) -> None:
    """A daemon kept the bodies of failed uploads until it was killed."""
    at_once = 2 if size_mib == 20 else 1
    peak_mib, uploads, bookings = asyncio.run(_play(ending, size_mib, at_once, tmp_path))
    print(f'{ending}, {size_mib} MiB: {peak_mib:.0f} MiB, {dict(uploads)}, {dict(bookings)}')
    assert peak_mib < MEMORY_LIMIT_MIB
    assert set(bookings) == {200}
    # Each caller that waits gets an answer.
    assert 0 not in uploads or ending == 'given up by the caller'
    if ending == 'answered':
        assert uploads[200] > 0
