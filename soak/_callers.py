"""Callers that send pipelined lookups, bookings and uploads, and sometimes leave early."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NamedTuple

from soak._checker import (
    ABANDONED_GRACE_S,
    AbandonedRequestChecker,
    SentRequest,
    expected_body,
)
from soak._servers import LONG_WORK_PREFIX

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak._checker import PromiseChecker
    from soak._daemons import Daemon

__all__ = ['Caller', 'RequestKind']

EARLY_LEAVE_SHARE = 0.05
"""Share of the batches whose callers leave before they are answered."""

EARLY_LEAVE_AFTER_S = 0.1
"""Time after sending at which callers that leave early close their connection."""

LONG_WORK_SHARE = 0.03
"""Share of the batches that ask for long work, if their callers stay.

If their callers leave early, half of the batches ask for long work.
"""

KEEPING_SHARE = 0.3
"""Share of the connections that callers keep open after an answer that says it is the last,
until the daemon closes them."""

PIPELINED_COUNT = 3
"""Number of requests in a pipelined batch."""

ANSWER_WAIT_MARGIN_S = 4.0
"""How long a caller waits beyond the timeout of the route before it closes the connection."""

LATE_SEND_WATCH_S = 2.0
"""How long abandoned requests are observed for late sends to a server."""


class RequestKind(NamedTuple):
    """A kind of requests that callers send.

    :param timeout_s: the timeout of the route, in seconds
    """

    route: str
    method: str
    is_idempotent: bool
    body_bytes: int
    timeout_s: float = 1.0


class Caller:
    """Sends one batch of requests after the other over a persistent connection.

    :param choose_daemon: returns the daemon that a load balancer would choose
    """

    def __init__(
        self,
        caller_number: int,
        kinds: list[RequestKind],
        checker: PromiseChecker,
        abandoned_checker: AbandonedRequestChecker,
        choose_daemon: Callable[[], Daemon | None],
        random_source: random.Random,
    ) -> None:
        self._caller_number = caller_number
        self._kinds = kinds
        self._checker = checker
        self._abandoned_checker = abandoned_checker
        self._choose_daemon = choose_daemon
        self._random = random_source
        self._sent_count = 0
        self._daemon: Daemon | None = None
        self._process = ''
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter | None = None
        self._abandoned_checks: set[asyncio.Task[None]] = set()
        self._kept: set[asyncio.Task[None]] = set()

    async def run(self, get_pause_s: Callable[[], float]) -> None:
        """Send batches until cancelled.

        :param get_pause_s: returns the mean pause between two batches, in seconds
        """
        try:
            while True:
                await asyncio.sleep(get_pause_s() * self._random.uniform(0.5, 1.5))
                if self._writer is None and not await self._connect():
                    continue
                await self._send_batch(self._random.choice(self._kinds))
        finally:
            self._close()
            for task in self._kept:
                task.cancel()

    async def _connect(self) -> bool:
        """Connect to a daemon within a second; return whether there is a connection."""
        self._daemon = self._choose_daemon()
        if self._daemon is None:
            return False
        self._process = f'{self._daemon.name} start {self._daemon.start_count}'
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    '127.0.0.1', self._daemon.ports.callers
                )
        except (OSError, TimeoutError):
            return False
        return True

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def _send_batch(self, kind: RequestKind) -> None:
        assert self._daemon is not None
        assert self._writer is not None
        # A fifth of the batches of idempotent requests are pipelined.
        request_count = (
            PIPELINED_COUNT if kind.is_idempotent and self._random.random() < 0.2 else 1
        )
        leaves_early = self._random.random() < EARLY_LEAVE_SHARE
        is_long = self._random.random() < (0.5 if leaves_early else LONG_WORK_SHARE)
        requests = [
            self._send(kind, self._writer, is_long=is_long) for _ in range(request_count)
        ]
        if leaves_early:
            await asyncio.sleep(EARLY_LEAVE_AFTER_S)
            self._leave_early([request for request, _ in requests])
            return
        try:
            async with asyncio.timeout(kind.timeout_s + ANSWER_WAIT_MARGIN_S):
                for index, (request, body) in enumerate(requests):
                    if not await self._read_answer(request, body):
                        self._on_connection_closed(
                            [request for request, _ in requests[index + 1 :]]
                        )
                        return
        except TimeoutError:
            self._close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._on_connection_closed(
                [request for request, _ in requests if request.ended_at is None]
            )

    def _send(
        self, kind: RequestKind, writer: asyncio.StreamWriter, *, is_long: bool
    ) -> tuple[SentRequest, bytes]:
        assert self._daemon is not None
        self._sent_count += 1
        request_id = f'c{self._caller_number}-{self._sent_count}'
        request = SentRequest(
            request_id,
            self._daemon.name,
            kind.route,
            is_idempotent=kind.is_idempotent,
            sent_at=asyncio.get_running_loop().time(),
        )
        request.timeout_s = kind.timeout_s
        request.process = self._process
        self._checker.on_request_sent(request)
        body = self._random.randbytes(kind.body_bytes)
        target = f'{LONG_WORK_PREFIX if is_long else "/x/"}{request_id}'
        header_lines = [
            f'{kind.method} {target} HTTP/1.1',
            f'Host: {kind.route}.example',
            f'X-Request-Id: {request_id}',
            # In milliseconds.
            'X-Request-Deadline: 2000',
            f'X-Shard-Key: {self._draw_key()}',
        ]
        if kind.body_bytes:
            header_lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(header_lines).encode() + b'\r\n\r\n' + body)
        return request, expected_body(request_id, kind.method, target, body)

    def _draw_key(self) -> int:
        """Return a random key; a fifth of the requests are for 8 adjacent keys."""
        if self._random.random() < 0.2:
            return 30_000 + self._random.randrange(8)
        return self._random.randrange(65536)

    async def _read_answer(self, request: SentRequest, expected: bytes) -> bool:
        """Read one answer; return false if the daemon closes the connection after it."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, *header_lines = head.rstrip().split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in header_lines)
        }
        body = await self._reader.readexactly(int(headers['content-length']))
        is_intact = body == expected and 'x-upstream-signature' in headers
        self._checker.on_answer(request, int(status_line.split(' ')[1]), is_intact=is_intact)
        if headers.get('connection', '').lower() == 'close':
            if self._random.random() < KEEPING_SHARE and self._writer is not None:
                task = asyncio.ensure_future(_keep_open(self._reader, self._writer))
                self._kept.add(task)
                task.add_done_callback(self._kept.discard)
                self._writer = None
            self._close()
            return False
        return True

    def _on_connection_closed(self, requests: list[SentRequest]) -> None:
        is_stopping = self._daemon is not None and self._daemon.is_stopping
        for request in requests:
            self._checker.on_connection_closed(request, is_stopping=is_stopping)
        self._close()

    def _leave_early(self, requests: list[SentRequest]) -> None:
        self._close()
        for request in requests:
            self._checker.on_caller_left(request)
            task = asyncio.ensure_future(self._check_abandoned(request))
            self._abandoned_checks.add(task)
            task.add_done_callback(self._abandoned_checks.discard)

    async def _check_abandoned(self, request: SentRequest) -> None:
        await asyncio.sleep(ABANDONED_GRACE_S)
        self._abandoned_checker.check_running(request)
        arrival_count = request.arrival_count
        await asyncio.sleep(LATE_SEND_WATCH_S)
        self._abandoned_checker.check_sends(request, arrival_count)


async def _keep_open(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Keep a connection open until the daemon closes it or its process has ended."""
    try:
        with contextlib.suppress(OSError):
            await reader.read()
    finally:
        writer.transport.abort()
