"""Kept connections to servers, by address."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.http1._client import Connection

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['Address', 'ConnectionPool']

DEFAULT_IDLE_S = 4.0
"""How long a connection may stay idle where its server states no time, in seconds; below
the 5 s after which common servers close."""

IDLE_MARGIN_S = 1.0
"""How much sooner than the server a connection is given up, in seconds; servers state
whole seconds."""


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f'{self.host}:{self.port}'


class ConnectionPool:
    """Lends connections that have not been idle for too long, the latest used first.

    :param id_header: the header, in lower case, in which servers repeat a request's id
    """

    def __init__(self, clock: Clock, id_header: bytes) -> None:
        self._clock = clock
        self._id_header = id_header
        self._idle_by_address: dict[Address, deque[Connection]] = {}
        self.opened_count = 0

    def take_idle(self, address: Address, *, max_idle_share: float = 1.0) -> Connection | None:
        """Return a kept connection, or ``None``.

        :param max_idle_share: the part of the allowed idle time that may have passed
        """
        kept = self._idle_by_address.get(address)
        now = self._clock.monotonic()
        while kept:
            connection = kept.pop()
            limit_s = connection.idle_limit_s
            allowed_s = DEFAULT_IDLE_S if limit_s is None else limit_s - IDLE_MARGIN_S
            idle_s = now - connection.idle_since
            if connection.is_open and idle_s < allowed_s * max_idle_share:
                return connection
            if not connection.is_open or idle_s >= allowed_s:
                connection.close()
                continue
            kept.append(connection)
            return None
        return None

    async def open(self, address: Address, timeout_s: float) -> Connection:
        """Return a new connection.

        :raises BrokenExchangeError: no connection within ``timeout_s``
        """
        self.opened_count += 1
        return await Connection.open(address, self._id_header, timeout_s)

    def release(self, connection: Connection) -> None:
        """Keep a connection for later, if it can be used again."""
        if not connection.is_open or connection.is_busy:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle_by_address.setdefault(connection.address, deque()).append(connection)

    def close_idle(self, address: Address) -> None:
        """Close the kept connections to ``address``."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close what has been idle for too long."""
        now = self._clock.monotonic()
        for address, kept in list(self._idle_by_address.items()):
            fresh = deque(
                connection
                for connection in kept
                if connection.is_open
                and now - connection.idle_since
                < (connection.idle_limit_s or DEFAULT_IDLE_S + IDLE_MARGIN_S) - IDLE_MARGIN_S
            )
            for connection in kept:
                if connection not in fresh:
                    connection.close()
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
