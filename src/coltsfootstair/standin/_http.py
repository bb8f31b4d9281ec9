"""A threaded HTTP/1.1 server that passes exchanges to a stand-in."""

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

__all__ = ['Application', 'BodyTruncatedError', 'Exchange', 'HttpServer', 'parse_address']

READ_BYTES = 64 * 1024
LISTEN_BACKLOG_CONNECTIONS = 512
DISCARD_TIMEOUT_S = 2.0
"""Longest wait for further unread bytes of a request, in seconds."""

MAX_DISCARDED_BYTES = 64 * 1024 * 1024
"""Maximum number of unread bytes of a request that are read before its connection closes."""

_MAX_CHUNK_LINE_BYTES = 256


class BodyTruncatedError(Exception):
    """The connection ended, or violated the framing, before the whole body had arrived."""


class Application(Protocol):
    """The interface for connections and exchanges that each stand-in implements."""

    def on_connected(self, connection_number: int) -> None:
        """Handle a connection that was accepted."""

    def on_disconnected(self, connection_number: int) -> None:
        """Handle the end of a connection."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange, or drop its connection."""


class Exchange:
    """One HTTP request and its answer."""

    def __init__(self, handler: _Handler) -> None:
        parts = urlsplit(handler.path)
        self.connection_number = handler.connection_number
        self.method = handler.command
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = handler.headers
        self._handler = handler
        self._is_body_read = not self._has_body()

    def _has_body(self) -> bool:
        return 'Transfer-Encoding' in self.headers or self.headers.get(
            'Content-Length', '0'
        ) not in ('0', '')

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body in chunks, as they arrive.

        :raises BodyTruncatedError: the body ended early, or its framing is invalid
        """
        if self.headers.get('Transfer-Encoding', '').lower() == 'chunked':
            yield from self._read_chunks()
        else:
            length = self.headers.get('Content-Length', '0')
            if not length.isdecimal():
                raise BodyTruncatedError
            yield from self._read_exactly(int(length))
        self._is_body_read = True

    def read_body(self, limit: int = READ_BYTES * 32) -> bytes | None:
        """Return the whole body, or ``None`` if it is longer than ``limit`` bytes.

        :param limit: 2 MiB unless given
        """
        content = bytearray()
        for chunk in self.iter_body():
            content += chunk
            if len(content) > limit:
                return None
        return bytes(content)

    def send_answer(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        *,
        truncate_at_bytes: int | None = None,
    ) -> None:
        """Send the answer.

        :param truncate_at_bytes: if given, the body is truncated after so many bytes, and the
            connection is closed
        """
        handler = self._handler
        reason = HTTPStatus(status).phrase if status in _KNOWN_STATUSES else 'Status'
        handler.send_response_only(status, reason)
        for name, value in (headers or {}).items():
            handler.send_header(name, value)
        handler.send_header('Content-Length', str(len(body)))
        if not self._is_body_read:
            handler.send_header('Connection', 'close')
        handler.end_headers()
        if self.method != 'HEAD':
            handler.wfile.write(
                body if truncate_at_bytes is None else body[:truncate_at_bytes]
            )
        handler.wfile.flush()
        if truncate_at_bytes is not None:
            self.drop_connection()
        elif not self._is_body_read:
            self._discard_rest()

    def send_json(self, status: int, value: object) -> None:
        """Send ``value`` as JSON."""
        headers = {'Content-Type': 'application/json'}
        self.send_answer(status, msgspec.json.encode(value), headers)

    def drop_connection(self) -> None:
        """Close the connection without sending anything more."""
        self._handler.close_connection = True
        with contextlib.suppress(OSError):
            self._handler.connection.shutdown(socket.SHUT_RDWR)

    def _discard_rest(self) -> None:
        # Closing a socket that has unread bytes resets the connection, and the answer is lost.
        handler = self._handler
        handler.close_connection = True
        with contextlib.suppress(OSError):
            handler.connection.shutdown(socket.SHUT_WR)
            handler.connection.settimeout(DISCARD_TIMEOUT_S)
            remaining = MAX_DISCARDED_BYTES
            while remaining > 0 and (chunk := handler.rfile.read1(READ_BYTES)):
                remaining -= len(chunk)

    def _read_exactly(self, length: int) -> Iterator[bytes]:
        while length > 0:
            chunk = self._handler.rfile.read1(min(length, READ_BYTES))
            if not chunk:
                raise BodyTruncatedError
            length -= len(chunk)
            yield chunk

    def _read_chunks(self) -> Iterator[bytes]:
        while length := self._read_chunk_length():
            yield from self._read_exactly(length)
            self._read_line()
        while self._read_line().strip():
            pass

    def _read_chunk_length(self) -> int:
        try:
            return int(self._read_line().split(b';')[0], 16)
        except ValueError:
            raise BodyTruncatedError from None

    def _read_line(self) -> bytes:
        line: bytes = self._handler.rfile.readline(_MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b'\n'):
            raise BodyTruncatedError
        return line


_KNOWN_STATUSES = frozenset(HTTPStatus)


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    rbufsize = READ_BYTES
    wbufsize = READ_BYTES
    disable_nagle_algorithm = True
    rfile: Any
    server: HttpServer

    def setup(self) -> None:
        super().setup()
        self.connection_number = next(self.server.connection_numbers)
        self.server.application.on_connected(self.connection_number)

    def finish(self) -> None:
        self.server.application.on_disconnected(self.connection_number)
        with contextlib.suppress(OSError):
            super().finish()

    def handle(self) -> None:
        with contextlib.suppress(OSError, BodyTruncatedError):
            super().handle()

    def _handle_exchange(self) -> None:
        self.server.application.handle(Exchange(self))

    def __getattr__(self, name: str) -> Any:
        # The base class looks up a method ``do_METHOD`` for each HTTP method.
        if name.startswith('do_'):
            return self._handle_exchange
        raise AttributeError(name)

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Log nothing: what a stand-in recorded can be read at ``/-/truth``."""


class HttpServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    """Serves each connection on its own thread until the server is stopped."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG_CONNECTIONS

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
            reason = (
                f'{listen} can not be bound ({error.strerror}); '
                'must be an address of this machine with a port that is not in use'
            )
            raise BadInputError('command line', '--listen', reason) from None
        self._thread = threading.Thread(target=self._serve, name='standin', daemon=True)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        host, port = self.server_address[:2]
        return f'[{host!s}]:{port}' if ':' in str(host) else f'{host!s}:{port}'

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and every connection immediately."""
        self.shutdown()
        self.server_close()
        with self._sockets_lock:
            sockets = list(self._sockets)
        for connection in sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._thread.join()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Register the connection's socket, so that ``stop`` can close it."""
        with self._sockets_lock:
            self._sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close the connection's socket, and unregister it."""
        with self._sockets_lock:
            self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections that were interrupted."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)

    def _serve(self) -> None:
        self.serve_forever(poll_interval=0.05)


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``IP:PORT``.

    :raises BadInputError: the text is not an IP address and a port
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    with contextlib.suppress(ValueError):
        ipaddress.ip_address(host)
        if port.isascii() and port.isdecimal() and int(port) <= 65535:
            return host, int(port)
    raise BadInputError(
        'command line', '--listen', f'must be IP:PORT with a port up to 65535, not {text!r}'
    )
