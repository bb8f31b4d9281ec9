"""Closes connections of servers with blocking sockets once their answers are delivered."""

from __future__ import annotations

import math
import socket
import threading
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.sockets._closing import count_unacknowledged_bytes
from coltsfootstair.sockets._delivery import Delivery

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['LingeringCloser']

logger = structlog.get_logger()

CHECK_INTERVAL_S = 0.05
"""Interval at which ended connections are read and checked, in seconds."""

READ_BYTES = 256 * 1024

MAX_READS_PER_CHECK = 64
"""Reads of one connection after which the others have their turn."""

MAX_PAUSE_S = 30.0
"""Longest time without a byte either way while an answer is not delivered, in seconds."""


class _EndedConnection:
    """A connection whose sending side is ended."""

    def __init__(self, connected: socket.socket, now: float) -> None:
        self.connected = connected
        self._ended_at = now
        # Nobody waits for a connection whose answers are all delivered when it is ended.
        self._delivery = Delivery(0, now, -math.inf)
        if undelivered_bytes := self._count_undelivered_bytes():
            self._delivery = self._delivery.send(undelivered_bytes, now)

    def _count_undelivered_bytes(self) -> int:
        # The kernel counts the end of the sending side as one byte.
        return max(0, (count_unacknowledged_bytes(self.connected) or 0) - 1)

    def read(self, now: float) -> bool:
        """Drop what has come; return whether the connection must be kept."""
        try:
            for _ in range(MAX_READS_PER_CHECK):
                if not self.connected.recv(READ_BYTES):
                    return False
                self._delivery = self._delivery.receive(now)
        except BlockingIOError:
            pass  # No more has come yet.
        except OSError as error:
            logger.debug('connection reset by its caller', reason=str(error))
            return False
        self._delivery = self._delivery.measure(self._count_undelivered_bytes(), now)
        if not self._delivery.may_close(self._ended_at, MAX_PAUSE_S, now):
            return True
        if self._delivery.undelivered_bytes:
            logger.info('answers not delivered', bytes=self._delivery.undelivered_bytes)
        return False

    def is_awaited(self, now: float) -> bool:
        """Whether closing it now could cost the caller an answer."""
        return self._delivery.is_awaited(now)


class LingeringCloser:
    """Reads ended connections until their callers end them too, as ``Delivery`` allows.

    One thread serves all of them. It runs while there are any.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._ended: list[_EndedConnection] = []
        self._thread: threading.Thread | None = None

    def end(self, connected: socket.socket) -> None:
        """End the sending side of a connection, and take over its closing.

        The caller of this method closes its own socket object as usual.
        """
        try:
            kept = connected.dup()
            kept.shutdown(socket.SHUT_WR)
            kept.setblocking(False)
        except OSError as error:
            logger.debug('connection reset by its caller', reason=str(error))
            return
        with self._changed:
            self._ended.append(_EndedConnection(kept, self._clock.monotonic()))
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name='closer', daemon=True)
                self._thread.start()

    def wait_until_delivered(self, timeout_s: float) -> bool:
        """Wait until no caller needs its connection; return whether that is so.

        :param timeout_s: longest wait, in seconds
        """
        with self._changed:
            return self._changed.wait_for(lambda: not self._has_awaited(), timeout_s)

    def _has_awaited(self) -> bool:
        now = self._clock.monotonic()
        return any(each.is_awaited(now) for each in self._ended)

    def _run(self) -> None:
        while True:
            with self._changed:
                now = self._clock.monotonic()
                closed = [each for each in self._ended if not each.read(now)]
                self._ended = [each for each in self._ended if each not in closed]
                for each in closed:
                    each.connected.close()
                self._changed.notify_all()
                if not self._ended:
                    self._thread = None
                    return
                self._changed.wait(CHECK_INTERVAL_S)
