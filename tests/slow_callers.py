"""Callers on real sockets that read slowly, as over a narrow link."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from typing import NamedTuple

__all__ = ['ReadAnswer', 'SlowCaller']

RECEIVE_BUFFER_BYTES = 16_384

SEGMENT_BYTES = 1448
"""As between machines: with the segments of loopback the kernels would hold whole answers."""

READ_INTERVAL_S = 0.02

_numbers = itertools.count()


class ReadAnswer(NamedTuple):
    """Complete answer of a daemon."""

    status: int
    closes_connection: bool
    body_bytes: int


class SlowCaller:
    """Caller with one connection that it never closes by itself.

    :param bytes_per_s: rate at which it reads
    :ivar outstanding: ids of requests without a complete answer, in the order of sending
    :ivar is_finishing: whether it sends no further requests
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.outstanding: list[str] = []
        self.is_finishing = False
        self._bytes_per_s = bytes_per_s
        self._unread = b''
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)

    async def open(self, port: int, host: str = '127.0.0.1') -> SlowCaller:
        """Connect to a daemon."""
        await asyncio.get_running_loop().sock_connect(self._socket, (host, port))
        return self

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        self._socket.close()

    def end_sending(self) -> None:
        """End the sending side of the connection."""
        self._socket.shutdown(socket.SHUT_WR)

    async def send(self, path: str, *header_lines: str, route: str = 'lookups') -> str:
        """Send a request without a body, and return its id."""
        request_id = f'slow{next(_numbers)}'
        lines = [
            f'GET {path} HTTP/1.1',
            f'Host: {route}.example',
            f'X-Request-Id: {request_id}',
            'X-Request-Deadline: 20000',
            *header_lines,
        ]
        self.outstanding.append(request_id)
        await self.send_bytes('\r\n'.join(lines).encode() + b'\r\n\r\n')
        return request_id

    async def send_bytes(self, data: bytes) -> bool:
        """Send bytes; return false if the daemon has closed the connection."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, data)
        except OSError:
            return False
        return True

    async def read_answer(self) -> ReadAnswer | None:
        """Read the next answer at the caller's rate; ``None`` if the connection ends first."""
        while (answer := self._take_answer()) is None:
            piece = b''
            with contextlib.suppress(ConnectionError):
                piece = await asyncio.get_running_loop().sock_recv(
                    self._socket, int(self._bytes_per_s * READ_INTERVAL_S)
                )
            if not piece:
                return None
            self._unread += piece
            await asyncio.sleep(READ_INTERVAL_S)
        return answer

    async def call_until_closed(self, path: str, ahead_count: int) -> None:
        """Keep requests under way until the daemon ends the connection, or it finishes."""
        for _ in range(ahead_count):
            await self.send(path)
        while (answer := await self.read_answer()) is not None:
            if answer.closes_connection:
                # What was sent behind it counts as not read.
                self.outstanding.clear()
                return
            if not self.is_finishing:
                await self.send(path)
            elif not self.outstanding:
                return

    def _take_answer(self) -> ReadAnswer | None:
        head, mark, rest = self._unread.partition(b'\r\n\r\n')
        if not mark:
            return None
        first, *lines = head.decode('latin-1').lower().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        length = int(headers['content-length'])
        if len(rest) < length:
            return None
        self._unread = rest[length:]
        if self.outstanding:
            self.outstanding.pop(0)
        is_last = headers.get('connection') == 'close'
        return ReadAnswer(int(first.split(' ')[1]), is_last, length)
