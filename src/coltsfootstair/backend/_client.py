"""HTTP/1.1 client of one backend server, with a pool of idle connections."""

from __future__ import annotations

import collections
import http.client
import json
import select
import socket
from typing import TYPE_CHECKING

import msgspec

from coltsfootstair.backend._types import BackendAnswer, GrantReply, Health
from coltsfootstair.errors import CallFailedError
from coltsfootstair.sockets import (
    count_unacknowledged_bytes,
    finish_on_close,
    reset_on_close,
)

if TYPE_CHECKING:
    from coltsfootstair.backend._types import AnswerSink, BackendRequest, Grant

__all__ = ['HttpBackendServer']

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
"""Bytes read of an answer at once; a request body up to this size is sent with its headers."""

MAX_CONTROL_ANSWER_BYTES = 64 * 1024
"""Longest body of an answer to a probe, a grant or a cancel call."""

STATUS_OK = 200
STATUS_CONFLICT = 409
MIN_ERROR_STATUS = 400
FINAL_STATUSES = range(200, 600)


class HttpBackendServer:
    """Calls one backend server over pooled connections.

    A connection whose answer was not read to its end is closed. Requests and control calls
    (probes, grants, cancels) have pools of their own.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle_request_connections: collections.deque[http.client.HTTPConnection] = (
            collections.deque()
        )
        self._idle_control_connections: collections.deque[http.client.HTTPConnection] = (
            collections.deque()
        )

    def exchange(self, request: BackendRequest, sink: AnswerSink) -> None:
        """Send a request and pass its whole answer to ``sink``."""
        connection = self._acquire_connection(self._idle_request_connections)
        connection.sock.settimeout(request.deadline_s)
        try:
            _send(connection, request)
            # The client closes its socket when it has read an answer that ends by a close.
            with connection.sock.dup() as sent_on:
                response = connection.getresponse()
                _forward_answer(response, sink, sent_on)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise CallFailedError(
                f'{type(error).__name__}: {error}', dispatched=True
            ) from error
        except BaseException:
            connection.close()
            raise
        self._return_to_pool(self._idle_request_connections, connection, response)

    def probe(self, timeout_s: float) -> Health:
        """Return the server's health."""
        _, content = self._call('GET', '/-/health', None, timeout_s)
        return _parse_health(content, Health)

    def grant(
        self, grants: list[Grant], server_expiry: float, instance: str, timeout_s: float
    ) -> GrantReply:
        """Replace all grants of the server by ``grants``."""
        payload = {'until': server_expiry, 'ranges': grants, 'instance': instance}
        status, content = self._call('POST', '/-/grants', payload, timeout_s)
        fields = json.loads(content) if content else {}
        return GrantReply(
            status == STATUS_OK,
            str(fields.get('instance', '')),
            float(fields.get('clock', 0.0)),
        )

    def cancel(self, request_id: str, timeout_s: float) -> bool:
        """Ask the server to stop a request; return true if it is known to have stopped."""
        _, content = self._call('POST', '/-/cancel', {'request_id': request_id}, timeout_s)
        return not json.loads(content).get('running', True)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in (self._idle_request_connections, self._idle_control_connections):
            while pool:
                _close_idle(pool.popleft())

    def _call(
        self, method: str, path: str, payload: object, timeout_s: float
    ) -> tuple[int, bytes]:
        connection = self._acquire_connection(self._idle_control_connections, timeout_s)
        connection.sock.settimeout(timeout_s)
        try:
            body = None if payload is None else json.dumps(payload).encode()
            connection.request(method, path, body, {'Content-Type': 'application/json'})
            response = connection.getresponse()
            content = response.read(MAX_CONTROL_ANSWER_BYTES + 1)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise CallFailedError(
                f'{type(error).__name__}: {error}', dispatched=True
            ) from error
        if len(content) > MAX_CONTROL_ANSWER_BYTES:
            connection.close()
            raise CallFailedError(
                f'{path} was answered with over {MAX_CONTROL_ANSWER_BYTES} bytes',
                dispatched=True,
            )
        if response.status not in (STATUS_OK, STATUS_CONFLICT):
            connection.close()
            raise CallFailedError(
                f'{path} was answered with status {response.status}', dispatched=True
            )
        self._return_to_pool(self._idle_control_connections, connection, response)
        return response.status, content

    def _acquire_connection(
        self,
        pool: collections.deque[http.client.HTTPConnection],
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> http.client.HTTPConnection:
        while True:
            try:
                connection = pool.pop()
            except IndexError:
                break
            if not _is_closed_by_server(connection):
                return connection
            _close_idle(connection)
        connection = http.client.HTTPConnection(self._host, self._port, timeout=timeout_s)
        try:
            connection.connect()
        except OSError as error:
            raise CallFailedError(f'can not connect: {error}', dispatched=False) from error
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reset_on_close(connection.sock)
        return connection

    @staticmethod
    def _return_to_pool(
        pool: collections.deque[http.client.HTTPConnection],
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        if response.will_close or connection.sock is None:
            _close_idle(connection)
        else:
            pool.append(connection)


def _close_idle(connection: http.client.HTTPConnection) -> None:
    if connection.sock is not None:
        finish_on_close(connection.sock)
    connection.close()


def _is_closed_by_server(connection: http.client.HTTPConnection) -> bool:
    """Return whether the server has closed an idle connection, or violated the protocol on it.

    The server sends nothing without a request, so in both cases the socket is readable.
    """
    if connection.sock is None:
        return True
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return bool(poller.poll(0))


def _send(connection: http.client.HTTPConnection, request: BackendRequest) -> None:
    connection.putrequest(
        request.method, request.path, skip_host=False, skip_accept_encoding=True
    )
    for name, value in request.headers:
        connection.putheader(name, value)
    chunked = request.body_length < 0
    if chunked:
        connection.putheader('Transfer-Encoding', 'chunked')
    elif request.body_length > 0 or request.method in ('POST', 'PUT', 'PATCH'):
        connection.putheader('Content-Length', str(request.body_length))
    body = b''.join(request.body) if 0 <= request.body_length <= CHUNK_BYTES else None
    connection.endheaders(body)
    if body is not None:
        return
    for chunk in request.body:
        if chunk:
            connection.send(_encode_chunk(chunk) if chunked else chunk)
    if chunked:
        connection.send(b'0\r\n\r\n')


def _encode_chunk(chunk: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _forward_answer(
    response: http.client.HTTPResponse, sink: AnswerSink, sent_on: socket.socket
) -> None:
    """Pass an answer on while it arrives.

    One other than an error that ends with its connection is complete only if the server has
    the request.

    :param sent_on: the connection that the request was sent on
    """
    if response.status not in FINAL_STATUSES:
        raise http.client.BadStatusLine(f'status {response.status}')
    length = response.length if response.length is not None else -1
    sink.start(BackendAnswer(response.status, response.getheaders(), length))
    # -1 if the length is not known.
    remaining = length
    while remaining != 0:
        chunk = response.read(CHUNK_BYTES if remaining < 0 else min(remaining, CHUNK_BYTES))
        if not chunk and remaining > 0:
            raise http.client.IncompleteRead(b'', remaining)
        if not chunk:
            break
        remaining = remaining - len(chunk) if remaining > 0 else remaining
        sink.write(chunk, last=remaining == 0)
    response.read()
    if remaining < 0 and not response.chunked and response.status < MIN_ERROR_STATUS:
        unacknowledged_bytes = count_unacknowledged_bytes(sent_on)
        if unacknowledged_bytes:
            raise http.client.HTTPException(
                f'the answer ended before the server had {unacknowledged_bytes} bytes'
            )
    if remaining != 0 or length == 0:
        sink.write(b'', last=True)


def _parse_health(content: bytes, expected: type[Health]) -> Health:
    try:
        return msgspec.convert(list(_read_fields(content, expected)), expected)
    except (ValueError, KeyError, msgspec.ValidationError) as error:
        raise CallFailedError(
            f'the answer to the health probe is malformed: {error}', dispatched=True
        ) from error


def _read_fields(content: bytes, expected: type[Health]) -> list[object]:
    fields = json.loads(content)
    return [fields[name] for name in expected._fields]
