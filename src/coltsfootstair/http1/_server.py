"""One connection of a caller: requests in, answers out in the same order."""

from __future__ import annotations

import asyncio
import http
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol
from urllib.parse import urlsplit

import httptools
import structlog

from coltsfootstair.http1._headers import Headers, find_first_value, render_head

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['CallerConnection', 'CallerLimits', 'IncomingRequest', 'Reply', 'serve_status']

logger = structlog.get_logger()

MAX_PIPELINED = 16
"""Requests of one connection that may be under way; reading pauses beyond it."""

HIGH_WATER_BYTES = 256 * 1024
"""Unsent answer bytes beyond which a connection's next requests are not read."""

LINGER_S = 1.0
"""How long a refused connection is still read, in seconds, so that closing it with unread
bytes does not reset it before its answer has arrived."""


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest(NamedTuple):
    """A whole request of a caller.

    :param path: the path as sent, without the query
    :param received_at: monotonic seconds at which its first byte was read
    """

    method: bytes
    target: bytes
    path: bytes
    headers: Headers
    body: bytes
    received_at: float


class Reply(NamedTuple):
    """What a caller is sent."""

    status: int
    headers: Headers
    body: bytes


class Service(Protocol):
    """What a connection needs of the daemon that it belongs to."""

    clock: Clock

    @property
    def limits(self) -> CallerLimits:
        """Limits in force."""

    @property
    def is_draining(self) -> bool:
        """Whether connections end after their present answer."""

    def reserve_body_memory(self, size: int) -> bool:
        """Set memory aside for ``size`` more bytes of a body; false if there is none."""

    def release_body_memory(self, size: int) -> None:
        """Give back memory that was set aside."""

    async def handle(self, request: IncomingRequest) -> Reply:
        """Answer one request; cancelled when its caller has left."""

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Note that a caller has left; true if its request is to end all the same."""

    def build_refusal(self, status: int) -> Reply:
        """Return the answer to what is no proper request."""

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Count a connection."""

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Count the end of a connection."""


class _Turn:
    """The place of one request in the order of answers."""

    __slots__ = ('keep_alive', 'reply', 'request', 'reserved', 'task')

    def __init__(self, request: IncomingRequest | None, reserved: int) -> None:
        self.request = request
        self.reserved = reserved
        self.reply: Reply | None = None
        self.task: asyncio.Task[Reply] | None = None
        self.keep_alive = True


class CallerConnection(asyncio.Protocol):
    """Owns one socket of a caller.

    Requests that were sent one behind the other run at the same time and are answered
    in their order. Nothing is read behind an answer that closes the connection.
    """

    def __init__(self, service: Service) -> None:
        self._service = service
        self._transport: asyncio.Transport | None = None
        self._turns: deque[_Turn] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._ending = False
        self._paused = False
        self._write_paused = False
        self._started_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._clear_message()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being read or answered."""
        return not self._turns and self._started_at is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        plain = transport.get_extra_info('socket')
        if plain is not None:
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._service.on_connection_opened(self)
        self._arm(self._service.limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up requests that the caller no longer waits for."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._release_body_memory()
        for turn in self._turns:
            if (
                turn.task is not None
                and turn.request is not None
                and not self._service.on_caller_left(turn.request)
            ):
                turn.task.cancel()
        self._turns.clear()
        self._service.on_connection_closed(self)

    def eof_received(self) -> bool:
        """Take a half-closed connection for a caller that has left."""
        return False

    def pause_writing(self) -> None:
        """Stop reading while answers pile up."""
        self._write_paused = True
        self._adjust_reading()

    def resume_writing(self) -> None:
        """Read again."""
        self._write_paused = False
        self._adjust_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._ending:
            return
        if self._started_at is None:
            self._begin_message()
        if not self._in_body:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._ending:
                logger.info('request malformed', reason=str(error))
                self._refuse(http.HTTPStatus.BAD_REQUEST)
            return
        too_long = self._header_bytes > self._service.limits.max_header_bytes
        if too_long and self._started_at is not None and not self._in_body:
            self._refuse(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def close_after_pending_requests(self) -> None:
        """Take no further request if some are under way; their last answer says so.

        A request of which a part has arrived is still taken.
        """
        if self._turns and self._started_at is None and not self._ending:
            self._ending = True
            self._turns[-1].keep_alive = False

    def close_if_idle(self) -> None:
        """Close the connection if no request is under way."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # What follows is called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._started_at is None:
            self._begin_message()

    def on_url(self, piece: bytes) -> None:
        """Take a piece of the request's target."""
        self._target += piece

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head, and let a caller that asks send its body."""
        if self._ending:
            return
        self._in_body = True
        limits = self._service.limits
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
            and not self._turns
        ):
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        if self._ending:
            return
        if len(self._body) + len(piece) > self._service.limits.max_body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if not self._service.reserve_body_memory(len(piece)):
            self._refuse(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._reserved += len(piece)
        self._body += piece

    def on_message_complete(self) -> None:
        """Run the request."""
        if self._ending:
            return
        received_at = self._started_at or self._service.clock.monotonic()
        target = bytes(self._target)
        request = IncomingRequest(
            self._parser.get_method(),
            target,
            _path_of(target),
            self._headers,
            bytes(self._body),
            received_at,
        )
        turn = _Turn(request, self._reserved)
        turn.keep_alive = self._parser.should_keep_alive()
        self._clear_message()
        self._turns.append(turn)
        turn.task = asyncio.get_running_loop().create_task(self._run(turn, request))
        if not turn.keep_alive:
            self._ending = True
        self._adjust_reading()

    async def _run(self, turn: _Turn, request: IncomingRequest) -> Reply:
        try:
            reply = await self._service.handle(request)
        except Exception:
            logger.exception('request failed inside the daemon')
            reply = self._service.build_refusal(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        finally:
            self._service.release_body_memory(turn.reserved)
        turn.reply = reply
        self._write_ready()
        return reply

    def _write_ready(self) -> None:
        transport = self._transport
        if transport is None:
            return
        while self._turns and self._turns[0].reply is not None:
            turn = self._turns.popleft()
            last = not turn.keep_alive
            if self._service.is_draining and not self._turns and self._started_at is None:
                last = True
            assert turn.reply is not None
            transport.write(_rendered(turn.reply, last))
            if last:
                self._ending = True
                self._close_after_answer()
                return
        if not self._turns and self._started_at is None:
            self._arm(self._service.limits.idle_timeout_s)
        self._adjust_reading()

    def _close_after_answer(self) -> None:
        transport = self._transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_S, transport.close)
        if self._paused:
            self._paused = False
            transport.resume_reading()

    def _refuse(self, status: int) -> None:
        """Answer what is no proper request, behind the answers that are still due."""
        self._ending = True
        self._release_body_memory()
        turn = _Turn(None, 0)
        turn.keep_alive = False
        turn.reply = self._service.build_refusal(int(status))
        self._turns.append(turn)
        self._write_ready()

    def _begin_message(self) -> None:
        self._clear_message()
        self._started_at = self._service.clock.monotonic()
        self._arm(self._service.limits.header_timeout_s)

    def _clear_message(self) -> None:
        self._started_at = None
        self._in_body = False
        self._header_bytes = 0
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._reserved = 0

    def _release_body_memory(self) -> None:
        self._service.release_body_memory(self._reserved)
        self._reserved = 0

    def _arm(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timer)

    def _on_timer(self) -> None:
        if self._started_at is not None and not self._in_body:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        elif self.is_idle and self._transport is not None:
            self._transport.close()

    def _adjust_reading(self) -> None:
        if self._transport is None or self._ending:
            return
        pause = self._write_paused or len(self._turns) >= MAX_PIPELINED
        if pause == self._paused:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


def _path_of(target: bytes) -> bytes:
    if target.startswith(b'/'):
        return target.partition(b'?')[0]
    return urlsplit(target).path or b'/'


def _rendered(reply: Reply, last: bool) -> bytes:
    try:
        phrase = http.HTTPStatus(reply.status).phrase.encode()
    except ValueError:
        phrase = b'Status'
    headers = [*reply.headers, (b'Content-Length', str(len(reply.body)).encode())]
    if last:
        headers.append((b'Connection', b'close'))
    return render_head(b'HTTP/1.1 %d %s' % (reply.status, phrase), headers) + reply.body


async def serve_status(
    host: str, port: int, answer: Callable[[bytes], Awaitable[tuple[int, bytes]]]
) -> asyncio.Server:
    """Serve short answers by path, one a connection or many; for balancers and scrapers.

    :param answer: returns the status and the body for a path
    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                path = head.split(b' ', 2)[1]
                status, body = await answer(path)
                phrase = http.HTTPStatus(status).phrase.encode()
                length = (b'Content-Length', str(len(body)).encode())
                writer.write(
                    render_head(b'HTTP/1.1 %d %s' % (status, phrase), [length]) + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, IndexError):
            pass  # The peer has left, or sent what is no request; there is no one to answer.
        except asyncio.CancelledError:
            # The process ends; asyncio prints the trace of a handler that says so.
            return
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port)
