"""Callers with blocking sockets, for servers that run in threads."""

from __future__ import annotations

import socket
import time

__all__ = ['connect_slowly', 'read_slowly', 'send_for']

READ_INTERVAL_S = 0.02
TIMEOUT_S = 20.0

PIECE_BYTES = 100_000
PIECE_INTERVAL_S = 0.1


def connect_slowly(address: str) -> socket.socket:
    """Connect as over a narrow link, so that the kernels hold little."""
    host, _, port = address.rpartition(':')
    connected = socket.socket()
    connected.settimeout(TIMEOUT_S)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    connected.connect((host, int(port)))
    return connected


def send_for(connected: socket.socket, duration_s: float) -> bool:
    """Send a megabyte a second; return false if the server has closed the connection."""
    for _ in range(int(duration_s / PIECE_INTERVAL_S)):
        try:
            connected.sendall(bytes(PIECE_BYTES))
        except OSError:
            return False
        time.sleep(PIECE_INTERVAL_S)
    return True


def read_slowly(connected: socket.socket, bytes_per_s: float) -> bytes:
    """Read until the connection ends."""
    received = b''
    while True:
        try:
            piece = connected.recv(int(bytes_per_s * READ_INTERVAL_S))
        except ConnectionError:
            return received
        if not piece:
            return received
        received += piece
        time.sleep(READ_INTERVAL_S)
