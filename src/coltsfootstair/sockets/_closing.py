"""What becomes of undelivered bytes when a socket is closed or its process ends."""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from typing import Protocol

__all__ = ['count_unacknowledged_bytes', 'finish_on_close', 'reset_on_close']

_RESET = struct.pack('ii', 1, 0)
_FINISH = struct.pack('ii', 0, 0)


class _Socket(Protocol):
    def setsockopt(self, level: int, option: int, value: bytes, /) -> None: ...

    def fileno(self) -> int: ...


def reset_on_close(connected: _Socket) -> None:
    """Let the end of the socket drop undelivered bytes and reset the connection.

    Without this the kernel goes on sending for a closed socket, and a request that was given
    up arrives when a cut of the network ends.
    """
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def finish_on_close(connected: _Socket) -> None:
    """Let the end of the socket deliver what was sent, and end the connection."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FINISH)


def count_unacknowledged_bytes(connected: _Socket) -> int | None:
    """Return how many sent bytes the peer's TCP has not acknowledged, if that is known."""
    count = bytearray(4)
    try:
        fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return None
    return int.from_bytes(count, sys.byteorder)
