"""Serves callers' connections on loopback with a handler that records."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from coltsfootstair.clock import Clock, SystemClock
from coltsfootstair.http1 import (
    CallerConnection,
    CallerLimits,
    Headers,
    IncomingRequest,
    Reply,
)

__all__ = ['RecordingHandler', 'serve_callers']


class RecordingHandler:
    """Answers requests with as many bytes as their path names, after a time.

    :param delay_s: time until each answer
    :ivar refused: status of each refusal
    """

    def __init__(
        self,
        delay_s: float = 0.0,
        limits: CallerLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.limits = limits or CallerLimits()
        self.is_draining = False
        self.clock: Clock = clock or SystemClock()
        self.handled: list[bytes] = []
        self.refused: list[int] = []
        self.connections: list[CallerConnection] = []
        self.ended_count = 0
        self._delay_s = delay_s

    def reserve_body_memory(self, size: int) -> bool:
        return True

    def release_body_memory(self, size: int) -> None:
        pass

    async def handle(self, request: IncomingRequest) -> Reply:
        self.handled.append(request.path)
        await asyncio.sleep(self._delay_s)
        return Reply(200, [], bytes(int(request.path[1:])))

    def on_caller_left(self, request: IncomingRequest) -> bool:
        return False

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        self.refused.append(status)
        return Reply(status, [], b'')

    def on_connection_opened(self, connection: CallerConnection) -> None:
        self.connections.append(connection)

    def on_connection_closed(self, connection: CallerConnection) -> None:
        self.ended_count += 1


@contextlib.asynccontextmanager
async def serve_callers(handler: RecordingHandler) -> AsyncIterator[int]:
    """Serve callers until the block ends; the value is the port."""
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: CallerConnection(handler), '127.0.0.1', 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
