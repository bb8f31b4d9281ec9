"""A loopback proxy that delays, resets, blocks or otherwise disturbs connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ['LinkState', 'Proxy']

CHUNK_BYTES = 64 * 1024
"""Most bytes that are forwarded at a time."""

DELAY_S = 0.15
"""Delay of bytes on a delayed link; many times the time of a usual answer."""

LOST_ANSWER_SHARE = 0.3
"""Share of the answers that are lost on a link that loses answers."""

LINK_POLL_S = 0.02
"""Time between two checks whether a blocked link forwards again."""

FIRST_RETRANSMISSION_DELAY_S = 0.2
"""Time after which TCP sends unacknowledged bytes again for the first time; each further wait
is twice as long."""

BUSY_ANSWER = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'


class LinkState(enum.Enum):
    """How a link treats its connections.

    ``WHOLE`` forwards all bytes at once, ``DELAYED`` after a delay. ``SILENT`` holds back
    requests and answers, ``ONE_WAY`` only answers. ``RESET`` resets connections. ``BUSY``
    answers new ones with 503 and closes open ones in place of an answer.
    ``LOSING_ANSWERS`` closes some in place of an answer.
    """

    WHOLE = 'whole'
    DELAYED = 'delayed'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    RESET = 'reset'
    BUSY = 'busy'
    LOSING_ANSWERS = 'losing answers'


REQUEST_HOLDING_STATES = frozenset({LinkState.SILENT})
ANSWER_HOLDING_STATES = frozenset({LinkState.SILENT, LinkState.ONE_WAY})


class Proxy:
    """Forwards connections to a loopback port according to the state of the link.

    Bytes that a link state holds back are lost if their sender closes the connection. Bytes
    that are held up by a cut of the network arrive after it, when the kernel of their sender
    would send them again, unless the sender has reset the connection.
    """

    def __init__(self, target_port: int, random_source: random.Random) -> None:
        self.port = 0
        self.state = LinkState.WHOLE
        self._target_port = target_port
        self._cut_count = 0
        self._random = random_source
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port that the operating system chooses."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def retarget(self, target_port: int) -> None:
        """Reset open connections and forward new ones to ``target_port``."""
        self._target_port = target_port
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_state(self, state: LinkState) -> None:
        """Apply ``state`` to new and open connections."""
        self.state = state
        if state is LinkState.RESET:
            self.reset()

    def cut(self) -> None:
        """Hold up all bytes until ``heal`` has been called as often as this."""
        self._cut_count += 1

    def heal(self) -> None:
        """End one cut."""
        self._cut_count -= 1

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
            return  # One side closed the connection, or the run is over.
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
        request_copy = asyncio.ensure_future(
            self._copy_bytes(reader, writer, server_writer, REQUEST_HOLDING_STATES)
        )
        answer_copy = asyncio.ensure_future(
            self._copy_bytes(server_reader, server_writer, writer, ANSWER_HOLDING_STATES)
        )
        try:
            await asyncio.wait(
                {request_copy, answer_copy}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (request_copy, answer_copy):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await task
            self._writers.discard(server_writer)
            server_writer.transport.abort()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        sender: asyncio.StreamWriter,
        writer: asyncio.StreamWriter,
        holding_states: frozenset[LinkState],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._cut_count:
                await self._wait_for_retransmission()
                if reader.exception() is not None or _is_reset(sender):
                    return
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(DELAY_S)
            while self.state in holding_states:
                if reader.at_eof() or reader.exception() is not None:
                    return
                await asyncio.sleep(LINK_POLL_S)
            is_answer = holding_states is ANSWER_HOLDING_STATES
            if is_answer and self.state is LinkState.LOSING_ANSWERS:
                if self._random.random() < LOST_ANSWER_SHARE:
                    return
            elif is_answer and self.state is LinkState.BUSY:
                return
            writer.write(data)
            await writer.drain()

    async def _wait_for_retransmission(self) -> None:
        """Wait until the kernel of a sender sends bytes again that it sends now."""
        delay_s = FIRST_RETRANSMISSION_DELAY_S
        while self._cut_count:
            await asyncio.sleep(delay_s)
            delay_s *= 2


def _is_reset(writer: asyncio.StreamWriter) -> bool:
    """Whether the peer has reset the connection, be there unread bytes or not."""
    poll = select.poll()
    descriptor = writer.get_extra_info('socket').fileno()
    if descriptor < 0:
        return True
    poll.register(descriptor, 0)
    return bool(poll.poll(0))
