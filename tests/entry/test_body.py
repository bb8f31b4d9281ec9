"""Tests of reading a caller's body in chunks, over a real connection."""

from __future__ import annotations

import http.client
import socket
from typing import TYPE_CHECKING

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.entry import CallerServer
from coltsfootstair.entry._body import BodyReadError
from coltsfootstair.entry._types import RelayedAnswer
from coltsfootstair.inner import AnswerHead
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.entry._types import CallerRequest

TIMEOUT_S = 10.0
CHUNK_BYTES = 1000


class EchoRelay:
    """Answers with the request's body; refuses /refuse without reading the body."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        if request.path == '/refuse':
            return Refusal(ResultCode.UPLOAD_MEMORY_FULL, Ran.NO, 'full', 1.0)
        try:
            chunks = list(iter(lambda: request.body.read(CHUNK_BYTES), b''))
        except BodyReadError as error:
            self.errors.append(str(error))
            return Refusal(ResultCode.BODY_TRUNCATED, Ran.NO, str(error))
        assert all(len(chunk) <= CHUNK_BYTES for chunk in chunks)
        data = b''.join(chunks)
        return _build_answer(request.request_id, data)


def _build_answer(request_id: str, data: bytes) -> RelayedAnswer:
    head = AnswerHead(request_id, 200, [], data, True, len(data))
    return RelayedAnswer(head, iter([data]))


@pytest.fixture
def server() -> Iterator[CallerServer]:
    caller_server = CallerServer(
        '127.0.0.1:0',
        SystemClock(),
        EchoRelay(),  # type: ignore[arg-type]
        lambda: True,
        frozenset,
        lambda _service, _code: None,
        lambda _request_id, _service, _key, _refusal: None,
    )
    caller_server.bind()
    caller_server.start()
    yield caller_server
    caller_server.stop()


def _connect(server: CallerServer) -> http.client.HTTPConnection:
    host, _, port = server.address.rpartition(':')
    return http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)


@pytest.mark.parametrize('size', [0, 1, CHUNK_BYTES, 5 * CHUNK_BYTES + 1])
@pytest.mark.parametrize('chunked', [False, True])
def test_bodies_arrive_complete_and_the_connection_is_kept_open(
    server: CallerServer, size: int, chunked: bool
) -> None:
    connection = _connect(server)
    for number in range(3):
        body = bytes([number]) * size
        sent = iter([body[:7], body[7:]]) if chunked else body
        connection.request('POST', '/service/echo', sent, encode_chunked=chunked)
        response = connection.getresponse()
        assert (response.status, response.read()) == (200, body)
    connection.close()


def test_caller_receives_a_refusal_of_a_body_that_is_not_read(server: CallerServer) -> None:
    connection = _connect(server)
    connection.request('POST', '/service/refuse', bytes(4_000_000))
    response = connection.getresponse()
    assert response.status == 503
    assert response.getheader('Coltsfootstair-Result') == '203'
    assert response.getheader('Connection') == 'close'
    connection.close()


@pytest.mark.parametrize(
    'sent',
    [
        b'Content-Length: 10\r\n\r\nshort',
        b'Transfer-Encoding: chunked\r\n\r\nzz\r\nnot a chunk\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n3\r\ntoo long\r\n0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\nshort',
    ],
)
def test_malformed_and_truncated_bodies_are_refused(server: CallerServer, sent: bytes) -> None:
    host, _, port = server.address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection:
        connection.sendall(b'POST /service/echo HTTP/1.1\r\nHost: h\r\n' + sent)
        connection.shutdown(socket.SHUT_WR)
        answer = b''.join(iter(lambda: connection.recv(65536), b''))
    assert b'Coltsfootstair-Result: 105' in answer
