"""Callers: open connections, pipelined lookups, bookings, uploads, early leaving."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from soak._checker import ABANDONED_S, AbandonedRequests, SentRequest, whole_body
from soak._servers import LONG_PREFIX

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from soak._checker import Truth
    from soak._daemons import Daemon

__all__ = ['Caller', 'Kind']

LEAVING_SHARE = 0.05
"""Part of the batches whose callers leave early."""

LEAVING_AFTER_S = 0.1
"""When they leave, in seconds."""

LONG_SHARE = 0.03
"""Part of the batches that ask for long work; half of those that will be left do so too."""

PIPELINED = 3
"""Lookups that a caller sends one behind the other."""

PATIENCE_S = 4.0
"""How long a caller waits beyond anything promised, in seconds, before it goes on."""

LATE_SENDS_S = 2.0
"""How long requests that were left are watched for late sends, in seconds."""


class Kind(NamedTuple):
    """A kind of request.

    :param timeout_s: the longest time that its route allows
    """

    route: str
    method: str
    repeatable: bool
    body_bytes: int
    timeout_s: float = 1.0


class Caller:
    """Sends one batch of requests after the other over connections that it keeps.

    :param pick: returns the daemon that the balancer would take
    """

    def __init__(
        self,
        number: int,
        kinds: list[Kind],
        truth: Truth,
        abandoned: AbandonedRequests,
        pick: Callable[[], Daemon | None],
        random_source: random.Random,
    ) -> None:
        self._number = number
        self._kinds = kinds
        self._truth = truth
        self._abandoned = abandoned
        self._pick = pick
        self._random = random_source
        self._count = 0
        self._daemon: Daemon | None = None
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter | None = None
        self._watches: set[asyncio.Task[None]] = set()

    async def run(self, pause_s: Callable[[], float]) -> None:
        """Send until cancelled, with a pause between batches."""
        try:
            while True:
                await asyncio.sleep(pause_s() * self._random.uniform(0.5, 1.5))
                if self._writer is None and not await self._connect():
                    continue
                await self._batch(self._random.choice(self._kinds))
        finally:
            self._close()

    async def _connect(self) -> bool:
        self._daemon = self._pick()
        if self._daemon is None:
            return False
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

    async def _batch(self, kind: Kind) -> None:
        assert self._daemon is not None
        assert self._writer is not None
        count = PIPELINED if kind.repeatable and self._random.random() < 0.2 else 1
        leaves = self._random.random() < LEAVING_SHARE
        long = self._random.random() < (0.5 if leaves else LONG_SHARE)
        requests = [self._send(kind, self._writer, long=long) for _ in range(count)]
        if leaves:
            await asyncio.sleep(LEAVING_AFTER_S)
            self._leave([request for request, _ in requests])
            return
        try:
            async with asyncio.timeout(kind.timeout_s + PATIENCE_S):
                for place, (request, body) in enumerate(requests):
                    if not await self._take_answer(request, body):
                        self._cut([request for request, _ in requests[place + 1 :]])
                        return
        except TimeoutError:
            self._close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self._cut([request for request, _ in requests if request.ended_at is None])

    def _send(
        self, kind: Kind, writer: asyncio.StreamWriter, *, long: bool
    ) -> tuple[SentRequest, bytes]:
        assert self._daemon is not None
        self._count += 1
        name = f'c{self._number}-{self._count}'
        request = SentRequest(
            name,
            self._daemon.name,
            kind.route,
            repeatable=kind.repeatable,
            sent_at=asyncio.get_running_loop().time(),
        )
        request.timeout_s = kind.timeout_s
        self._truth.sent(request)
        body = self._random.randbytes(kind.body_bytes)
        target = f'{LONG_PREFIX if long else "/x/"}{name}'
        lines = [
            f'{kind.method} {target} HTTP/1.1',
            f'Host: {kind.route}.example',
            f'X-Request-Id: {name}',
            'X-Request-Deadline: 2000',
            f'X-Shard-Key: {self._key()}',
        ]
        if kind.body_bytes:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        return request, whole_body(name, kind.method, target, body)

    def _key(self) -> int:
        """Return a key; a fifth of the requests are for a few keys close to one another."""
        if self._random.random() < 0.2:
            return 30_000 + self._random.randrange(8)
        return self._random.randrange(65536)

    async def _take_answer(self, request: SentRequest, expected: bytes) -> bool:
        """Read one answer; false if the connection ends behind it."""
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip().split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        body = await self._reader.readexactly(int(headers['content-length']))
        whole = body == expected and 'x-upstream-signature' in headers
        self._truth.answered(request, int(first.split(' ')[1]), whole=whole)
        if headers.get('connection', '').lower() == 'close':
            self._close()
            return False
        return True

    def _cut(self, requests: list[SentRequest]) -> None:
        stopping = self._daemon is not None and self._daemon.stopping
        for request in requests:
            self._truth.cut(request, stopping=stopping)
        self._close()

    def _leave(self, requests: list[SentRequest]) -> None:
        self._close()
        for request in requests:
            self._truth.left(request)
            task = asyncio.ensure_future(self._watch(request))
            self._watches.add(task)
            task.add_done_callback(self._watches.discard)

    async def _watch(self, request: SentRequest) -> None:
        await asyncio.sleep(ABANDONED_S)
        self._abandoned.check_work(request)
        arrivals = request.arrivals
        await asyncio.sleep(LATE_SENDS_S)
        self._abandoned.check_sends(request, arrivals)
