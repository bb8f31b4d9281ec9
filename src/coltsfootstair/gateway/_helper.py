"""Takes requests that other daemons send for their callers."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

from coltsfootstair.gateway._headers import ACCOUNT_HEADER
from coltsfootstair.http1 import find_first_value

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._dispatcher import Dispatcher
    from coltsfootstair.http1 import (
        CallerConnection,
        CallerHandler,
        CallerLimits,
        Headers,
        IncomingRequest,
        Reply,
    )

__all__ = ['RelayedRequestHandler']

HEADERS_BETWEEN_DAEMONS_BYTES = 768
"""Bytes of headers that a request may have in addition to those of its caller."""


class RelayedRequestHandler:
    """Handles requests on connections of other daemons.

    Only the listener for daemons has connections of this kind, so nothing that a caller sends
    makes its request a relayed one.

    :param callers: handler of the daemon's own callers, which shares limits and memory
    """

    def __init__(self, callers: CallerHandler, dispatcher: Dispatcher) -> None:
        self._callers = callers
        self._dispatcher = dispatcher
        self.clock: Clock = callers.clock

    @property
    def limits(self) -> CallerLimits:
        """Limits that apply to callers now, with room for the headers between daemons."""
        limits = self._callers.limits
        return limits._replace(
            max_header_bytes=limits.max_header_bytes + HEADERS_BETWEEN_DAEMONS_BYTES
        )

    @property
    def is_draining(self) -> bool:
        """Whether a connection is closed after the answers to its pending requests."""
        return self._callers.is_draining

    def reserve_body_memory(self, size: int) -> bool:
        """Reserve memory for ``size`` more bytes of a body; return false if there is none."""
        return self._callers.reserve_body_memory(size)

    def release_body_memory(self, size: int) -> None:
        """Release ``size`` bytes of reserved memory."""
        self._callers.release_body_memory(size)

    async def handle(self, request: IncomingRequest) -> Reply:
        """Answer one request of another daemon."""
        return await self._dispatcher.handle_relayed(request)

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Record that the other daemon has given up; return whether to continue."""
        return self._callers.on_caller_left(request)

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        """Return the reply to an invalid request, or to one that failed inside the daemon."""
        reply = self._callers.build_refusal(status, headers)
        account = find_first_value(headers, ACCOUNT_HEADER)
        if account is None or status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return reply
        # Nothing was sent, so the request has spent what it had before.
        return reply._replace(headers=[*reply.headers, (ACCOUNT_HEADER, account)])

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._callers.on_connection_opened(connection)

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._callers.on_connection_closed(connection)
