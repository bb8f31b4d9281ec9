"""Client connection to a server, for one exchange at a time."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import TYPE_CHECKING, NamedTuple

import httptools

from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.http1._answer_limiter import AnswerLimiter, CutOffReason
from coltsfootstair.http1._headers import Headers, find_first_value, render_head
from coltsfootstair.sockets import (
    count_unacknowledged_bytes,
    finish_on_close,
    reset_on_close,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.http1._pool import Address

__all__ = ['Answer', 'BrokenExchangeError', 'Connection']

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of one exchange that belong to no body: heads, also interim ones, and trailers."""

MAX_HEADER_COUNT = 256
"""Headers of an answer, with its trailers."""

MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
"""Bytes of chunk framing allowed in addition for each byte of a body; a chunk of one byte
has five."""

KEEP_ALIVE_INTERVAL_S = 1
"""Idle time after which TCP probes a connection, and time between probes."""

KEEP_ALIVE_PROBE_COUNT = 2
"""Unanswered TCP probes after which a connection is closed."""

TCP_USER_TIMEOUT_MS = 3000
"""How long sent bytes may stay unacknowledged before the connection is closed; the shortest
time in which the deployments require that a broken network path is detected."""

MAX_REFUSED_IDS = 64
"""Ids of refused requests that a connection remembers; it is closed when there are more."""

IDENTIFIED_ANSWER_WAIT_S = 0.5
"""How long an answer with the request's id is awaited after one without, in seconds; several
times a usual service time."""

BODY_PIECE_BYTES = 256 * 1024
"""Bytes of a request's body that are written at once. The rest waits in the caller's copy, so
that the transport keeps no second one."""

_NO_BYTES = memoryview(b'')

STATUSES = range(100, 600)
"""Statuses that HTTP has. An answer with another one is none."""

SWITCHING_PROTOCOLS_STATUS = 101
FIRST_FINAL_STATUS = 200
NOT_MODIFIED_STATUS = 304
MIN_ERROR_STATUS = 400


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
    :param closed_by_server: whether the server closed or reset the connection
    :param refused: whether nobody listens at the server's address
    :param cut_off_reason: why the rest of the answer was not read, if it was cut off here
    """

    def __init__(
        self,
        text: str,
        *,
        sent: bool,
        unacknowledged_bytes: int | None = None,
        closed_by_server: bool = False,
        refused: bool = False,
        cut_off_reason: CutOffReason | None = None,
    ) -> None:
        super().__init__(text)
        self.cut_off_reason = cut_off_reason
        self.sent = sent
        self.closed_by_server = closed_by_server
        self.refused = refused
        self.unacknowledged_bytes = unacknowledged_bytes


class _CutOffError(Exception):
    """Stops the parser after the exchange has failed."""


class Connection(asyncio.Protocol):
    """Sends requests over one socket to a server and parses the answers.

    Bytes that arrive while no request is pending, or that violate the protocol, make the
    connection unusable. An answer with the id of another request is ignored. So is one without
    an id after any other answer, since an earlier one may have been sent once more; if no true
    answer follows soon, the exchange fails. An exchange whose answers exceed the limits,
    ignored ones included, fails at once.

    A connection that ends during an exchange is reset, also if the process is killed, so that
    bytes of the request that are held up on their way are not delivered later. One that is
    answered before all of the request is written is closed, and the rest is not sent. An
    answer other than an error that ends with its connection counts only if the server has the
    request.

    :param id_header: name in lower case of the header in which servers return the id of a
        request; empty for servers that return none, whose answers count without
    :param limiter: limits the answers of all connections that share it
    :ivar unacknowledged_bytes: bytes of a request that was given up which the server's TCP had
        not acknowledged by then; ``None`` if not known
    """

    def __init__(
        self, address: Address, id_header: bytes, limiter: AnswerLimiter | None = None
    ) -> None:
        self._limiter = limiter or AnswerLimiter()
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
        self._on_progress: Callable[[int], None] | None = None
        self._max_body_bytes = self._limiter.max_body_bytes
        self._id_headers: tuple[bytes, ...] = ()
        self._proves: Callable[[int, Headers], bool] | None = None
        self._answer_count = 0
        self._wait_timer: asyncio.TimerHandle | None = None
        self._refused_ids: set[bytes] = set()
        self._on_head: Callable[[int, Headers, bool], None] | None = None
        self._is_head_request = False
        self._unwritten_body = _NO_BYTES
        self._is_writing_paused = False
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._reset_parser()

    @classmethod
    async def open(
        cls,
        address: Address,
        id_header: bytes,
        timeout_s: float,
        limiter: AnswerLimiter | None = None,
    ) -> Connection:
        """Connect to ``address``.

        :raises BrokenExchangeError: there was no connection within ``timeout_s``
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(address, id_header, limiter), address.host, address.port
                )
        except (OSError, TimeoutError, ValueError, OverflowError, TypeError) as error:
            # All but the first two are raised for an address that can't be one.
            raise BrokenExchangeError(
                f'no connection to {address}: {error!r}',
                sent=False,
                refused=isinstance(error, ConnectionRefusedError),
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

    @property
    def received_bytes(self) -> int:
        """Bytes that have come since the last request was sent."""
        return self._received_bytes

    async def exchange(
        self,
        request_line: bytes,
        headers: Headers,
        body: bytes | bytearray,
        *,
        expected_id: bytes | None = None,
        further_id_header: bytes | None = None,
        proves: Callable[[int, Headers], bool] | None = None,
        on_head: Callable[[int, Headers, bool], None] | None = None,
        on_progress: Callable[[int], None] | None = None,
        max_body_bytes: int | None = None,
    ) -> Answer:
        """Send one request and return its complete answer.

        A cancelled exchange closes the connection.

        :param expected_id: id of the request; an answer with another id is ignored
        :param further_id_header: name in lower case of the header that has the id in answers
            without the first one
        :param proves: returns for status and headers of an answer without an id whether it can
            be no repeat of an earlier one; by default only the first answer on the connection
            is believed without an id, and the connection is closed after it
        :param on_head: called with status and headers of each head that arrives from now until
            the next exchange, also of interim, ignored and unrequested answers, and with
            whether it is of the answer to this request
        :param on_progress: called with the number of bytes received so far, each time that
            some arrive
        :param max_body_bytes: longest body of the answer, if that is less than the limiter's
        :raises BrokenExchangeError: the connection ended before the answer was complete, or
            the server violated the protocol
        """
        transport = self._transport
        if transport is None or self._pending_answer is not None:
            raise BrokenExchangeError(f'{self.address} is not free', sent=False)
        pending_answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending_answer = pending_answer
        self._expected_id = expected_id
        self._id_headers = (self._id_header,) if self._id_header else ()
        if further_id_header is not None:
            self._id_headers += (further_id_header,)
        self._proves = proves
        self._on_head = on_head
        self._on_progress = on_progress
        self._max_body_bytes = self._limiter.max_body_bytes
        if max_body_bytes is not None:
            self._max_body_bytes = min(max_body_bytes, self._max_body_bytes)
        self._is_head_request = request_line.startswith(b'HEAD ')
        self._received_bytes = 0
        self._received_body_bytes = 0
        self.exchange_count += 1
        if self.exchange_count > 1:
            self._reset_parser()
        head = render_head(request_line, headers)
        if len(body) <= BODY_PIECE_BYTES:
            transport.write(head + body)
        else:
            transport.write(head)
            self._unwritten_body = memoryview(body)
            self._write_body()
        try:
            return await pending_answer
        finally:
            if not pending_answer.done() or pending_answer.cancelled():
                if self._received_bytes > 0:
                    self._limiter.count_cut_off(str(self.address), CutOffReason.UNFINISHED)
                self.unacknowledged_bytes = self.count_unacknowledged_bytes()
                self.close()
                self._drop_answer()
            self._pending_answer = None
            # An error's traceback has this frame: with the future, which has the error, it
            # would keep the request until the next collection of cycles.
            del pending_answer

    def _write_body(self) -> None:
        """Write the rest of the body, as far as the server reads it."""
        while self._unwritten_body and not self._is_writing_paused and self._transport:
            piece = self._unwritten_body[:BODY_PIECE_BYTES]
            self._unwritten_body = self._unwritten_body[BODY_PIECE_BYTES:]
            self._transport.write(piece)
        if not self._unwritten_body:
            # An empty part of a body would keep all of it.
            self._unwritten_body = _NO_BYTES

    def pause_writing(self) -> None:
        """Write no further piece of a body while the server does not read."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Write on once the server has read."""
        self._is_writing_paused = False
        # Not at once: the transport calls this in the middle of a write of its own, and would
        # report the end of the connection twice if the next one failed.
        asyncio.get_running_loop().call_soon(self._write_body)

    @property
    def _has_unwritten_bytes(self) -> bool:
        """Whether a part of the last request is not written to the socket yet."""
        return bool(self._unwritten_body) or (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    def _is_request_on_its_way(self) -> bool:
        """Whether the server's TCP does not have all of the last request."""
        return self._has_unwritten_bytes or bool(self.count_unacknowledged_bytes())

    def record_refusal(self) -> None:
        """Record that the last request was refused, see ``has_refused``."""
        if self._expected_id:
            self._refused_ids.add(self._expected_id)
        if len(self._refused_ids) > MAX_REFUSED_IDS:
            self.is_reusable = False

    def has_refused(self, request_id: bytes) -> bool:
        """Whether a request with this id was refused here; its refusal may come once more."""
        return request_id in self._refused_ids

    def has_unread_input(self) -> bool:
        """Whether bytes or the end of the connection have arrived and are not read yet."""
        if self._transport is None:
            return True
        raw_socket = self._transport.get_extra_info('socket')
        if raw_socket is None:
            return False
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def count_unacknowledged_bytes(self) -> int | None:
        """Return how many sent bytes the peer has not acknowledged, or ``None``."""
        if self._transport is None:
            return None
        raw_socket = self._transport.get_extra_info('socket')
        return None if raw_socket is None else count_unacknowledged_bytes(raw_socket)

    def close(self) -> None:
        """Close the connection at once; reset it if an exchange is in progress."""
        self.is_reusable = False
        if self._transport is not None:
            raw_socket = self._transport.get_extra_info('socket')
            is_between_exchanges = self._pending_answer is None
            if (
                raw_socket is not None
                and is_between_exchanges
                and not self._has_unwritten_bytes
            ):
                finish_on_close(raw_socket)
            self._transport.abort()
            self._transport = None
        self._unwritten_body = _NO_BYTES

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
            reset_on_close(raw_socket)
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
        if not self._received_bytes and not self._may_be_answered():
            self._cut_off(
                CutOffReason.MALFORMED, f'{self.address} answered before the request arrived'
            )
            return
        self._received_bytes += len(data)
        if self._on_progress is not None:
            self._on_progress(self._received_bytes)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._pending_answer.done():
                self._cut_off(
                    CutOffReason.MALFORMED,
                    f'{self.address} sent bytes that are no answer: {error}',
                )
            else:
                self.close()
            return
        if self._pending_answer.done():
            return
        framing_bytes = self._received_bytes - self._received_body_bytes
        allowed_bytes = MAX_FRAMING_BYTES_PER_BODY_BYTE * self._received_body_bytes
        if framing_bytes > MAX_HEAD_BYTES + allowed_bytes:
            self._cut_off(
                CutOffReason.HEAD_TOO_LARGE,
                f'{self.address} sent {framing_bytes} bytes that belong to no body',
            )
            return
        # The parser keeps an unfinished line, so all of a head counts.
        head_bytes = min(self._received_bytes, MAX_HEAD_BYTES)
        self._limiter.update_size(self._cut_off_for_memory, head_bytes + len(self._body))

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection; any other answer fails."""
        if (
            self._in_final_body
            and self._is_ended_by_close
            and self._pending_answer is not None
        ):
            self.is_reusable = False
            if self._status < MIN_ERROR_STATUS and self._is_request_on_its_way():
                # It may be about to reset the connection: what it has sent proves nothing.
                self._fail(
                    f'{self.address} ended its answer before it had the request',
                    closed_by_server=True,
                )
            else:
                self._complete_answer()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        self.is_reusable = False
        self._unwritten_body = _NO_BYTES
        self._fail(
            f'{self.address} closed the connection: {exc!r}',
            # Other errors are time-outs of this side, or of the network.
            closed_by_server=exc is None or isinstance(exc, ConnectionError),
        )

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
        if len(self._headers) > MAX_HEADER_COUNT:
            text = f'the answer of {self.address} has over {MAX_HEADER_COUNT} headers'
            self._cut_off(CutOffReason.HEAD_TOO_LARGE, text)
            raise _CutOffError

    def on_headers_complete(self) -> None:
        """Determine how the end of the answer is recognised."""
        self._status = self._parser.get_status_code()
        # No request asks for another protocol.
        if self._status not in STATUSES or self._status == SWITCHING_PROTOCOLS_STATUS:
            self._cut_off(
                CutOffReason.MALFORMED, f'{self.address} sent the status {self._status:03}'
            )
            raise _CutOffError
        if self._on_head is not None:
            self._on_head(self._status, self._headers, self._is_own_answer())
        self._in_final_body = self._status >= FIRST_FINAL_STATUS
        length = find_first_value(self._headers, b'content-length')
        codings = [
            value.strip().lower()
            for name, value in self._headers
            if name.lower() == b'transfer-encoding'
        ]
        if codings not in ([], [b'chunked']):
            self._cut_off(
                CutOffReason.MALFORMED, f'{self.address} sent the transfer codings {codings}'
            )
            raise _CutOffError
        self._is_ended_by_close = length is None and not codings
        # The answer to a HEAD request has no body, but the parser would wait for one.
        if self._is_head_request and self._in_final_body:
            self.is_reusable = False
            self._complete_answer()
        elif self._status != NOT_MODIFIED_STATUS and length is not None:
            self._check_body_size(int(length))

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        self._received_body_bytes += len(chunk)
        self._check_body_size(self._received_body_bytes)
        self._body += chunk

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
        is_own = self._is_own_answer()
        self._answer_count += 1
        if not is_own:
            # A late second answer to an earlier request arrived before the answer to this one.
            self.is_reusable = False
            if self._is_ended_by_close:
                self._fail(f'{self.address} answered another request')
            elif self._wait_timer is None and not self._find_answered_id():
                self._wait_timer = asyncio.get_running_loop().call_later(
                    IDENTIFIED_ANSWER_WAIT_S,
                    self._fail,
                    f'{self.address} sent an answer without the id of its request',
                )
            return
        if self._id_header and self._proves is None:
            # No later answer could be told from a repeat of one that had no id.
            self.is_reusable &= bool(self._expected_id and self._find_answered_id())
        if self._has_unwritten_bytes:
            # The next request would wait behind the rest of this one.
            self.is_reusable = False
        self._update_idle_limit()
        pending_answer.set_result(Answer(self._status, self._headers, bytes(self._body)))
        self._drop_answer()
        if not self.is_reusable:
            asyncio.get_running_loop().call_soon(self.close)

    def _find_answered_id(self) -> bytes | None:
        for name in self._id_headers:
            value = find_first_value(self._headers, name)
            if value is not None:
                return value.strip()
        return None

    def _is_own_answer(self) -> bool:
        """Whether the answer whose head has come is the one to the pending request."""
        if self._pending_answer is None or self._pending_answer.done():
            return False
        if not self._id_header:
            return True
        answered_id = self._find_answered_id()
        if answered_id and self._expected_id:
            return answered_id == self._expected_id
        if self._answer_count == 0:
            return True
        return self._proves is not None and self._proves(self._status, self._headers)

    def _may_be_answered(self) -> bool:
        """Whether the server may have the request, if its answer need not bear the id."""
        if self.exchange_count == 1 or (self._id_header and self._proves is None):
            return True
        assert self._transport is not None
        return not self._is_request_on_its_way()

    def _update_idle_limit(self) -> None:
        """Read the idle limit that the server announces in ``Keep-Alive``."""
        value = find_first_value(self._headers, b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, number = part.strip().partition(b'=')
            if name.lower() == b'timeout' and number.isdigit():
                self.idle_limit_s = float(number)

    def _check_body_size(self, size: int) -> None:
        limit = self._max_body_bytes
        if size > limit:
            text = f'the answer of {self.address} is over {limit} bytes'
            self._cut_off(CutOffReason.BODY_TOO_LARGE, text)
            raise _CutOffError

    def _cut_off(self, reason: CutOffReason, text: str) -> None:
        """Fail the exchange because of what the server has sent."""
        if self._pending_answer is not None and not self._pending_answer.done():
            self._limiter.count_cut_off(str(self.address), reason)
        self._fail(text, cut_off_reason=reason)

    def _cut_off_for_memory(self) -> None:
        self._cut_off(
            CutOffReason.MEMORY_FULL,
            f'the answer of {self.address} was the largest while the memory was full',
        )

    def _drop_answer(self) -> None:
        """Release the memory of the answer that was being received, and its timer."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        self._limiter.remove(self._cut_off_for_memory)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    def _fail(
        self,
        text: str,
        *,
        closed_by_server: bool = False,
        cut_off_reason: CutOffReason | None = None,
    ) -> None:
        if self._pending_answer is not None and not self._pending_answer.done():
            self._pending_answer.set_exception(
                BrokenExchangeError(
                    text,
                    sent=True,
                    closed_by_server=closed_by_server,
                    cut_off_reason=cut_off_reason,
                )
            )
        self.close()
        self._drop_answer()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._drop_answer()
        self._status = 0
        self._in_final_body = False
        self._is_ended_by_close = False
