"""Stand-ins of backend servers that own keys, queue requests and misbehave on demand."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

from tests.coltsfootstair_platform.standin import Listener, ReceivedRequest, encode_answer

from soak._checker import Grant, ServerRecord, expected_body

if TYPE_CHECKING:
    import random

    from soak._bounds import Bounds
    from soak._checker import PromiseChecker

__all__ = ['LONG_WORK_PREFIX', 'SLOT_COUNT', 'BackendServerStandin']

SLOT_COUNT = 4
"""Requests that a server works on at once."""

MAX_QUEUED_COUNT = 16
"""Requests that a server queues while all slots are in use."""

BASE_WORK_S = 0.04
"""Time of a request's work, before the random factor and the slowdown."""

LATE_GRANT_DELAY_RANGE_S = (2.0, 6.0)
"""Delay after which an unanswered grant call is applied; only a part of the delays that the
platform's rules allow, so that it happens within short runs."""

LONG_WORK_PREFIX = '/x/long/'
"""Prefix of the targets of requests that need long work."""

BASE_LONG_WORK_S = 1.5
"""Time of a request's long work, before the random factor and the slowdown; most of it lasts
longer than the timeout of its route."""

MISBEHAVED_SHARE = 0.5
"""Share of the requests or grant calls that a misbehaving server mishandles."""

MAX_SECOND_ANSWER_DELAY_S = 0.05
"""Longest delay between an answer and its duplicate."""


class BackendServerStandin(Listener):
    """One incarnation of a backend server, which reports what it does to the checker.

    :param record: what the checker knows about this incarnation
    :param divided_by_key: whether the server needs grants for the keys of its requests
    :ivar repeats_refusals: whether some refusals are written once more in front of the answer
        to the next request of their connection, with their request's id or without any
    :ivar is_leaving: whether its answers say that it is leaving
    :ivar pause_s: if above 0, a share of the requests is answered with 503 and this
        ``Retry-After``, in seconds
    """

    def __init__(
        self,
        record: ServerRecord,
        checker: PromiseChecker,
        bounds: Bounds,
        random_source: random.Random,
        *,
        divided_by_key: bool,
    ) -> None:
        super().__init__()
        self.record = record
        self.divided_by_key = divided_by_key
        self.hangs = False
        self.loses_answers = False
        self.answers_twice = False
        self.applies_grants_late = False
        self.repeats_refusals = False
        self.is_leaving = False
        self.pause_s = 0.0
        self.slowdown = 1.0
        self._checker = checker
        self._bounds = bounds
        self._random = random_source
        self._fenced_ranges: list[tuple[int, int, int]] = []
        self._slots = asyncio.Semaphore(SLOT_COUNT)
        self._accepted_count = 0
        self._handover_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._refusal_by_writer: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )

    def _encode_answer(self, status: int, body: bytes = b'', **headers: str) -> bytes:
        """Return the bytes of an answer, which says whether the server is leaving."""
        if self.is_leaving:
            headers['Server_Leaving'] = '1'
        return encode_answer(status, body, **headers)

    def _encode_refusal(self, status: int, request_id: str, **headers: str) -> bytes:
        """Return the bytes of an answer which says that the request has not run."""
        if request_id:
            headers['X_Request_Id'] = request_id
        return self._encode_answer(status, b'', **headers, X_Not_Executed='1')

    def _repeat_refusal(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Refuse a request, or write an earlier refusal of the connection once more.

        :return: whether the request is to be run
        """
        if (earlier := self._refusal_by_writer.pop(writer, None)) is not None:
            writer.write(earlier)
            return True
        if self._random.random() >= MISBEHAVED_SHARE:
            return True
        refusal = self._encode_refusal(503, request_id)
        writer.write(refusal)
        nameless = self._encode_refusal(503, '')
        self._refusal_by_writer[writer] = self._random.choice([refusal, nameless])
        return False

    def shut_down(self) -> None:
        """Stop listening, drop all grants and cancel all work."""
        self.record.is_up = False
        self.record.grants.clear()
        for task in self._tasks:
            task.cancel()
        self.stop()

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        target_name = request.headers.get('x-target-instance')
        if target_name is not None and target_name != self.record.name:
            request_id = request.headers.get('x-request-id', '')
            writer.write(self._encode_refusal(421, request_id))
            return True
        if self.hangs:
            await reader.read()
            return False
        if request.target in ('/-/grant', '/-/release'):
            return await self._serve_grant_or_release(request, writer)
        return await self._serve_request(request, reader, writer)

    async def _serve_grant_or_release(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve a grant call or release call; return whether the connection stays open."""
        if not self.divided_by_key:
            writer.write(self._encode_answer(400))
            return True
        call = json.loads(request.body)
        arrived_at = asyncio.get_running_loop().time()
        if request.target == '/-/release':
            await self._apply_release(call)
            self._handover_count += 1
            handover = f'handover-{self._handover_count}'
            writer.write(self._encode_answer(200, X_Handover=handover))
            return True
        if self.applies_grants_late and self._random.random() < MISBEHAVED_SHARE:
            task = asyncio.ensure_future(self._apply_grant_late(call, arrived_at))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(LATE_GRANT_DELAY_RANGE_S[1])
            return False
        writer.write(self._encode_answer(200 if self._apply_grant(call, arrived_at) else 409))
        return True

    async def _apply_grant_late(self, call: dict[str, Any], arrived_at: float) -> None:
        await asyncio.sleep(self._random.uniform(*LATE_GRANT_DELAY_RANGE_S))
        self._apply_grant(call, arrived_at)

    def _apply_grant(self, call: dict[str, Any], arrived_at: float) -> bool:
        """Apply a grant call; return false if a higher fencing token was seen for its keys."""
        first, last, fence = call['from'], call['target'], call['fence']
        if self._highest_fence(first, last) > fence:
            return False
        self._fenced_ranges.append((first, last, fence))
        expires_at = arrived_at + call['hold-ms'] / 1000 * self._bounds.grant_duration_factor
        if expires_at > asyncio.get_running_loop().time():
            self._checker.on_keys_granted(self.record, Grant(first, last, fence, expires_at))
        return True

    async def _apply_release(self, call: dict[str, Any]) -> None:
        """Drop the grants of the released keys and wait until no work on these keys runs."""
        first, last, fence = call['from'], call['target'], call['fence']
        self._fenced_ranges.append((first, last, fence))
        remaining: list[Grant] = []
        for grant in self.record.grants:
            if grant.last < first or grant.first > last:
                remaining.append(grant)
                continue
            if grant.first < first:
                remaining.append(grant._replace(last=first - 1))
            if grant.last > last:
                remaining.append(grant._replace(first=last + 1))
        self.record.grants[:] = remaining
        while any(first <= key <= last for key in self.record.running_keys):
            await asyncio.sleep(0.01)

    def _highest_fence(self, first: int, last: int) -> int:
        return max(
            (
                fence
                for low, high, fence in self._fenced_ranges
                if low <= last and first <= high
            ),
            default=0,
        )

    def _has_grant(self, key: int) -> bool:
        now = asyncio.get_running_loop().time()
        return any(
            grant.first <= key <= grant.last and grant.expires_at > now
            for grant in self.record.grants
        )

    async def _serve_request(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a caller's request; return whether the connection stays open."""
        request_id = request.headers.get('x-request-id', '')
        self._checker.on_request_arrived(self.record, request_id)
        key = int(request.headers['x-shard-key']) if self.divided_by_key else None
        if key is not None and not self._has_grant(key):
            writer.write(self._encode_refusal(421, request_id))
            return True
        self._checker.on_request_taken(self.record, request_id)
        if self.pause_s and self._random.random() < MISBEHAVED_SHARE:
            self._checker.on_server_answer(
                self.record, request_id, is_leaving=self.is_leaving, pause_s=self.pause_s
            )
            retry_after = f'{self.pause_s:.1f}'
            writer.write(self._encode_refusal(503, request_id, Retry_After=retry_after))
            return True
        if self._accepted_count >= SLOT_COUNT + MAX_QUEUED_COUNT:
            writer.write(self._encode_refusal(503, request_id))
            return True
        if self.repeats_refusals and not self._repeat_refusal(request_id, writer):
            return True
        self._accepted_count += 1
        execution = asyncio.ensure_future(self._execute(request, request_id, key))
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({execution, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if not execution.done():
                return False  # The sender closed the connection; the work is cancelled.
            if not execution.result():
                writer.write(self._encode_refusal(421, request_id))
                return True
            return self._write_answer(request, request_id, writer)
        finally:
            self._accepted_count -= 1
            for task in (execution, disconnect):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _execute(
        self, request: ReceivedRequest, request_id: str, key: int | None
    ) -> bool:
        """Do the work; return false if the grant for the key ended before it began."""
        async with self._slots:
            if key is not None and not self._has_grant(key):
                return False
            self._checker.on_execution_started(self.record, request_id, key)
            try:
                work_s = (
                    BASE_LONG_WORK_S
                    if request.target.startswith(LONG_WORK_PREFIX)
                    else BASE_WORK_S
                )
                spread = self._random.uniform(0.5, 2.0)
                await asyncio.sleep(work_s * spread * self.slowdown)
            finally:
                self._checker.on_execution_ended(self.record, request_id, key)
        return True

    def _write_answer(
        self, request: ReceivedRequest, request_id: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Write the answer or lose it; return whether the connection stays open."""
        if self.loses_answers and self._random.random() < MISBEHAVED_SHARE:
            writer.transport.abort()
            return False
        self._checker.on_server_answer(self.record, request_id, is_leaving=self.is_leaving)
        body = expected_body(request_id, request.method, request.target, request.body)
        load = (
            f'{SLOT_COUNT - self._free_slot_count()},'
            f'{max(0, self._accepted_count - SLOT_COUNT)},{SLOT_COUNT},100'
        )
        encoded = self._encode_answer(
            200,
            body,
            X_Request_Id=request_id,
            X_Upstream_Signature=f'signed-by-{self.record.name}',
            X_Upstream_Load=load,
        )
        writer.write(encoded)
        if self.answers_twice and self._random.random() < MISBEHAVED_SHARE:
            later_s = self._random.uniform(0.0, MAX_SECOND_ANSWER_DELAY_S)
            asyncio.get_running_loop().call_later(later_s, self._write_again, writer, encoded)
        return True

    @staticmethod
    def _write_again(writer: asyncio.StreamWriter, encoded: bytes) -> None:
        if not writer.is_closing():
            writer.write(encoded)

    def _free_slot_count(self) -> int:
        return max(0, SLOT_COUNT - self._accepted_count)
