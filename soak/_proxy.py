"""A loopback proxy that delays, resets, silences or cuts connections one way."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ['LinkState', 'Proxy']

CHUNK_BYTES = 64 * 1024
"""Bytes that are forwarded at a time."""

DELAY_S = 0.15
"""How much longer bytes take on a delayed link, in seconds; many times a usual answer."""

LOST_SHARE = 0.3
"""Part of the answers that are lost on a link that loses answers."""

HELD_POLL_S = 0.02
"""Seconds between two looks at whether a held link is whole again."""

BUSY_ANSWER = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'


class LinkState(enum.Enum):
    """How a link treats its connections."""

    WHOLE = 'whole'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    RESET = 'reset'
    BUSY = 'busy'
    LOSING_ANSWERS = 'losing answers'


HOLDS_REQUESTS = frozenset({LinkState.SILENT})
HOLDS_ANSWERS = frozenset({LinkState.SILENT, LinkState.ONE_WAY})


class Proxy:
    """Forwards connections to one port of loopback as the link's state has it.

    Bytes that a cut holds back are lost if their sender closes the connection.
    """

    def __init__(self, target_port: int, random_source: random.Random) -> None:
        self.port = 0
        self.state = LinkState.WHOLE
        self._target_port = target_port
        self._random = random_source
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def retarget(self, target_port: int) -> None:
        """Forward new connections elsewhere; the open ones are reset."""
        self._target_port = target_port
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def change(self, state: LinkState) -> None:
        """Treat connections, open ones too, as ``state`` has it."""
        self.state = state
        if state is LinkState.RESET:
            self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.state is LinkState.RESET:
                return
            if self.state is LinkState.BUSY:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(BUSY_ANSWER)
                return
            await self._forward(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return  # Either side has left, or the run is over.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        self._writers.add(server_writer)
        there = asyncio.ensure_future(self._pump(reader, server_writer, HOLDS_REQUESTS))
        back = asyncio.ensure_future(self._pump(server_reader, writer, HOLDS_ANSWERS))
        try:
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (there, back):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await task
            self._writers.discard(server_writer)
            server_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_by: frozenset[LinkState],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            while self.state in held_by:
                if reader.at_eof() or reader.exception() is not None:
                    return
                await asyncio.sleep(HELD_POLL_S)
            is_answer = held_by is HOLDS_ANSWERS
            if is_answer and self.state is LinkState.LOSING_ANSWERS:
                if self._random.random() < LOST_SHARE:
                    return
            elif is_answer and self.state is LinkState.BUSY:
                return
            writer.write(data)
            await writer.drain()
