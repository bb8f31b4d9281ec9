"""Answers that end while the request is still on its way to the server."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest

from coltsfootstair.http1 import Address, Answer, BrokenExchangeError, Connection
from tests.held_up import listen_with_small_buffer

UPLOAD_BYTES = 3 * 1024 * 1024
PART = b'part of a body'
EXCHANGE_TIMEOUT_S = 10.0
READS_ON_AFTER_S = 0.2


def _build(status: int, *lines: str, body: bytes = PART) -> bytes:
    head = [f'HTTP/1.1 {status} Any', 'X-Request-Id: r1', 'X-Signature: s', *lines]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


def _answer_at_once(server_side: socket.socket, answer: bytes) -> None:
    """Send an answer and the end of the connection, and read on somewhat later."""
    server_side.recv(1024)
    server_side.sendall(answer)
    server_side.shutdown(socket.SHUT_WR)
    time.sleep(READS_ON_AFTER_S)
    while server_side.recv(65536):
        pass


def _answer_at_once_and_reset(server_side: socket.socket, answer: bytes) -> None:
    """Send an answer and the end of the connection, and reset it on the next bytes."""
    server_side.recv(1024)
    server_side.sendall(answer)
    server_side.shutdown(socket.SHUT_WR)


def _answer_after_the_request(server_side: socket.socket, answer: bytes) -> None:
    received = b''
    while b'\r\n\r\n' not in received:
        received += server_side.recv(65536)
    head, _, body = received.partition(b'\r\n\r\n')
    left = int(head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]) - len(body)
    while left > 0:
        left -= len(server_side.recv(65536))
    server_side.sendall(answer)
    server_side.shutdown(socket.SHUT_WR)


def _exchange(
    serve: Callable[[socket.socket, bytes], None], answer: bytes, upload_bytes: int
) -> Answer:
    async def work() -> Answer:
        loop = asyncio.get_running_loop()
        with listen_with_small_buffer() as listener:
            address = Address(*listener.getsockname()[:2])
            connection = await Connection.open(address, b'x-request-id', 1.0)
            server_side, _ = listener.accept()
        with server_side:
            served = loop.run_in_executor(None, serve, server_side, answer)
            try:
                async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                    return await connection.exchange(
                        b'POST /x/a HTTP/1.1',
                        [(b'Content-Length', str(upload_bytes).encode())],
                        b'u' * upload_bytes,
                        expected_id=b'r1',
                    )
            finally:
                connection.close()
                await asyncio.wait({served})
                if served.exception() is not None:
                    assert isinstance(served.exception(), ConnectionError)

    return asyncio.run(work())


@pytest.mark.parametrize('serve', [_answer_at_once, _answer_at_once_and_reset])
@pytest.mark.parametrize('status', [200, 201, 302])
def test_an_answer_that_ends_by_a_close_in_the_middle_of_an_upload_is_not_whole(
    status: int, serve: Callable[[socket.socket, bytes], None]
) -> None:
    """Guards against passing on the part of a body that came before a reset."""
    with pytest.raises(BrokenExchangeError) as raised:
        _exchange(serve, _build(status, 'Connection: close'), UPLOAD_BYTES)
    assert raised.value.sent


@pytest.mark.parametrize('status', [400, 413, 500, 503])
def test_a_refusal_of_an_unfinished_upload_that_ends_by_a_close_is_an_answer(
    status: int,
) -> None:
    answer = _exchange(_answer_at_once, _build(status, 'Connection: close'), UPLOAD_BYTES)
    assert (answer.status, answer.body) == (status, PART)


@pytest.mark.parametrize(
    'answer',
    [
        _build(200, f'Content-Length: {len(PART)}'),
        _build(200, 'Transfer-Encoding: chunked', body=b'e\r\n' + PART + b'\r\n0\r\n\r\n'),
    ],
    ids=['length', 'chunked'],
)
def test_an_early_answer_that_is_complete_by_its_framing_is_whole(answer: bytes) -> None:
    received = _exchange(_answer_at_once, answer, UPLOAD_BYTES)
    assert (received.status, received.body) == (200, PART)


@pytest.mark.parametrize('upload_bytes', [0, 200, 1024 * 1024, UPLOAD_BYTES])
def test_an_answer_that_ends_by_a_close_after_the_request_is_whole(upload_bytes: int) -> None:
    received = _exchange(
        _answer_after_the_request, _build(200, 'Connection: close'), upload_bytes
    )
    assert (received.status, received.body) == (200, PART)
