"""Sends a caller's requests over persistent connections, and classifies the answers."""

from __future__ import annotations

import contextlib
import http.client
import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.load._samples import NO_RESULT, Outcome

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['Answer', 'Caller', 'Request']

SOCKET_TIMEOUT_S = 20.0
"""Longest wait for a connection or for the next bytes, in seconds.

Longer than the timeouts that lookups and bookings ask for, so that the daemon answers first.
"""

MAX_IDLE_S = 10.0
"""Idle seconds after which a connection is reopened.

Shorter than the time after which a daemon closes an idle connection.
"""

RESULT_ANSWERED = 0
"""Result code of an answer that a backend server gave, as ``ResultCode.ANSWERED``."""


class Request(NamedTuple):
    """A request to be sent.

    :param operation_id: empty for an idempotent request
    :param body: bytes, or chunks of ``length`` bytes in all
    :param timeout_ms: timeout that the caller asks for, in milliseconds; 0 leaves it to the
        daemon
    :param path: the part of the path after the service
    """

    service: str
    key: str
    operation_id: str
    body: bytes | Iterable[bytes]
    length: int
    timeout_ms: int = 0
    path: str = 'load'

    def build_headers(self) -> dict[str, str]:
        """Return the headers for the length, key, operation id and timeout."""
        headers = {'Content-Length': str(self.length)}
        if self.key:
            headers['Coltsfootstair-Key'] = self.key
        if self.operation_id:
            headers['Idempotency-Key'] = self.operation_id
        if self.timeout_ms:
            headers['Coltsfootstair-Timeout-Ms'] = str(self.timeout_ms)
        return headers


class Answer(NamedTuple):
    """The answer to a request; ``outcome`` is ``COMPLETE`` if all of it was read."""

    outcome: Outcome
    result: int = NO_RESULT
    ran: str = ''
    request_id: str = ''
    served_by: str = ''
    key: str = ''
    body: bytes = b''


class Caller:
    """Keeps one connection to each daemon; for use by one thread."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connection_by_address: dict[str, http.client.HTTPConnection] = {}
        self._used_at_by_address: dict[str, float] = {}

    def close(self) -> None:
        """Close every connection."""
        for connection in self._connection_by_address.values():
            connection.close()
        self._connection_by_address.clear()

    def connect(self, address: str) -> bool:
        """Open a connection unless one is usable; return whether there is one now."""
        idle_s = self._clock.monotonic() - self._used_at_by_address.get(address, 0.0)
        connection = self._get_connection(address)
        if idle_s > MAX_IDLE_S:
            connection.close()
        if connection.sock is not None:
            return True
        try:
            connection.connect()
        except OSError:
            connection.close()
            return False
        return True

    def send(self, address: str, request: Request) -> Answer:
        """Send ``request`` and read its answer."""
        answer = self._send(address, request)
        self._used_at_by_address[address] = self._clock.monotonic()
        return answer

    def _send(self, address: str, request: Request) -> Answer:
        connection = self._get_connection(address)
        path = f'/{request.service}/{request.path}'
        # The receiver may refuse an upload and close the connection before all of it was sent.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.request('POST', path, request.body, request.build_headers())
        try:
            response = connection.getresponse()
        except (OSError, http.client.HTTPException):
            self._discard_connection(address)
            return Answer(Outcome.NO_ANSWER)
        try:
            body = response.read()
        except (OSError, http.client.HTTPException):
            self._discard_connection(address)
            return Answer(Outcome.TRUNCATED)
        if response.will_close:
            self._discard_connection(address)
        return _parse_answer(response, body)

    def _get_connection(self, address: str) -> http.client.HTTPConnection:
        if address not in self._connection_by_address:
            connection = http.client.HTTPConnection(address, timeout=SOCKET_TIMEOUT_S)
            self._connection_by_address[address] = connection
        return self._connection_by_address[address]

    def _discard_connection(self, address: str) -> None:
        self._connection_by_address.pop(address).close()


def _parse_answer(response: http.client.HTTPResponse, body: bytes) -> Answer:
    result = int(response.getheader('Coltsfootstair-Result') or NO_RESULT)
    request_id = response.getheader('Coltsfootstair-Request-Id') or ''
    served_by = response.getheader('Served-By') or ''
    if result != RESULT_ANSWERED:
        return Answer(Outcome.REFUSED, result, _parse_ran(body), request_id, served_by)
    is_error = response.status >= HTTPStatus.BAD_REQUEST
    return Answer(
        Outcome.FAILED if is_error else Outcome.COMPLETE,
        result,
        '',
        request_id,
        served_by,
        response.getheader('Coltsfootstair-Key') or '',
        body,
    )


def _parse_ran(body: bytes) -> str:
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return str(json.loads(body)['ran'])
    return ''
