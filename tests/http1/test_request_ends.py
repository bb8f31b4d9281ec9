"""Tests of where a caller's request ends, and of what it consists, split at every byte."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import pytest

from coltsfootstair.clock import Clock, SystemClock
from coltsfootstair.http1 import (
    CallerConnection,
    CallerLimits,
    Headers,
    IncomingRequest,
    Reply,
)

UPGRADE = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAM\r\n'
NEXT = b'GET /next HTTP/1.1\r\nHost: a\r\n\r\n'
NEXT_RUN = (b'GET', b'/next', b'')
HOST = b'Host: a\r\n'


class _Handler:
    """Answers each request at once, and records them."""

    limits = CallerLimits(max_header_bytes=2048, max_body_bytes=64)
    is_draining = False

    def __init__(self) -> None:
        self.clock: Clock = SystemClock()
        self.handled: list[tuple[bytes, bytes, bytes]] = []
        self.refused: list[int] = []

    def reserve_body_memory(self, size: int) -> bool:
        return True

    def release_body_memory(self, size: int) -> None:
        pass

    async def handle(self, request: IncomingRequest) -> Reply:
        self.handled.append((request.method, request.target, bytes(request.body)))
        return Reply(200, [], b'')

    def on_caller_left(self, request: IncomingRequest) -> bool:
        return False

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        self.refused.append(status)
        return Reply(status, [], b'')

    def on_connection_opened(self, connection: CallerConnection) -> None:
        pass

    def on_connection_closed(self, connection: CallerConnection) -> None:
        pass


class _Transport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def write_eof(self) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass


class Row(NamedTuple):
    """Bytes of a caller, and what becomes of them.

    :param run: method, target and body of each request that is handled, in order
    :param refused: status of each refusal
    """

    sent: bytes
    run: list[tuple[bytes, bytes, bytes]]
    refused: list[int]


def _post(headers: bytes, body: bytes = b'', version: bytes = b'1.1') -> bytes:
    return b'POST /x?q HTTP/' + version + b'\r\n' + HOST + headers + b'\r\n' + body


def _run(body: bytes = b'') -> tuple[bytes, bytes, bytes]:
    return (b'POST', b'/x?q', body)


LENGTH = b'Content-Length: 3\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'2\r\nab\r\n1;e=1\r\nc\r\n0\r\n\r\n'

ROWS = {
    'plain': Row(_post(LENGTH, b'abc') + NEXT, [_run(b'abc'), NEXT_RUN], []),
    'chunks': Row(_post(CHUNKED, CHUNKS) + NEXT, [_run(b'abc'), NEXT_RUN], []),
    'trailers': Row(
        _post(CHUNKED, CHUNKS[:-2] + b'X: y\r\n\r\n') + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'upgrade, length': Row(
        _post(UPGRADE + LENGTH, b'abc') + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'length, upgrade': Row(
        _post(LENGTH + UPGRADE, b'abc') + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'upgrade, chunks': Row(
        _post(UPGRADE + CHUNKED, CHUNKS) + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'upgrade, no body': Row(
        _post(UPGRADE + b'Content-Length: 0\r\n') + NEXT, [_run(), NEXT_RUN], []
    ),
    'two upgrades': Row(
        2 * _post(UPGRADE + LENGTH, b'abc') + NEXT, [_run(b'abc'), _run(b'abc'), NEXT_RUN], []
    ),
    'upgrade to a web socket': Row(
        b'GET /x?q HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n'
        + NEXT,
        [(b'GET', b'/x?q', b''), NEXT_RUN],
        [],
    ),
    'upgrade, body that looks like a request': Row(
        _post(UPGRADE + b'Content-Length: %d\r\n' % len(NEXT), NEXT), [_run(NEXT)], []
    ),
    'upgrade, too long': Row(_post(UPGRADE + b'Content-Length: 65\r\n', b'abc'), [], [413]),
    'upgrade, expect': Row(
        _post(UPGRADE + LENGTH + b'Expect: 100-continue\r\n', b'abc') + NEXT,
        [_run(b'abc'), NEXT_RUN],
        [],
    ),
    'upgrade, close': Row(
        _post(b'Connection: upgrade, close\r\nUpgrade: h2c\r\n' + LENGTH, b'abc') + NEXT,
        [_run(b'abc')],
        [],
    ),
    'upgrade, 1.0': Row(_post(UPGRADE + LENGTH, b'abc', b'1.0') + NEXT, [_run(b'abc')], []),
    'upgrade that the connection does not name': Row(
        _post(b'Upgrade: h2c\r\n' + LENGTH, b'abc') + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'connection names an upgrade that is not there': Row(
        _post(b'Connection: upgrade\r\n' + LENGTH, b'abc') + NEXT, [_run(b'abc'), NEXT_RUN], []
    ),
    'connect': Row(b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n' + NEXT, [], [400]),
    'connect with a body': Row(
        b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n' + LENGTH + b'\r\nabc' + NEXT, [], [400]
    ),
    'expect': Row(
        _post(LENGTH + b'Expect: 100-continue\r\n', b'abc') + NEXT,
        [_run(b'abc'), NEXT_RUN],
        [],
    ),
    '1.0': Row(_post(LENGTH, b'abc', b'1.0') + NEXT, [_run(b'abc')], []),
    '1.0, keep-alive': Row(
        _post(b'Connection: keep-alive\r\n' + LENGTH, b'abc', b'1.0') + NEXT,
        [_run(b'abc'), NEXT_RUN],
        [],
    ),
    'close': Row(_post(b'Connection: close\r\n' + LENGTH, b'abc') + NEXT, [_run(b'abc')], []),
    'length and chunks': Row(_post(LENGTH + CHUNKED, CHUNKS), [], [400]),
    'chunks and length': Row(_post(CHUNKED + LENGTH, CHUNKS), [], [400]),
    'two lengths': Row(_post(LENGTH + b'Content-Length: 4\r\n', b'abcd'), [], [400]),
    'length with a sign': Row(_post(b'Content-Length: +3\r\n', b'abc'), [], [400]),
    'chunked not last': Row(_post(b'Transfer-Encoding: chunked, gzip\r\n', CHUNKS), [], [400]),
    'coding other than chunked': Row(_post(b'Transfer-Encoding: gzip\r\n', b'abc'), [], [400]),
    'space before the colon': Row(_post(b'Content-Length : 3\r\n', b'abc'), [], [400]),
    'bad chunk size': Row(_post(CHUNKED, b'zz\r\nab\r\n0\r\n\r\n'), [], [400]),
    'chunk longer than its size': Row(_post(CHUNKED, b'1\r\nab\r\n0\r\n\r\n'), [], [400]),
}


def _receive(sent: bytes, split_at: int) -> _Handler:
    async def work() -> _Handler:
        handler = _Handler()
        connection = CallerConnection(handler)
        transport = _Transport()
        connection.connection_made(transport)
        for part in (sent[:split_at], sent[split_at:]):
            if part:
                connection.data_received(part)
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        connection.connection_lost(None)
        return handler

    return asyncio.run(work())


@pytest.mark.parametrize('name', ROWS)
def test_a_request_is_run_as_it_was_sent_or_refused_before_it_runs(name: str) -> None:
    """Requests that offered an upgrade ran without their bodies, and were answered 200."""
    row = ROWS[name]
    for split_at in range(len(row.sent)):
        handler = _receive(row.sent, split_at)
        assert (handler.handled, handler.refused) == (row.run, row.refused), split_at
