"""Answers of servers that are no answer, or have no end, against sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import time
import tracemalloc
from collections.abc import AsyncIterator, Coroutine
from typing import Any, TypeVar

import pytest

from coltsfootstair.http1 import (
    Address,
    Answer,
    AnswerLimiter,
    BrokenExchangeError,
    Connection,
    CutOffReason,
)

T = TypeVar('T')

ID_HEADER = b'x-request-id'
TIMEOUT_S = 5.0
REPEATED_BYTES = 64 * 1024
SOCKET_BUFFERS_BYTES = 12 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'

ENDLESS_HEADS = {
    'header lines': (OK, b'A: b\r\n'),
    'one header value': (OK + b'A: ', b'x'),
    'one header name': (OK, b'x'),
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'empty lines before the status line': (b'', b'\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'extension of a chunk': (CHUNKED + b'5;', b'x'),
    'chunks with long extensions': (CHUNKED, b'1;' + b'x' * 500 + b'\r\na\r\n'),
    'length of a chunk': (CHUNKED, b'0'),
    'trailers': (CHUNKED + b'1\r\na\r\n0\r\n', b'A: b\r\n'),
    'one trailer': (CHUNKED + b'1\r\na\r\n0\r\nA: ', b'x'),
    'empty answers to another request': (
        b'',
        OK + b'X-Request-Id: other\r\nContent-Length: 0\r\n\r\n',
    ),
}
"""First bytes, and the bytes that follow without end, of answers that never bring a body."""

ENDLESS_BODIES = {
    'until the connection ends': (OK + b'\r\n', b'x'),
    'in chunks': (CHUNKED, b'400\r\n' + b'x' * 1024 + b'\r\n'),
    'in one chunk': (CHUNKED + b'fffffffff\r\n', b'x'),
    'of an announced length': (OK + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'of answers to another request': (
        b'',
        OK + b'X-Request-Id: other\r\nContent-Length: 1024\r\n\r\n' + b'x' * 1024,
    ),
}


class ScriptedServer:
    """Answers the first request of each connection with bytes, and then more without end.

    :param repeated: sent again and again after ``first``; nothing if empty
    :param pause_s: time between two of the parts that follow ``first``
    """

    def __init__(self, first: bytes, repeated: bytes = b'', pause_s: float = 0.0) -> None:
        self._first = first
        self._repeated = repeated
        self._pause_s = pause_s
        self.sent_bytes = 0
        self.ended = asyncio.Event()
        self.was_reset = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        part = self._repeated
        if not self._pause_s:
            part *= REPEATED_BYTES // max(1, len(part))
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._first)
            while part:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                await asyncio.sleep(self._pause_s)
            await reader.read()
        except ConnectionError:
            self.was_reset = True
        except asyncio.CancelledError:
            return  # The test has ended.
        finally:
            self.ended.set()
            writer.transport.abort()

    @contextlib.asynccontextmanager
    async def run(self, limiter: AnswerLimiter | None = None) -> AsyncIterator[Connection]:
        """Run the server until the block ends, with a connection to it."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        connection = await Connection.open(address, ID_HEADER, TIMEOUT_S, limiter)
        try:
            yield connection
        finally:
            connection.close()
            server.close()


async def _get(connection: Connection) -> Answer:
    request_line = b'GET /x HTTP/1.1'
    return await connection.exchange(request_line, [(b'Host', b'a')], b'', expected_id=b'r1')


def _run(work: Coroutine[Any, Any, T]) -> T:
    async def run_work() -> T:
        async with asyncio.timeout(TIMEOUT_S):
            return await work

    return asyncio.run(run_work())


async def _expect_cut_off(server: ScriptedServer) -> BrokenExchangeError:
    """Return the error of an exchange that the client ends by itself, with a reset."""
    async with server.run() as connection:
        with pytest.raises(BrokenExchangeError) as raised:
            await _get(connection)
        assert not connection.is_open
        await server.ended.wait()
        assert server.was_reset
    return raised.value


@pytest.mark.parametrize('kind', ENDLESS_HEADS)
def test_a_head_or_framing_without_end_is_cut_off(kind: str) -> None:
    """It was taken in until the deadline, into memory without a bound."""

    async def work() -> None:
        server = ScriptedServer(*ENDLESS_HEADS[kind])
        error = await _expect_cut_off(server)
        assert error.sent
        assert server.sent_bytes < SOCKET_BUFFERS_BYTES

    _run(work())


@pytest.mark.parametrize('kind', ENDLESS_BODIES)
def test_a_body_without_end_is_cut_off(kind: str) -> None:
    async def work() -> None:
        server = ScriptedServer(*ENDLESS_BODIES[kind])
        error = await _expect_cut_off(server)
        assert error.sent
        assert server.sent_bytes < MAX_ANSWER_BYTES + SOCKET_BUFFERS_BYTES

    _run(work())


def test_an_announced_body_that_is_too_long_is_cut_off_before_it_comes() -> None:
    async def work() -> None:
        server = ScriptedServer(OK + b'Content-Length: 99999999999\r\n\r\n')
        assert (await _expect_cut_off(server)).sent

    _run(work())


@pytest.mark.parametrize(
    'garbage',
    [
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
        b'SSH-2.0-OpenSSH_9.2\r\n',
        b'HTTP/1.1 abc\r\n\r\n',
        OK + b'no colon\r\n\r\n',
        OK + b'Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc',
        OK + b'Content-Length: -1\r\n\r\n',
        CHUNKED + b'xyz\r\n',
        CHUNKED + b'3\r\nabcde\r\n',
        CHUNKED + b'fffffffffffffffffff\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
    ],
)
def test_bytes_that_are_no_answer_end_the_exchange_at_once(garbage: bytes) -> None:
    async def work() -> None:
        server = ScriptedServer(garbage)
        assert (await _expect_cut_off(server)).sent

    _run(work())


@pytest.mark.parametrize('kind', [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_an_endless_answer_that_comes_slowly_is_cut_off_at_the_deadline(kind: str) -> None:
    async def work() -> None:
        first, repeated = (ENDLESS_HEADS | ENDLESS_BODIES)[kind]
        server = ScriptedServer(first, repeated, pause_s=0.01)
        async with server.run() as connection:
            before = time.monotonic()
            with pytest.raises((TimeoutError, BrokenExchangeError)):
                async with asyncio.timeout(0.2):
                    await _get(connection)
            assert time.monotonic() - before < 0.4
            assert not connection.is_open
            await server.ended.wait()
            assert server.was_reset

    _run(work())


def test_bytes_without_end_after_a_complete_answer_close_the_connection() -> None:
    async def work() -> None:
        server = ScriptedServer(OK + b'Content-Length: 3\r\n\r\nabc', b'x')
        async with server.run() as connection:
            assert (await _get(connection)).body == b'abc'
            await server.ended.wait()
            assert server.was_reset
            assert not connection.is_open
        assert server.sent_bytes < SOCKET_BUFFERS_BYTES

    _run(work())


@pytest.mark.parametrize(
    ('answer', 'length'),
    [
        (OK + b'Content-Length: 16777216\r\n\r\n' + b'x' * MAX_ANSWER_BYTES, MAX_ANSWER_BYTES),
        (CHUNKED + b'1\r\nx\r\n' * 100_000 + b'0\r\n\r\n', 100_000),
        (CHUNKED + (b'10000\r\n' + b'x' * 65536 + b'\r\n') * 64 + b'0\r\n\r\n', 4_194_304),
        (OK + b'A: b\r\n' * 100 + b'B: ' + b'x' * 8000 + b'\r\nContent-Length: 0\r\n\r\n', 0),
        (
            b'HTTP/1.1 100 Continue\r\n\r\n'
            + b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' * 20
            + OK
            + b'Content-Length: 1\r\n\r\nx',
            1,
        ),
        (
            (OK + b'X-Request-Id: r0\r\nContent-Length: 1000000\r\n\r\n' + b'y' * 1_000_000)
            + (OK + b'X-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx'),
            1,
        ),
    ],
)
def test_a_long_honest_answer_is_not_cut_off(answer: bytes, length: int) -> None:
    async def work() -> None:
        async with ScriptedServer(answer).run() as connection:
            received = await _get(connection)
            assert received.status == 200
            assert received.body == b'x' * length

    _run(work())


def test_a_long_upload_is_not_cut_off() -> None:
    """Bytes that are sent do not count towards the bounds of the answer."""
    received_bytes = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received_bytes
        await reader.readuntil(b'\r\n\r\n')
        while received_bytes < MAX_ANSWER_BYTES:
            received_bytes += len(await reader.read(256 * 1024))
            await asyncio.sleep(0.005)
        writer.write(OK + b'Content-Length: 1\r\n\r\nx')
        writer.close()

    async def work() -> Answer:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        connection = await Connection.open(address, ID_HEADER, TIMEOUT_S)
        try:
            return await connection.exchange(
                b'POST /x HTTP/1.1',
                [(b'Content-Length', str(MAX_ANSWER_BYTES).encode())],
                b'x' * MAX_ANSWER_BYTES,
            )
        finally:
            connection.close()
            server.close()

    assert _run(work()).body == b'x'
    assert received_bytes == MAX_ANSWER_BYTES


def test_answers_that_are_cut_off_are_counted_by_reason() -> None:
    async def work() -> dict[str, int]:
        limiter = AnswerLimiter(max_body_bytes=1000, max_total_bytes=3000)
        for first in (
            b'SSH-2.0\r\n',
            OK + b'A: b\r\n' * 300,
            OK + b'\r\n' + b'x' * 1001,
            OK + b'A: ' + b'x' * 3000,
            OK,
        ):
            async with ScriptedServer(first).run(limiter) as connection:
                with pytest.raises((TimeoutError, BrokenExchangeError)):
                    async with asyncio.timeout(0.2):
                        await _get(connection)
        assert sum(limiter.take_new_counts().values()) == len(CutOffReason)
        assert limiter.used_bytes == 0
        assert not limiter.take_new_counts()
        return dict(limiter.cut_off_count_by_reason)

    assert _run(work()) == {reason.value: 1 for reason in CutOffReason}


def test_many_endless_answers_leave_memory_for_an_honest_one() -> None:
    """Each was allowed 16 MiB, however many came at once."""

    async def work() -> tuple[Answer, int, int]:
        limiter = AnswerLimiter(max_total_bytes=4_000_000)
        async with contextlib.AsyncExitStack() as stack:
            endless = []
            for _ in range(20):
                server = ScriptedServer(OK + b'\r\n' + b'x' * 900_000, b'x', pause_s=0.01)
                connection = await stack.enter_async_context(server.run(limiter))
                endless.append(asyncio.create_task(_get(connection)))
            await asyncio.sleep(0.5)
            used_bytes = limiter.used_bytes
            honest = ScriptedServer(OK + b'Content-Length: 100000\r\n\r\n' + b'x' * 100_000)
            answer = await _get(await stack.enter_async_context(honest.run(limiter)))
            cut_off_count = sum(task.done() for task in endless)
            for task in endless:
                task.cancel()
            await asyncio.gather(*endless, return_exceptions=True)
        assert limiter.used_bytes == 0
        return answer, used_bytes, cut_off_count

    answer, used_bytes, cut_off_count = _run(work())
    assert len(answer.body) == 100_000
    assert 2_000_000 < used_bytes <= 4_000_000
    assert 16 <= cut_off_count < 20


def test_idle_connections_keep_no_memory_of_their_last_answer() -> None:
    async def work() -> int:
        lengths = []
        body = b'x' * 1_000_000
        async with contextlib.AsyncExitStack() as stack:
            tracemalloc.start()
            stack.callback(tracemalloc.stop)
            for _ in range(10):
                server = ScriptedServer(OK + b'Content-Length: 1000000\r\n\r\n' + body)
                connection = await stack.enter_async_context(server.run())
                lengths.append(len((await _get(connection)).body))
            await asyncio.sleep(0)  # Until then, the event loop keeps the last answer.
            snapshot = tracemalloc.take_snapshot()
        assert lengths == [len(body)] * 10
        client = snapshot.filter_traces([tracemalloc.Filter(True, '*/http1/_client.py')])
        return sum(statistic.size for statistic in client.statistics('filename'))

    assert _run(work()) < 1_000_000
