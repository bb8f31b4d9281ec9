"""Answers to calls of the store, and to grants and releases, that stop at any byte."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.http1 import Address, BrokenExchangeError
from coltsfootstair.registry import BackendServer, ServerState
from coltsfootstair_platform import HttpGrantClient, HttpObjectStore
from tests.coltsfootstair_platform.standin import encode_answer, read_request

ITEM = {'metadata': {'name': 'a', 'revision': 5}, 'spec': {'x': 1}}
RESET = struct.pack('ii', 1, 0)

StoreCall = Callable[[HttpObjectStore], Awaitable[Any]]

STORE_CALLS: dict[str, tuple[StoreCall, Any]] = {
    'list': (
        lambda store: store.list('k'),
        {'items': [ITEM], 'has-more': False, 'current-rev': 7},
    ),
    'get': (lambda store: store.get('k', 'a'), ITEM),
    'create': (lambda store: store.create('k', 'a', {'x': 1}), ITEM),
    'replace': (lambda store: store.replace('k', 'a', {'x': 1}, expected_revision=4), ITEM),
    'watch': (
        lambda store: store.watch('k', 4, 0.1),
        {'events': [{'object': ITEM, 'deleted': True}], 'current-rev': 7},
    ),
}
"""Calls of the store, and the values that it answers them with."""


class CuttingServer:
    """Answers with the first bytes of ``answer``, and then ends the connection.

    :ivar cut_at: how many bytes are sent; all if ``None``, and the connection is kept
    """

    def __init__(self, answer: bytes, *, resets: bool) -> None:
        self.answer = answer
        self.cut_at: int | None = None
        self._resets = resets

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await read_request(reader) is not None:
                writer.write(self.answer[: self.cut_at])
                if self.cut_at is not None:
                    break
        except (ConnectionError, asyncio.CancelledError):
            return  # The client or the test has ended.
        finally:
            if self._resets and self.cut_at is not None:
                raw_socket = writer.get_extra_info('socket')
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                # What was sent is read before the reset.
                await asyncio.sleep(0.002)
                writer.transport.abort()
            writer.close()

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[Address]:
        listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        try:
            yield Address(*listener.sockets[0].getsockname()[:2])
        finally:
            listener.close()


def _remove_length(answer: bytes) -> bytes:
    lines = answer.split(b'\r\n')
    return b'\r\n'.join(line for line in lines if not line.startswith(b'Content-Length'))


@pytest.mark.parametrize('name', STORE_CALLS)
@pytest.mark.parametrize('has_length', [True, False])
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('is_used', [False, True])
def test_an_answer_of_the_store_that_stops_early_is_none(
    name: str, has_length: bool, resets: bool, is_used: bool
) -> None:
    """Guards against half of a list, or an empty answer, that passes for a whole one."""
    call, value = STORE_CALLS[name]
    whole = encode_answer(200, json.dumps(value).encode())
    answer = whole if has_length else _remove_length(whole)

    async def work() -> None:
        server = CuttingServer(whole, resets=resets)
        async with server.run() as address:
            store = HttpObjectStore(address, SystemClock())
            for cut_at in range(len(answer)):
                if is_used:
                    server.answer, server.cut_at = whole, None
                    await call(store)
                server.answer, server.cut_at = answer, cut_at
                with pytest.raises(StoreUnavailableError):
                    await call(store)

    asyncio.run(work())


@pytest.mark.parametrize('is_release', [False, True])
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('is_used', [False, True])
def test_an_answer_to_a_grant_call_that_stops_early_is_none(
    is_release: bool, resets: bool, is_used: bool
) -> None:
    headers = {'X_Handover': '5c0e7a21d94b36f8'} if is_release else {}
    granted = encode_answer(200, b'')
    answer = encode_answer(200, b'{}', **headers)

    async def work() -> None:
        server = CuttingServer(granted, resets=resets)
        async with server.run() as address:
            named = BackendServer('s1', 1, 's', address, 'north', 4, ServerState.READY, 0.0)
            client = HttpGrantClient(SystemClock())
            for cut_at in range(len(answer)):
                if is_used:
                    server.answer, server.cut_at = granted, None
                    await client.grant(named, 0, 9, 2, 2.5, None, 1.0)
                server.answer, server.cut_at = answer, cut_at
                call: Awaitable[Any] = (
                    client.release(named, 0, 9, 3, 1.0)
                    if is_release
                    else client.grant(named, 0, 9, 2, 2.5, None, 1.0)
                )
                with pytest.raises(BrokenExchangeError):
                    await call

    asyncio.run(work())
