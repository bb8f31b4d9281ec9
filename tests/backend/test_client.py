"""What reaches a backend server of requests that the daemon has given up."""

from __future__ import annotations

import concurrent.futures
import contextlib
import socket
import time

import pytest

from coltsfootstair.backend import BackendAnswer, BackendRequest, HttpBackendServer
from coltsfootstair.errors import CallFailedError
from tests.held_up import fill_receive_buffer, listen_with_small_buffer, receive_rest

REQUEST_TIMEOUT_S = 0.2
ENDLESS_BYTES = 256 * 1024 * 1024


class _Sink:
    def start(self, answer: BackendAnswer) -> None:
        raise AssertionError(answer)

    def write(self, data: bytes, *, last: bool) -> None:
        raise AssertionError(data)


def test_a_request_that_was_given_up_in_a_cut_does_not_arrive_after_it() -> None:
    """It ran although the server had said that no such request runs there."""
    with contextlib.closing(listen_with_small_buffer()) as listener:
        address = listener.getsockname()
        client = HttpBackendServer('{}:{}'.format(*address))
        request = BackendRequest(
            'POST',
            '/book',
            [('Coltsfootstair-Request-Id', 'r1')],
            iter([b'{}']),
            2,
            REQUEST_TIMEOUT_S,
        )
        connection = client._acquire_connection(client._idle_request_connections)
        server_side, _ = listener.accept()
        client._idle_request_connections.append(connection)
        fill_receive_buffer(address)
        with pytest.raises(CallFailedError):
            client.exchange(request, _Sink())
        time.sleep(REQUEST_TIMEOUT_S)
        received, was_reset = receive_rest(server_side)
    assert b'/book' not in received
    assert was_reset


def _serve_endless_body(listener: socket.socket) -> int:
    """Answer one call with a body without end; return the bytes that the client took."""
    server_side, _ = listener.accept()
    sent_bytes = 0
    with server_side, contextlib.suppress(OSError):
        server_side.recv(65536)
        server_side.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        while sent_bytes < ENDLESS_BYTES:
            server_side.sendall(bytes(65536))
            sent_bytes += 65536
    return sent_bytes


def test_an_endless_answer_to_a_control_call_is_cut_off() -> None:
    """Guards against a probe whose answer fills the memory until the server stops."""
    with (
        contextlib.closing(socket.create_server(('127.0.0.1', 0))) as listener,
        concurrent.futures.ThreadPoolExecutor() as pool,
    ):
        taken_bytes = pool.submit(_serve_endless_body, listener)
        client = HttpBackendServer('{}:{}'.format(*listener.getsockname()))
        with pytest.raises(CallFailedError, match='over 65536 bytes'):
            client.probe(5.0)
        assert taken_bytes.result() < ENDLESS_BYTES


class _Recorder:
    """Keeps an answer, and whether it was complete."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b''
        self.is_complete = False

    def start(self, answer: BackendAnswer) -> None:
        self.status = answer.status

    def write(self, data: bytes, *, last: bool) -> None:
        self.body += data
        self.is_complete = last


def _serve_early_answer(listener: socket.socket, status: int, reads_all: bool) -> None:
    """Answer one call with a body that ends with the connection.

    :param reads_all: whether the request is read before
    """
    server_side, _ = listener.accept()
    with server_side, contextlib.suppress(OSError):
        received = server_side.recv(1024)
        while reads_all and not received.endswith(b'end'):
            received += server_side.recv(65536)
        server_side.sendall(f'HTTP/1.1 {status} Any\r\n\r\npart'.encode())
        server_side.shutdown(socket.SHUT_WR)
        # Nothing more is read: what follows stays in the kernel of the client.
        time.sleep(2 * REQUEST_TIMEOUT_S)


@pytest.mark.parametrize(
    ('status', 'reads_all', 'is_complete'),
    [(200, False, False), (302, False, False), (413, False, True), (200, True, True)],
)
def test_an_answer_that_ends_by_a_close_in_the_middle_of_a_request_is_not_whole(
    status: int, reads_all: bool, is_complete: bool
) -> None:
    """Guards against passing on the part of a body that came before a reset."""
    with (
        contextlib.closing(listen_with_small_buffer()) as listener,
        concurrent.futures.ThreadPoolExecutor() as executor,
    ):
        served = executor.submit(_serve_early_answer, listener, status, reads_all)
        client = HttpBackendServer('{}:{}'.format(*listener.getsockname()))
        body = b'u' * 60_000 + b'end'
        request = BackendRequest('POST', '/book', [], iter([body]), len(body), 5.0)
        recorder = _Recorder()
        if is_complete:
            client.exchange(request, recorder)
        else:
            with pytest.raises(CallFailedError):
                client.exchange(request, recorder)
        served.result()
        assert (recorder.status, recorder.is_complete) == (status, is_complete)


@pytest.mark.parametrize('status', ['101', '199', '600', '999', '000'])
def test_an_answer_with_a_status_that_no_answer_has_is_none(status: str) -> None:
    """Guards against passing on bytes that are no answer in the protocol."""

    def serve() -> None:
        server_side, _ = listener.accept()
        with server_side:
            server_side.recv(1024)
            server_side.sendall(f'HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n'.encode())

    with (
        socket.create_server(('127.0.0.1', 0)) as listener,
        concurrent.futures.ThreadPoolExecutor() as executor,
    ):
        served = executor.submit(serve)
        client = HttpBackendServer('{}:{}'.format(*listener.getsockname()))
        with pytest.raises(CallFailedError):
            client.exchange(BackendRequest('GET', '/x', [], iter([]), 0, 2.0), _Sink())
        served.result()
