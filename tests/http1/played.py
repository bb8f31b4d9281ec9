"""A connection to a server whose bytes are played by a test, without sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from coltsfootstair.http1 import Address, Answer, Connection

__all__ = ['ID_HEADER', 'PlayedConnection', 'encode']

ID_HEADER = b'x-request-id'


def encode(status: int, request_id: str | None, body: bytes = b'', *lines: str) -> bytes:
    """Return the bytes of an answer; ``lines`` are further lines of its head."""
    head = [f'HTTP/1.1 {status} Any', f'Content-Length: {len(body)}', *lines]
    if request_id is not None:
        head.append(f'X-Request-Id: {request_id}')
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


class _Transport(asyncio.Transport):
    """Drops what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def get_write_buffer_size(self) -> int:
        return 0


class PlayedConnection:
    """Connection that receives what a test lets its server send."""

    def __init__(self) -> None:
        self.connection = Connection(Address('10.0.0.1', 80), ID_HEADER)
        self._transport = _Transport()
        self.connection.connection_made(self._transport)

    async def start(
        self, request_id: str | None, method: str = 'GET', **options: Any
    ) -> asyncio.Task[Answer]:
        """Send a request; see ``Connection.exchange``."""
        exchange = self.connection.exchange(
            f'{method} /x HTTP/1.1'.encode(),
            [],
            b'',
            expected_id=None if request_id is None else request_id.encode(),
            **options,
        )
        task = asyncio.ensure_future(exchange)
        await asyncio.sleep(0)
        return task

    def receive(self, *parts: bytes) -> None:
        """Receive bytes, unless the connection has been closed meanwhile."""
        for part in parts:
            if not self._transport.is_aborted:
                self.connection.data_received(part)

    def end(self, error: Exception | None = None) -> None:
        """End the connection in order, or by an error."""
        if self._transport.is_aborted:
            return
        if error is None:
            self.connection.eof_received()
        self.connection.connection_lost(error)
