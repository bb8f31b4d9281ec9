"""One connection to a server; one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, NamedTuple

import httptools

from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.http1._headers import Headers, find_first_value, render_head

if TYPE_CHECKING:
    from coltsfootstair.http1._pool import Address

__all__ = ['Answer', 'BrokenExchangeError', 'Connection']

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""The longest answer that is taken in, in bytes; a quarter of the default body limit."""

KEEP_ALIVE_S = 1
"""Seconds of silence after which a connection is probed, and between probes."""

KEEP_ALIVE_PROBES = 2
"""Probes without an answer after which a connection is given up."""

USER_TIMEOUT_MS = 3000
"""How long sent bytes may stay unacknowledged, in milliseconds; the shortest time in which
the deployments' bounds expect a broken path to be noticed."""

FIRST_FINAL_STATUS = 200


class Answer(NamedTuple):
    """A whole answer of a server."""

    status: int
    headers: Headers
    body: bytes


class BrokenExchangeError(ColtsfootstairError):
    """An exchange ended without a whole answer.

    :param sent: whether the server may have read a byte of the request
    """

    def __init__(self, text: str, *, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class Connection(asyncio.Protocol):
    """Owns one socket to a server and parses what arrives on it.

    Bytes that arrive while no request waits make the connection unusable, as does any
    break of the protocol. An answer that names another request is passed over.
    """

    def __init__(self, address: Address, id_header: bytes) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.exchanges = 0
        self.reusable = True
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._pending_answer: asyncio.Future[Answer] | None = None
        self._expected_id: bytes | None = None
        self._is_head = False
        self._sent = False
        self._new_parser()

    @classmethod
    async def open(cls, address: Address, id_header: bytes, timeout_s: float) -> Connection:
        """Connect to ``address``.

        :raises BrokenExchangeError: no connection within ``timeout_s``
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(address, id_header), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            raise BrokenExchangeError(
                f'no connection to {address}: {error!r}', sent=False
            ) from None
        return connection

    @property
    def is_open(self) -> bool:
        """Whether another exchange may start."""
        return self.reusable and self._transport is not None

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is under way."""
        return self._pending_answer is not None

    async def exchange(
        self,
        request_line: bytes,
        headers: Headers,
        body: bytes,
        *,
        expected_id: bytes | None = None,
    ) -> Answer:
        """Send one request and return its whole answer.

        A cancelled exchange closes the connection.

        :param expected_id: what the answer's id header must repeat where it has one
        :raises BrokenExchangeError: the connection ended first, or broke the protocol
        """
        transport = self._transport
        if transport is None or self._pending_answer is not None:
            raise BrokenExchangeError(f'{self.address} is not free', sent=False)
        waiting: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending_answer = waiting
        self._expected_id = expected_id
        self._is_head = request_line.startswith(b'HEAD ')
        self.exchanges += 1
        if self.exchanges > 1:
            self._new_parser()
        transport.write(render_head(request_line, headers) + body)
        try:
            return await waiting
        finally:
            self._pending_answer = None
            if not waiting.done() or waiting.cancelled():
                self.close()

    def close(self) -> None:
        """End the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of a new socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        plain = transport.get_extra_info('socket')
        if plain is not None:
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)

    def data_received(self, data: bytes) -> None:
        """Parse what a server sent."""
        if self._pending_answer is None or self._pending_answer.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._pending_answer.done():
                self._break(f'{self.address} sent bytes that are no answer: {error}')
            else:
                self.close()

    def eof_received(self) -> bool:
        """End an answer without a length, or break off any other."""
        if self._in_body and self._ends_with_connection and self._pending_answer is not None:
            self.reusable = False
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Break off the exchange under way."""
        self._transport = None
        self.reusable = False
        self._break(f'{self.address} closed the connection: {exc!r}')

    # What follows is called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._pending_answer is None or self._pending_answer.done():
            self.reusable = False
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the answer will end."""
        self._status = self._parser.get_status_code()
        self._in_body = self._status >= FIRST_FINAL_STATUS
        has_length = find_first_value(self._headers, b'content-length') is not None
        coding = find_first_value(self._headers, b'transfer-encoding') or b''
        self._ends_with_connection = not has_length and b'chunked' not in coding.lower()
        if self._is_head and self._in_body:
            self.reusable = False
            self._finish()

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self._body += piece
        if len(self._body) > MAX_ANSWER_BYTES:
            self._break(f'the answer of {self.address} is over {MAX_ANSWER_BYTES} bytes')

    def on_message_complete(self) -> None:
        """End an answer, unless it is an interim one."""
        if not self._in_body:
            return
        self._in_body = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._finish()

    def _finish(self) -> None:
        waiting = self._pending_answer
        if waiting is None or waiting.done():
            self.reusable = False
            return
        answered_id = find_first_value(self._headers, self._id_header)
        if self._expected_id and answered_id and answered_id != self._expected_id:
            # A late second answer to an earlier request stood in the way of this one.
            self.reusable = False
            if self._ends_with_connection:
                self._break(f'{self.address} answered another request')
            return
        self._note_idle_limit()
        waiting.set_result(Answer(self._status, list(self._headers), bytes(self._body)))
        if not self.reusable:
            asyncio.get_running_loop().call_soon(self.close)

    def _note_idle_limit(self) -> None:
        value = find_first_value(self._headers, b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, figure = part.strip().partition(b'=')
            if name.lower() == b'timeout' and figure.isdigit():
                self.idle_limit_s = float(figure)

    def _break(self, text: str) -> None:
        if self._pending_answer is not None and not self._pending_answer.done():
            self._pending_answer.set_exception(BrokenExchangeError(text, sent=True))
        self.close()

    def _new_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._status = 0
        self._in_body = False
        self._ends_with_connection = False
