"""Client connection to a server, for one exchange at a time."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from typing import TYPE_CHECKING, NamedTuple

import httptools

from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.http1._headers import Headers, find_first_value, render_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.http1._pool import Address

__all__ = ['Answer', 'BrokenExchangeError', 'Connection']

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest body of an answer; a quarter of the default limit of a request's body."""

KEEP_ALIVE_INTERVAL_S = 1
"""Idle time after which TCP probes a connection, and time between probes."""

KEEP_ALIVE_PROBE_COUNT = 2
"""Unanswered TCP probes after which a connection is closed."""

TCP_USER_TIMEOUT_MS = 3000
"""How long sent bytes may stay unacknowledged before the connection is closed; the shortest
time in which the deployments require that a broken network path is detected."""

FIRST_FINAL_STATUS = 200

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_FINISH_ON_CLOSE = struct.pack('ii', 0, 0)
"""Values of ``SO_LINGER``. A reset drops the bytes that the kernel has not delivered yet."""


class Answer(NamedTuple):
    """Complete answer of a server."""

    status: int
    headers: Headers
    body: bytes


class BrokenExchangeError(ColtsfootstairError):
    """An exchange ended without a complete answer.

    :param sent: whether the server may have read a byte of the request
    :param unacknowledged_bytes: bytes of the request that the server's TCP had not
        acknowledged when the exchange was given up; ``None`` if not known
    """

    def __init__(
        self, text: str, *, sent: bool, unacknowledged_bytes: int | None = None
    ) -> None:
        super().__init__(text)
        self.sent = sent
        self.unacknowledged_bytes = unacknowledged_bytes


class Connection(asyncio.Protocol):
    """Sends requests over one socket to a server and parses the answers.

    Bytes that arrive while no request is pending, or that violate the protocol, make the
    connection unusable. An answer with the id of another request is ignored.

    A connection that ends during an exchange is reset, also if the process is killed, so that
    bytes of the request that are held up on their way are not delivered later.

    :param id_header: name in lower case of the header in which servers return the id of a
        request
    :ivar unacknowledged_bytes: bytes of a request that was given up which the server's TCP had
        not acknowledged by then; ``None`` if not known
    """

    def __init__(self, address: Address, id_header: bytes) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.exchange_count = 0
        self.is_reusable = True
        self.unacknowledged_bytes: int | None = None
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._pending_answer: asyncio.Future[Answer] | None = None
        self._expected_id: bytes | None = None
        self._on_head: Callable[[int, Headers], None] | None = None
        self._is_head_request = False
        self._sent = False
        self._reset_parser()

    @classmethod
    async def open(cls, address: Address, id_header: bytes, timeout_s: float) -> Connection:
        """Connect to ``address``.

        :raises BrokenExchangeError: there was no connection within ``timeout_s``
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
        """Whether the connection can be used for another exchange."""
        return self.is_reusable and self._transport is not None

    @property
    def is_busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._pending_answer is not None

    async def exchange(
        self,
        request_line: bytes,
        headers: Headers,
        body: bytes,
        *,
        expected_id: bytes | None = None,
        on_head: Callable[[int, Headers], None] | None = None,
    ) -> Answer:
        """Send one request and return its complete answer.

        A cancelled exchange closes the connection.

        :param expected_id: id of the request; an answer whose id header has another value is
            ignored
        :param on_head: called with status and headers of each head that arrives from now until
            the next exchange, also of interim, ignored and unrequested answers
        :raises BrokenExchangeError: the connection ended before the answer was complete, or
            the server violated the protocol
        """
        transport = self._transport
        if transport is None or self._pending_answer is not None:
            raise BrokenExchangeError(f'{self.address} is not free', sent=False)
        pending_answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending_answer = pending_answer
        self._expected_id = expected_id
        self._on_head = on_head
        self._is_head_request = request_line.startswith(b'HEAD ')
        self.exchange_count += 1
        if self.exchange_count > 1:
            self._reset_parser()
        transport.write(render_head(request_line, headers) + body)
        try:
            return await pending_answer
        finally:
            if not pending_answer.done() or pending_answer.cancelled():
                self.unacknowledged_bytes = self._count_unacknowledged_bytes()
                self.close()
            self._pending_answer = None

    def _count_unacknowledged_bytes(self) -> int | None:
        """Return how many sent bytes the peer has not acknowledged, or ``None``."""
        if self._transport is None:
            return None
        raw_socket = self._transport.get_extra_info('socket')
        count = bytearray(4)
        try:
            fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, count)
        except OSError:
            return None
        return int.from_bytes(count, sys.byteorder)

    def close(self) -> None:
        """Close the connection at once; reset it if an exchange is in progress."""
        self.is_reusable = False
        if self._transport is not None:
            raw_socket = self._transport.get_extra_info('socket')
            if raw_socket is not None and self._pending_answer is None:
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FINISH_ON_CLOSE)
            self._transport.abort()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the new socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw_socket = transport.get_extra_info('socket')
        if raw_socket is not None:
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S
            )
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S
            )
            raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBE_COUNT
            )

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the server."""
        if self._pending_answer is None or self._pending_answer.done():
            # Only what its head says of the server itself counts.
            with contextlib.suppress(httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._parser.feed_data(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._pending_answer.done():
                self._fail(f'{self.address} sent bytes that are no answer: {error}')
            else:
                self.close()

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection; any other answer fails."""
        if (
            self._in_final_body
            and self._is_ended_by_close
            and self._pending_answer is not None
        ):
            self.is_reusable = False
            self._complete_answer()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        self.is_reusable = False
        self._fail(f'{self.address} closed the connection: {exc!r}')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start the next answer."""
        if self._pending_answer is None or self._pending_answer.done():
            self.is_reusable = False
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the answer is recognised."""
        self._status = self._parser.get_status_code()
        if self._on_head is not None:
            self._on_head(self._status, self._headers)
        self._in_final_body = self._status >= FIRST_FINAL_STATUS
        has_length = find_first_value(self._headers, b'content-length') is not None
        coding = find_first_value(self._headers, b'transfer-encoding') or b''
        self._is_ended_by_close = not has_length and b'chunked' not in coding.lower()
        # The answer to a HEAD request has no body, but the parser would wait for one.
        if self._is_head_request and self._in_final_body:
            self.is_reusable = False
            self._complete_answer()

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self._body += chunk
        if len(self._body) > MAX_ANSWER_BYTES:
            self._fail(f'the answer of {self.address} is over {MAX_ANSWER_BYTES} bytes')

    def on_message_complete(self) -> None:
        """Complete an answer, unless it is an interim one (status 1xx)."""
        if not self._in_final_body:
            return
        self._in_final_body = False
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._complete_answer()

    def _complete_answer(self) -> None:
        pending_answer = self._pending_answer
        if pending_answer is None or pending_answer.done():
            self.is_reusable = False
            return
        answered_id = find_first_value(self._headers, self._id_header)
        if self._expected_id and answered_id and answered_id != self._expected_id:
            # A late second answer to an earlier request arrived before the answer to this one.
            self.is_reusable = False
            if self._is_ended_by_close:
                self._fail(f'{self.address} answered another request')
            return
        self._update_idle_limit()
        pending_answer.set_result(Answer(self._status, list(self._headers), bytes(self._body)))
        if not self.is_reusable:
            asyncio.get_running_loop().call_soon(self.close)

    def _update_idle_limit(self) -> None:
        """Read the idle limit that the server announces in ``Keep-Alive``."""
        value = find_first_value(self._headers, b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, number = part.strip().partition(b'=')
            if name.lower() == b'timeout' and number.isdigit():
                self.idle_limit_s = float(number)

    def _fail(self, text: str) -> None:
        if self._pending_answer is not None and not self._pending_answer.done():
            self._pending_answer.set_exception(BrokenExchangeError(text, sent=True))
        self.close()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._status = 0
        self._in_final_body = False
        self._is_ended_by_close = False
