"""A threaded HTTP/1.1 server that hands exchanges to a stand-in."""

from __future__ import annotations

import contextlib
import http.server
import ipaddress
import itertools
import socket
import socketserver
import sys
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

from coltsfootstair.errors import BadInputError

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

__all__ = ['Application', 'BodyCutError', 'Exchange', 'HttpServer', 'parse_address']

PIECE_BYTES = 64 * 1024
BACKLOG_CONNECTIONS = 512
LINGER_S = 2.0
LINGER_BYTES = 64 * 1024 * 1024
_MAX_CHUNK_LINE_BYTES = 256


class BodyCutError(Exception):
    """The connection ended, or broke the framing, before the whole body had come."""


class Application(Protocol):
    """What a stand-in does with connections and exchanges."""

    def connected(self, connection: int) -> None:
        """Note that a connection was accepted."""

    def disconnected(self, connection: int) -> None:
        """Note that a connection has ended."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange, or drop it."""


class Exchange:
    """One request and its answer."""

    def __init__(self, handler: _Handler) -> None:
        parts = urlsplit(handler.path)
        self.connection = handler.connection_number
        self.method = handler.command
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = handler.headers
        self._handler = handler
        self._body_read = not self._has_body()

    def _has_body(self) -> bool:
        return 'Transfer-Encoding' in self.headers or self.headers.get(
            'Content-Length', '0'
        ) not in ('0', '')

    def pieces(self) -> Iterator[bytes]:
        """Yield the body piece by piece.

        :raises BodyCutError: it did not come whole
        """
        if self.headers.get('Transfer-Encoding', '').lower() == 'chunked':
            yield from self._chunks()
        else:
            length = self.headers.get('Content-Length', '0')
            if not length.isdecimal():
                raise BodyCutError
            yield from self._exactly(int(length))
        self._body_read = True

    def body(self, limit: int = PIECE_BYTES * 32) -> bytes | None:
        """Return the whole body, or ``None`` if it is longer than ``limit`` bytes."""
        held = bytearray()
        for piece in self.pieces():
            held += piece
            if len(held) > limit:
                return None
        return bytes(held)

    def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        *,
        send_bytes: int | None = None,
    ) -> None:
        """Send the answer; ``send_bytes`` cuts its body short and ends the connection."""
        handler = self._handler
        reason = HTTPStatus(status).phrase if status in _STATUSES else 'Status'
        handler.send_response_only(status, reason)
        for name, value in (headers or {}).items():
            handler.send_header(name, value)
        handler.send_header('Content-Length', str(len(body)))
        if not self._body_read:
            handler.send_header('Connection', 'close')
        handler.end_headers()
        if self.method != 'HEAD':
            handler.wfile.write(body if send_bytes is None else body[:send_bytes])
        handler.wfile.flush()
        if send_bytes is not None:
            self.drop()
        elif not self._body_read:
            self._linger()

    def answer_json(self, status: int, value: object) -> None:
        """Send ``value`` as JSON."""
        headers = {'Content-Type': 'application/json'}
        self.answer(status, msgspec.json.encode(value), headers)

    def drop(self) -> None:
        """End the connection without more of an answer."""
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self._handler.connection.shutdown(socket.SHUT_RDWR)

    def _linger(self) -> None:
        # Closing with unread bytes would reset the connection and lose the answer.
        handler = self._handler
        handler.close_connection = True
        with contextlib.suppress(OSError):
            handler.connection.shutdown(socket.SHUT_WR)
            handler.connection.settimeout(LINGER_S)
            left = LINGER_BYTES
            while left > 0 and (piece := handler.rfile.read1(PIECE_BYTES)):
                left -= len(piece)

    def _exactly(self, length: int) -> Iterator[bytes]:
        while length > 0:
            piece = self._handler.rfile.read1(min(length, PIECE_BYTES))
            if not piece:
                raise BodyCutError
            length -= len(piece)
            yield piece

    def _chunks(self) -> Iterator[bytes]:
        while length := self._chunk_length():
            yield from self._exactly(length)
            self._line()
        while self._line().strip():
            pass

    def _chunk_length(self) -> int:
        try:
            return int(self._line().split(b';')[0], 16)
        except ValueError:
            raise BodyCutError from None

    def _line(self) -> bytes:
        line: bytes = self._handler.rfile.readline(_MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b'\n'):
            raise BodyCutError
        return line


_STATUSES = frozenset(HTTPStatus)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    rbufsize = PIECE_BYTES
    wbufsize = PIECE_BYTES
    disable_nagle_algorithm = True
    rfile: Any
    server: HttpServer

    def setup(self) -> None:
        super().setup()
        self.connection_number = next(self.server.connection_numbers)
        self.server.application.connected(self.connection_number)

    def finish(self) -> None:
        self.server.application.disconnected(self.connection_number)
        with contextlib.suppress(OSError):
            super().finish()

    def handle(self) -> None:
        with contextlib.suppress(OSError, BodyCutError):
            super().handle()

    def _exchange(self) -> None:
        self.server.application.handle(Exchange(self))

    def __getattr__(self, name: str) -> Any:
        # The library looks up one ``do_METHOD`` for each method.
        if name.startswith('do_'):
            return self._exchange
        raise AttributeError(name)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Write nothing: truth is asked for, not logged."""


class HttpServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Serves each connection on a thread of its own until it is stopped."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG_CONNECTIONS

    def __init__(self, listen: str, application: Application) -> None:
        host, port = parse_address(listen)
        if ':' in host:
            self.address_family = socket.AF_INET6
        self.application = application
        self.connection_numbers = itertools.count()
        self._sockets: set[socket.socket] = set()
        self._sockets_lock = threading.Lock()
        try:
            super().__init__((host, port), _Handler)
        except OSError as error:
            reason = f'{listen} can not be bound ({error.strerror}); a free address is allowed'
            raise BadInputError('command line', '--listen', reason) from None
        self._thread = threading.Thread(target=self._serve, name='standin', daemon=True)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        host, port = self.server_address[:2]
        return f'[{host!s}]:{port}' if ':' in str(host) else f'{host!s}:{port}'

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and every connection at once."""
        self.shutdown()
        self.server_close()
        with self._sockets_lock:
            sockets = list(self._sockets)
        for connection in sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._thread.join()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Keep the connection's socket, so that ``stop`` can close it."""
        with self._sockets_lock:
            self._sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forget the connection's socket, and close it."""
        with self._sockets_lock:
            self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Let a connection that broke off end quietly."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)

    def _serve(self) -> None:
        self.serve_forever(poll_interval=0.05)


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``IP:PORT``.

    :raises BadInputError: it is not an IP number and a port
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    with contextlib.suppress(ValueError):
        ipaddress.ip_address(host)
        if port.isascii() and port.isdecimal() and int(port) <= 65535:
            return host, int(port)
    raise BadInputError(
        'command line', '--listen', f'IP:PORT with a port up to 65535 is allowed, not {text!r}'
    )
