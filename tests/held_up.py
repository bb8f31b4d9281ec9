"""Connections whose bytes are held up in the sender's kernel, as by a cut of the network."""

from __future__ import annotations

import fcntl
import os
import socket
import sys
import termios
import time

__all__ = [
    'MAX_ACKNOWLEDGEMENT_DELAY_S',
    'fill_receive_buffer',
    'listen_with_small_buffer',
    'receive_rest',
]

RECEIVE_BUFFER_BYTES = 2048
FILLER = b'x' * 256
CHECK_INTERVAL_S = 0.05
MAX_ACKNOWLEDGEMENT_DELAY_S = 0.3
"""Longest time after which a peer with room acknowledges, in seconds. TCP may wait 0.2 s."""

RECEIVE_TIMEOUT_S = 5.0


def listen_with_small_buffer() -> socket.socket:
    """Listen on loopback; the connections have a small receive buffer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    return listener


def fill_receive_buffer(address: tuple[str, int]) -> None:
    """Fill the receive buffer of the peer of this process's connection to ``address``.

    From then on the kernel keeps all that is sent until the peer receives.
    """
    sender = _copy_socket_to(address)
    sender.send(FILLER)
    while _is_acknowledged(sender):
        sender.send(FILLER)
    # The connection ends only when no copy of its socket is open.
    sender.close()


def receive_rest(connection: socket.socket) -> tuple[bytes, bool]:
    """Return all bytes up to the end of the connection, and whether it was reset."""
    connection.settimeout(RECEIVE_TIMEOUT_S)
    received = b''
    while True:
        try:
            part = connection.recv(65536)
        except ConnectionResetError:
            return received, True
        if not part:
            return received, False
        received += part


def _is_acknowledged(sender: socket.socket) -> bool:
    """Whether the peer's TCP takes all bytes in the time that it has for that."""
    for _ in range(round(MAX_ACKNOWLEDGEMENT_DELAY_S / CHECK_INTERVAL_S)):
        time.sleep(CHECK_INTERVAL_S)
        if _count_unacknowledged_bytes(sender) == 0:
            return True
    return False


def _count_unacknowledged_bytes(sender: socket.socket) -> int:
    count = fcntl.ioctl(sender.fileno(), termios.TIOCOUTQ, b'\0' * 4)
    return int.from_bytes(count, sys.byteorder)


def _copy_socket_to(address: tuple[str, int]) -> socket.socket:
    """Return a copy of this process's connected socket to ``address``."""
    for name in os.listdir('/proc/self/fd'):
        try:
            copy = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            continue
        try:
            if copy.getpeername()[:2] == tuple(address):
                return copy
        except OSError:
            pass
        copy.close()
    raise AssertionError(f'no connection to {address}')
