"""Server of short answers by path, for load balancers and collectors of metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from coltsfootstair.http1._server import CallerConnection, CallerLimits, Reply

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.http1._headers import Headers
    from coltsfootstair.http1._server import IncomingRequest

__all__ = ['StatusServer']

LIMITS = CallerLimits(max_body_bytes=64 * 1024, idle_timeout_s=120.0)
"""Collectors come once a minute at least, and keep their connections."""


class StatusServer:
    """Answers requests by their path, on connections that are kept.

    :param answer: returns the status and the body for a path
    """

    limits = LIMITS

    def __init__(
        self, answer: Callable[[bytes], Awaitable[tuple[int, bytes]]], clock: Clock
    ) -> None:
        self.clock = clock
        self.is_draining = False
        self._answer = answer
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen at an address.

        :raises OSError: it is in use
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: CallerConnection(self), host, port)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens at."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Take no more requests; what was asked before is still answered."""
        self.is_draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_after_pending_requests()
            connection.close_if_idle()

    @property
    def is_answering(self) -> bool:
        """Whether a request is being read or answered, or an answer delivered."""
        return any(
            not connection.is_idle or connection.undelivered_bytes > 0
            for connection in self._connections
        )

    # Methods of CallerHandler, which the connections use.

    def reserve_body_memory(self, size: int) -> bool:
        """Accept a body; none is kept after its request."""
        return True

    def release_body_memory(self, size: int) -> None:
        """Release nothing, since nothing is counted."""

    async def handle(self, request: IncomingRequest) -> Reply:
        """Answer a request."""
        status, body = await self._answer(request.path)
        return Reply(status, [], b'' if request.method == b'HEAD' else body)

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Return that a request need not complete without its caller."""
        return False

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        """Return the answer to a request that is invalid or failed."""
        return Reply(status, [], b'')

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
