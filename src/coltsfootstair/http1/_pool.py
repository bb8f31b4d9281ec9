"""Pool of idle connections to servers, by address."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.http1._answer_limiter import AnswerLimiter
from coltsfootstair.http1._client import Connection

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['Address', 'ConnectionPool']

DEFAULT_IDLE_LIMIT_S = 4.0
"""Longest idle time of a connection whose server announces no limit; less than the 5 s after
which common servers close an idle connection."""

IDLE_MARGIN_S = 1.0
"""How long before the limit that its server announced an idle connection is closed; servers
announce whole seconds."""


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f'{self.host}:{self.port}'


class ConnectionPool:
    """Keeps idle connections for reuse, and hands out the most recently used one first.

    :param id_header: name in lower case of the header in which servers return the id of a
        request; empty for servers that return none
    :param limiter: limits the answers on all connections of the pool
    """

    def __init__(
        self, clock: Clock, id_header: bytes, limiter: AnswerLimiter | None = None
    ) -> None:
        self._limiter = limiter or AnswerLimiter()
        self._clock = clock
        self._id_header = id_header
        self._idle_by_address: dict[Address, deque[Connection]] = {}
        self.opened_count = 0

    def take_idle(
        self,
        address: Address,
        *,
        max_idle_share: float = 1.0,
        unless_refused_id: bytes | None = None,
    ) -> Connection | None:
        """Remove an idle connection from the pool and return it.

        Connections are closed and removed that are found closed, past their idle limit, or
        with bytes that no request has asked for.

        :param max_idle_share: share of its idle limit for which it may have been idle; below 1
            for requests that must not be repeated, which need a fresher connection
        :param unless_refused_id: id of a request that the connection must not have refused
        :return: ``None`` if there is no such connection
        """
        idle = self._idle_by_address.get(address)
        now = self._clock.monotonic()
        found: Connection | None = None
        passed_over: list[Connection] = []
        while idle:
            connection = idle.pop()
            limit_s = connection.idle_limit_s
            max_idle_s = DEFAULT_IDLE_LIMIT_S if limit_s is None else limit_s - IDLE_MARGIN_S
            idle_s = now - connection.idle_since
            if not connection.is_open or idle_s >= max_idle_s or connection.has_unread_input():
                connection.close()
                continue
            if idle_s >= max_idle_s * max_idle_share:
                # The remaining connections have been idle for longer.
                idle.append(connection)
                break
            if unless_refused_id is None or not connection.has_refused(unless_refused_id):
                found = connection
                break
            passed_over.append(connection)
        if idle is not None:
            idle.extend(reversed(passed_over))
        return found

    async def open(self, address: Address, timeout_s: float) -> Connection:
        """Open a new connection.

        :raises BrokenExchangeError: there was no connection within ``timeout_s``
        """
        self.opened_count += 1
        return await Connection.open(address, self._id_header, timeout_s, self._limiter)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_open or connection.is_busy:
            connection.close()
            return
        connection.idle_since = self._clock.monotonic()
        self._idle_by_address.setdefault(connection.address, deque()).append(connection)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to ``address``; called by ``close``."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that cannot be reused or have reached their idle limit."""
        now = self._clock.monotonic()
        for address, idle in list(self._idle_by_address.items()):
            # The margin does not apply to the default limit.
            reusable = deque(
                connection
                for connection in idle
                if connection.is_open
                and now - connection.idle_since
                < (connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S + IDLE_MARGIN_S)
                - IDLE_MARGIN_S
            )
            for connection in idle:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self._idle_by_address[address] = reusable
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
