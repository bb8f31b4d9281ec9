"""Server side of a caller's connection, with pipelined requests."""

from __future__ import annotations

import asyncio
import http
import socket
from collections import deque
from typing import TYPE_CHECKING, NamedTuple, Protocol
from urllib.parse import urlsplit

import httptools
import structlog

from coltsfootstair.http1._headers import Headers, find_first_value, render_head
from coltsfootstair.sockets import Delivery, count_unacknowledged_bytes

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = [
    'CallerConnection',
    'CallerHandler',
    'CallerLimits',
    'IncomingRequest',
    'Reply',
]

logger = structlog.get_logger()

MAX_PENDING_REQUEST_COUNT = 16
"""Pending requests of one connection at which reading from it pauses."""

MAX_UNSENT_BYTES = 256 * 1024
"""Unsent answer bytes of one connection above which reading from it pauses."""

DELIVERY_CHECK_INTERVAL_S = 0.1
"""Interval at which an ended connection is checked for progress, in seconds; also the time
after an answer at which it is expected to be delivered."""

DELIVERY_CHECKS_PER_IDLE_TIMEOUT = 4
"""Checks within the idle timeout of whether a caller still reads its answers."""


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's request, and on the time that the caller takes.

    :param header_timeout_s: time from the first byte of a request to the end of its headers
    :param idle_timeout_s: time after which a connection is closed on which nothing is sent or
        received; also the longest pause of a caller that reads an answer
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest(NamedTuple):
    """A complete request of a caller.

    :param target: the request target as sent
    :param body: not changed after the request is complete
    :param path: the path in ``target``, without the query
    :param received_at: monotonic seconds at which the first byte of the request was read
    :param caller: IP address that the request came from
    """

    method: bytes
    target: bytes
    path: bytes
    headers: Headers
    body: bytes | bytearray
    received_at: float
    caller: str = ''


class Reply(NamedTuple):
    """Answer to a caller."""

    status: int
    headers: Headers
    body: bytes


class CallerHandler(Protocol):
    """Handler of the requests on connections, implemented by the daemon."""

    clock: Clock

    @property
    def limits(self) -> CallerLimits:
        """Limits that apply to callers now."""

    @property
    def is_draining(self) -> bool:
        """Whether a connection is closed after the answers to its pending requests."""

    def reserve_body_memory(self, size: int) -> bool:
        """Reserve memory for ``size`` more bytes of a body; return false if there is none."""

    def release_body_memory(self, size: int) -> None:
        """Release ``size`` bytes of reserved memory."""

    async def handle(self, request: IncomingRequest) -> Reply:
        """Return the answer to a request; cancelled when its caller has left."""

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Handle that a caller has left; return true if its request must still complete."""

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        """Return the answer to a request that cannot be handled.

        :param status: HTTP status of the answer
        :param headers: headers of the request that have been read
        """

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Handle a new connection."""

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Handle the end of a connection."""


class _PendingReply:
    """A request whose answer has not been sent; answers are sent in the order of requests.

    :param request: ``None`` for a request that was refused before it was complete
    :param reserved_bytes: bytes of memory that are reserved for its body
    """

    __slots__ = ('keep_alive', 'reply', 'request', 'reserved_bytes', 'task')

    def __init__(self, request: IncomingRequest | None, reserved_bytes: int) -> None:
        self.request = request
        self.reserved_bytes = reserved_bytes
        self.reply: Reply | None = None
        self.task: asyncio.Task[Reply] | None = None
        self.keep_alive = True


class CallerConnection(asyncio.Protocol):
    """Parses the requests on a caller's socket and sends the answers.

    Pipelined requests run at the same time and are answered in the order in which they were
    sent. No request is read after one whose answer closes the connection.

    A connection is always ended in the same way: its sending side after the last answer, the
    rest when the caller has ended its side too. Until then what the caller sends is read and
    dropped, since unread bytes would reset the connection and drop what the caller has not
    received yet. ``Delivery`` limits that time.
    """

    def __init__(self, handler: CallerHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._pending_replies: deque[_PendingReply] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._is_closing = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._message_started_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._delivery = Delivery(0, 0.0, 0.0)
        self._ended_at: float | None = None
        self._reset_message()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered; answers may still be delivered."""
        return not self._pending_replies and self._message_started_at is None

    @property
    def is_awaited(self) -> bool:
        """Whether closing the connection now could cost the caller an answer."""
        if self._transport is None:
            return False
        if self._ended_at is None:
            return True
        self._measure_delivery()
        return self._delivery.is_awaited(self._handler.clock.monotonic())

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the caller's TCP has not acknowledged."""
        if self._transport is None:
            return 0
        self._measure_delivery()
        return self._delivery.undelivered_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer_name = transport.get_extra_info('peername')
        self._caller = str(peer_name[0]) if peer_name else ''
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        raw_socket = transport.get_extra_info('socket')
        if raw_socket is not None:
            raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self._handler.clock.monotonic()
        self._delivery = Delivery(0, now, now)
        self._handler.on_connection_opened(self)
        self._set_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the caller, except those that must still complete."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._release_body_memory()
        for pending in self._pending_replies:
            if (
                pending.task is not None
                and pending.request is not None
                and not self._handler.on_caller_left(pending.request)
            ):
                pending.task.cancel()
        self._pending_replies.clear()
        self._handler.on_connection_closed(self)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller.

        The transport delivers what was sent before it closes.
        """
        if self._ended_at is None:
            # The rest of an unfinished request can't come.
            self._release_body_memory()
            self._reset_message()
            self._set_idle_timer()
        return False

    def pause_writing(self) -> None:
        """Stop reading while too many answer bytes are unsent."""
        self._is_writing_paused = True
        self._adjust_reading()

    def resume_writing(self) -> None:
        """Resume reading when answers have been sent."""
        self._is_writing_paused = False
        self._adjust_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._is_closing:
            self._delivery = self._delivery.receive(self._handler.clock.monotonic())
            return
        if self._message_started_at is None:
            self._start_message()
        if not self._in_body:
            self._header_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserCallbackError as error:
            if not self._is_closing:
                self._refuse_failed(error)
            return
        except httptools.HttpParserError as error:
            if not self._is_closing:
                logger.info('malformed request refused', reason=str(error))
                self._refuse(http.HTTPStatus.BAD_REQUEST)
            return
        headers_too_large = self._header_bytes > self._handler.limits.max_header_bytes
        if headers_too_large and self._message_started_at is not None and not self._in_body:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; a request that offers an upgrade is read as one that does not.

        The parser takes such a request for complete at the end of its head.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as end_of_head:
                if self._is_closing:
                    return
                data = self._restart_without_upgrade() + data[end_of_head.args[0] :]
            else:
                return

    def _restart_without_upgrade(self) -> bytes:
        """Prepare to parse a request once more, and return its head without the offer."""
        version = self._parser.get_http_version().encode()
        line = self._parser.get_method() + b' ' + bytes(self._target) + b' HTTP/' + version
        headers = [header for header in self._headers if header[0].lower() != b'upgrade']
        self._parser = httptools.HttpRequestParser(self)
        self._clear_head()
        return render_head(line, headers)

    def close_after_pending_requests(self) -> None:
        """Accept no further request if some are pending, and close after their last answer.

        The last answer announces the end of the connection. If part of a further request
        has arrived, nothing changes and that request is accepted.
        """
        if self._pending_replies and self._message_started_at is None and not self._is_closing:
            self._is_closing = True
            self._pending_replies[-1].keep_alive = False

    def close_if_idle(self) -> None:
        """End the connection behind the answers that were sent, if no request is pending."""
        if self.is_idle:
            self._end()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start the next request."""
        if self._message_started_at is None:
            self._start_message()

    def on_url(self, chunk: bytes) -> None:
        """Add a part of the request target."""
        self._target += chunk

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; trailers are dropped, since nothing has checked them."""
        if self._in_body:
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the headers, and send ``100 Continue`` to a caller that expects it."""
        if self._is_closing:
            return
        self._in_body = True
        if self._parser.should_upgrade():
            if self._parser.get_method() == b'CONNECT':
                self._refuse(http.HTTPStatus.BAD_REQUEST)
            self._offers_upgrade = True
            return
        limits = self._handler.limits
        # 4 bytes of each header are the colon, a space and the line end.
        size = sum(len(key) + len(value) + 4 for key, value in self._headers)
        if size + len(self._target) > limits.max_header_bytes:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        length = find_first_value(self._headers, b'content-length')
        if length is not None and int(length) > limits.max_body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        expect = find_first_value(self._headers, b'expect')
        if (
            expect
            and expect.lower() == b'100-continue'
            and self._transport
            and not self._pending_replies
        ):
            self._write(self._transport, b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        if self._is_closing:
            return
        if len(self._body) + len(chunk) > self._handler.limits.max_body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if not self._handler.reserve_body_memory(len(chunk)):
            self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._reserved_bytes += len(chunk)
        self._body += chunk

    def on_message_complete(self) -> None:
        """Start to handle the complete request."""
        if self._is_closing or self._offers_upgrade:
            return
        received_at = self._message_started_at or self._handler.clock.monotonic()
        target = bytes(self._target)
        request = IncomingRequest(
            self._parser.get_method(),
            target,
            _extract_path(target),
            self._headers,
            self._body,
            received_at,
            self._caller,
        )
        pending = _PendingReply(request, self._reserved_bytes)
        pending.keep_alive = self._parser.should_keep_alive()
        self._reset_message()
        self._pending_replies.append(pending)
        pending.task = asyncio.get_running_loop().create_task(
            self._answer_request(pending, request)
        )
        if not pending.keep_alive:
            self._is_closing = True
        self._adjust_reading()

    async def _answer_request(self, pending: _PendingReply, request: IncomingRequest) -> Reply:
        try:
            reply = await self._handler.handle(request)
        except Exception:
            logger.exception('request failed inside the daemon')
            reply = self._handler.build_refusal(
                http.HTTPStatus.INTERNAL_SERVER_ERROR, request.headers
            )
        finally:
            self._handler.release_body_memory(pending.reserved_bytes)
            # A task that is cancelled keeps this frame, with the request, as long as it lives.
            pending.task = None
        pending.reply = reply
        try:
            self._send_ready_replies()
        except Exception:
            logger.exception('request failed inside the daemon')
            self._end()
        return reply

    def _send_ready_replies(self) -> None:
        transport = self._transport
        if transport is None or self._ended_at is not None:
            return
        while self._pending_replies and self._pending_replies[0].reply is not None:
            pending = self._pending_replies.popleft()
            closes_connection = not pending.keep_alive
            if (
                self._handler.is_draining
                and not self._pending_replies
                and self._message_started_at is None
            ):
                closes_connection = True
            assert pending.reply is not None
            rendered = self._render(pending.reply, pending.request, closes_connection)
            self._write(transport, rendered)
            if closes_connection:
                self._end()
                return
        if self.is_idle:
            self._set_idle_timer()
        self._adjust_reading()

    def _render(
        self, reply: Reply, request: IncomingRequest | None, closes_connection: bool
    ) -> bytes:
        try:
            return _render_reply(reply, closes_connection)
        except Exception:
            logger.exception('request failed inside the daemon')
            refusal = self._handler.build_refusal(
                http.HTTPStatus.INTERNAL_SERVER_ERROR,
                [] if request is None else request.headers,
            )
            return _render_reply(refusal, closes_connection)

    def _write(self, transport: asyncio.Transport, data: bytes) -> None:
        transport.write(data)
        self._delivery = self._delivery.send(len(data), self._handler.clock.monotonic())

    def _end(self) -> None:
        """End the sending side after what was sent, and drop what the caller still sends."""
        transport = self._transport
        if transport is None or self._ended_at is not None:
            return
        self._is_closing = True
        self._ended_at = self._handler.clock.monotonic()
        try:
            transport.write_eof()
        except OSError as error:
            # The caller has reset the connection, and the event loop has not noticed yet.
            logger.debug('connection reset by its caller', reason=str(error))
            transport.abort()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            transport.resume_reading()
        self._set_timer(DELIVERY_CHECK_INTERVAL_S)

    def _measure_delivery(self) -> None:
        if self._transport is None:
            return
        raw_socket = self._transport.get_extra_info('socket')
        # A connection that the caller has reset has no number of unacknowledged bytes.
        unacknowledged = None if raw_socket is None else count_unacknowledged_bytes(raw_socket)
        left = self._transport.get_write_buffer_size() + (unacknowledged or 0)
        if self._ended_at is not None:
            # The kernel counts the end of the sending side as one byte.
            left = max(0, left - 1)
        self._delivery = self._delivery.measure(left, self._handler.clock.monotonic())

    def _refuse(self, status: int) -> None:
        """Refuse a request after the pending answers, and close the connection."""
        self._is_closing = True
        self._release_body_memory()
        pending = _PendingReply(None, 0)
        pending.keep_alive = False
        pending.reply = self._handler.build_refusal(int(status), self._headers)
        self._pending_replies.append(pending)
        self._send_ready_replies()

    def _refuse_failed(self, error: httptools.HttpParserCallbackError) -> None:
        """Refuse a request for which one of the callbacks below has failed."""
        cause = error.__context__
        if isinstance(cause, ValueError):
            logger.info('malformed request refused', reason=str(cause))
            self._refuse(http.HTTPStatus.BAD_REQUEST)
        else:
            logger.error('request failed inside the daemon', exc_info=cause)
            self._refuse(http.HTTPStatus.INTERNAL_SERVER_ERROR)

    def _start_message(self) -> None:
        self._reset_message()
        self._message_started_at = self._handler.clock.monotonic()
        self._set_timer(self._handler.limits.header_timeout_s)

    def _reset_message(self) -> None:
        self._message_started_at = None
        # Bytes that were received before the end of the headers.
        self._header_bytes = 0
        self._body = bytearray()
        self._reserved_bytes = 0
        self._clear_head()

    def _clear_head(self) -> None:
        self._in_body = False
        self._offers_upgrade = False
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []

    def _release_body_memory(self) -> None:
        """Drop the body that is being read."""
        self._handler.release_body_memory(self._reserved_bytes)
        self._reserved_bytes = 0
        self._body = bytearray()

    def _set_timer(self, delay_s: float) -> None:
        """Restart the timer that bounds reading headers, being idle, and being ended."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _set_idle_timer(self) -> None:
        self._set_timer(min(DELIVERY_CHECK_INTERVAL_S, self._handler.limits.idle_timeout_s))

    def _on_timer(self) -> None:
        if self._ended_at is not None:
            self._check_ended(self._ended_at)
        elif self._is_closing:
            return
        elif self._message_started_at is not None and not self._in_body:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self.is_idle:
            self._check_idle()

    def _check_idle(self) -> None:
        """End the connection if nothing was sent or received within the idle timeout."""
        limit_s = self._handler.limits.idle_timeout_s
        self._measure_delivery()
        now = self._handler.clock.monotonic()
        if self._delivery.is_stalled(limit_s, now):
            self._abort()
        elif self._delivery.undelivered_bytes:
            self._set_timer(limit_s / DELIVERY_CHECKS_PER_IDLE_TIMEOUT)
        elif (left_s := self._delivery.progress_at + limit_s - now) > 0:
            self._set_timer(left_s)
        else:
            self._end()

    def _check_ended(self, ended_at: float) -> None:
        """Close a connection whose caller does not end it; see ``Delivery``."""
        self._measure_delivery()
        now = self._handler.clock.monotonic()
        max_pause_s = self._handler.limits.idle_timeout_s
        if not self._delivery.may_close(ended_at, max_pause_s, now):
            self._set_timer(DELIVERY_CHECK_INTERVAL_S)
        elif self._delivery.undelivered_bytes:
            self._abort()
        elif self._transport is not None:
            self._transport.close()

    def _abort(self) -> None:
        """Close the connection of a caller that does not read, and drop what is unsent."""
        logger.info(
            'answers not delivered',
            caller=self._caller,
            bytes=self._delivery.undelivered_bytes,
            pause_s=round(self._handler.clock.monotonic() - self._delivery.delivered_at, 3),
        )
        if self._transport is not None:
            self._transport.abort()

    def _adjust_reading(self) -> None:
        if self._transport is None or self._is_closing:
            return
        pause = (
            self._is_writing_paused or len(self._pending_replies) >= MAX_PENDING_REQUEST_COUNT
        )
        if pause == self._is_reading_paused:
            return
        self._is_reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


def _extract_path(target: bytes) -> bytes:
    if target.startswith(b'/'):
        return target.partition(b'?')[0]
    return urlsplit(target).path or b'/'


def _render_reply(reply: Reply, closes_connection: bool) -> bytes:
    try:
        phrase = http.HTTPStatus(reply.status).phrase.encode()
    except ValueError:
        phrase = b'Status'
    headers = [*reply.headers, (b'Content-Length', str(len(reply.body)).encode())]
    if closes_connection:
        headers.append((b'Connection', b'close'))
    return render_head(b'HTTP/1.1 %d %s' % (reply.status, phrase), headers) + reply.body
