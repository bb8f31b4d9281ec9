"""Backend servers that hold keys, queue, fall cold and misbehave on demand."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

from tests.coltsfootstair_platform.standin import Listener, Received, answer

from soak._checker import Hold, ServerFacts, whole_body

if TYPE_CHECKING:
    import random

    from soak._bounds import Bounds
    from soak._checker import Truth

__all__ = ['LONG_PREFIX', 'SLOTS', 'BackendServerStandin']

SLOTS = 4
"""Requests that a server runs at a time."""

QUEUE = 16
"""Requests beyond its slots that a server takes."""

WORK_S = 0.04
"""Mean time of a request's work, in seconds."""

LATE_ORDER_S = (2.0, 6.0)
"""How much later an unanswered order is carried out, in seconds; a part of the platform's
range, so that short runs see it."""

LONG_PREFIX = '/x/long/'
"""Prefix of targets whose work is long."""

LONG_WORK_S = 1.5
"""Mean time of long work, in seconds: most of it lasts beyond the time of its route."""

MISBEHAVED_SHARE = 0.5
"""Part of the requests that a fault of a server strikes."""

SECOND_ANSWER_S = 0.05
"""Longest time by which a second answer comes later, in seconds."""


class BackendServerStandin(Listener):
    """One life of a backend server; its truth is known to the soak."""

    def __init__(
        self,
        facts: ServerFacts,
        truth: Truth,
        bounds: Bounds,
        random_source: random.Random,
        *,
        divided_by_key: bool,
    ) -> None:
        super().__init__()
        self.facts = facts
        self.divided_by_key = divided_by_key
        self.hangs = False
        self.loses_answers = False
        self.answers_twice = False
        self.late_orders = False
        self.slowness = 1.0
        self._truth = truth
        self._bounds = bounds
        self._random = random_source
        self._fence_by_range: list[tuple[int, int, int]] = []
        self._slots = asyncio.Semaphore(SLOTS)
        self._taken = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def end(self) -> None:
        """End this life: no listener, no keys, no work."""
        self.facts.up = False
        self.facts.holds.clear()
        for task in self._tasks:
            task.cancel()
        self.stop()

    async def _serve(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        named = request.headers.get('x-target-instance')
        if named is not None and named != self.facts.name:
            writer.write(answer(421, X_Not_Executed='1'))
            return True
        if self.hangs:
            await reader.read()
            return False
        if request.target in ('/-/grant', '/-/release'):
            return await self._order(request, writer)
        return await self._request(request, reader, writer)

    async def _order(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        if not self.divided_by_key:
            writer.write(answer(400))
            return True
        order = json.loads(request.body)
        arrived_at = asyncio.get_running_loop().time()
        if request.target == '/-/release':
            await self._release(order)
            writer.write(answer(200, X_Handover='handover'))
            return True
        if self.late_orders and self._random.random() < MISBEHAVED_SHARE:
            task = asyncio.ensure_future(self._grant_late(order, arrived_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(LATE_ORDER_S[1])
            return False
        writer.write(answer(200 if self._grant(order, arrived_at) else 409))
        return True

    async def _grant_late(self, order: dict[str, Any], arrived_at: float) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_ORDER_S))
        self._grant(order, arrived_at)

    def _grant(self, order: dict[str, Any], arrived_at: float) -> bool:
        first, last, fence = order['from'], order['target'], order['fence']
        if self._highest_fence(first, last) > fence:
            return False
        self._fence_by_range.append((first, last, fence))
        until = arrived_at + order['hold-ms'] / 1000 * self._bounds.hold_rate
        if until > asyncio.get_running_loop().time():
            self._truth.granted(self.facts, Hold(first, last, fence, until))
        return True

    async def _release(self, order: dict[str, Any]) -> None:
        first, last, fence = order['from'], order['target'], order['fence']
        self._fence_by_range.append((first, last, fence))
        kept: list[Hold] = []
        for held in self.facts.holds:
            if held.last < first or held.first > last:
                kept.append(held)
                continue
            if held.first < first:
                kept.append(held._replace(last=first - 1))
            if held.last > last:
                kept.append(held._replace(first=last + 1))
        self.facts.holds[:] = kept
        while any(first <= key <= last for key in self.facts.running_keys):
            await asyncio.sleep(0.01)

    def _highest_fence(self, first: int, last: int) -> int:
        return max(
            (
                fence
                for low, high, fence in self._fence_by_range
                if low <= last and first <= high
            ),
            default=0,
        )

    def _holds(self, key: int) -> bool:
        now = asyncio.get_running_loop().time()
        return any(
            held.first <= key <= held.last and held.until > now for held in self.facts.holds
        )

    async def _request(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.headers.get('x-request-id', '')
        self._truth.arrived(self.facts, request_id)
        key = int(request.headers['x-shard-key']) if self.divided_by_key else None
        if key is not None and not self._holds(key):
            writer.write(answer(421, X_Not_Executed='1'))
            return True
        if self._taken >= SLOTS + QUEUE:
            writer.write(answer(503, X_Not_Executed='1', X_Request_Id=request_id))
            return True
        self._taken += 1
        work = asyncio.ensure_future(self._work(request, request_id, key))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False  # Its sender has left; the work is dropped.
            if not work.result():
                writer.write(answer(421, X_Not_Executed='1'))
                return True
            return self._reply(request, request_id, writer)
        finally:
            self._taken -= 1
            for task in (work, closed):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _work(self, request: Received, request_id: str, key: int | None) -> bool:
        """Do the work; false if it was not begun since the key had left meanwhile."""
        async with self._slots:
            if key is not None and not self._holds(key):
                return False
            self._truth.began(self.facts, request_id, key)
            try:
                work_s = LONG_WORK_S if request.target.startswith(LONG_PREFIX) else WORK_S
                spread = self._random.uniform(0.5, 2.0)
                await asyncio.sleep(work_s * spread * self.slowness)
            finally:
                self._truth.finished(self.facts, request_id, key)
        return True

    def _reply(self, request: Received, request_id: str, writer: asyncio.StreamWriter) -> bool:
        if self.loses_answers and self._random.random() < MISBEHAVED_SHARE:
            writer.transport.abort()
            return False
        body = whole_body(request_id, request.method, request.target, request.body)
        load = f'{SLOTS - self._slots_free()},{max(0, self._taken - SLOTS)},{SLOTS},100'
        whole = answer(
            200,
            body,
            X_Request_Id=request_id,
            X_Upstream_Signature=f'signed-by-{self.facts.name}',
            X_Upstream_Load=load,
        )
        writer.write(whole)
        if self.answers_twice and self._random.random() < MISBEHAVED_SHARE:
            later_s = self._random.uniform(0.0, SECOND_ANSWER_S)
            asyncio.get_running_loop().call_later(later_s, self._write_again, writer, whole)
        return True

    @staticmethod
    def _write_again(writer: asyncio.StreamWriter, whole: bytes) -> None:
        if not writer.is_closing():
            writer.write(whole)

    def _slots_free(self) -> int:
        return max(0, SLOTS - self._taken)
