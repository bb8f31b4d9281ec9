"""Answers of the store and to grant calls that have no end, or are no answer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.http1 import Address, BrokenExchangeError
from coltsfootstair.registry import BackendServer, ServerState
from coltsfootstair_platform import HttpGrantClient, HttpObjectStore
from tests.coltsfootstair_platform.standin import encode_answer, read_request

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
REPEATED_BYTES = 64 * 1024
MAX_STORE_BYTES = 24 * 1024 * 1024
MAX_GRANT_BYTES = 14 * 1024 * 1024
"""Bytes that a server can send before it is cut off, buffers of its sockets included."""

ENDLESS = {
    'header lines': (OK, b'A: b\r\n'),
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n'),
    'chunk extension': (CHUNKED + b'5;', b'x'),
    'body': (OK + b'\r\n', b' '),
    'chunks': (CHUNKED, b'400\r\n' + b' ' * 1024 + b'\r\n'),
}


class EndlessServer:
    """Sends bytes without end to the first call of each connection."""

    def __init__(self, kind: str) -> None:
        self._first, self._part = ENDLESS[kind]
        self.sent_bytes = 0
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        part = self._part * (REPEATED_BYTES // len(self._part))
        with contextlib.suppress(ConnectionError):
            await read_request(reader)
            writer.write(self._first)
            while True:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
        writer.transport.abort()
        self.ended.set()


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def _listen(serve: Serve) -> AsyncIterator[Address]:
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_endless_answer_of_the_store_is_cut_off(kind: str) -> None:
    async def work() -> EndlessServer:
        server = EndlessServer(kind)
        async with asyncio.timeout(5.0), _listen(server.serve) as address:
            store = HttpObjectStore(address, SystemClock())
            with pytest.raises(StoreUnavailableError):
                await store.list('config')
            await server.ended.wait()
        return server

    assert asyncio.run(work()).sent_bytes < MAX_STORE_BYTES


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_endless_answer_to_a_grant_call_is_cut_off(kind: str) -> None:
    async def work() -> EndlessServer:
        server = EndlessServer(kind)
        async with asyncio.timeout(5.0), _listen(server.serve) as address:
            owner = BackendServer('s', 1, 'a', address, 'n', 4, ServerState.READY, 0.0)
            client = HttpGrantClient(SystemClock())
            with pytest.raises(BrokenExchangeError) as raised:
                await client.grant(owner, 0, 9, 2, 2.5, None, 4.0)
            assert raised.value.sent
            await server.ended.wait()
        return server

    assert asyncio.run(work()).sent_bytes < MAX_GRANT_BYTES


@pytest.mark.parametrize('body', [b'[' * 100_000, b'{"items": ' * 50_000, b'\xff' * 1000])
def test_a_body_of_the_store_that_is_nested_too_deeply_is_a_failed_call(body: bytes) -> None:
    """It raised an error that no caller of the client expects."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(encode_answer(200, body))
        writer.close()

    async def work() -> None:
        async with asyncio.timeout(5.0), _listen(serve) as address:
            with pytest.raises(StoreUnavailableError):
                await HttpObjectStore(address, SystemClock()).list('config')

    asyncio.run(work())


@pytest.mark.parametrize(
    ('names', 'value', 'max_pages'),
    [
        (lambda number: f'n{number:09}', 'x' * 200_000, 100),
        (lambda number: 'same', 'x', 3),
        (lambda number: f'n{number % 2}', 'x', 4),
    ],
)
def test_a_list_of_the_store_without_end_is_given_up(
    names: Callable[[int], str], value: str, max_pages: int
) -> None:
    page_count = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal page_count
        with contextlib.suppress(ConnectionError):
            while await read_request(reader) is not None:
                item = {'metadata': {'name': names(page_count), 'revision': 1}, 'spec': value}
                page = {'items': [item], 'has-more': True, 'current-rev': 1}
                writer.write(encode_answer(200, json.dumps(page).encode()))
                page_count += 1
        writer.close()

    async def work() -> float:
        before = time.monotonic()
        async with asyncio.timeout(5.0), _listen(serve) as address:
            with pytest.raises(StoreUnavailableError):
                await HttpObjectStore(address, SystemClock()).list('servers')
        return time.monotonic() - before

    assert asyncio.run(work()) < 4.0
    assert page_count <= max_pages
