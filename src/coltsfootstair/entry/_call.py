"""One try of a caller's request with one coordinator."""

from __future__ import annotations

import queue
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.entry._body import BodyBrokenError, CallerBody
from coltsfootstair.entry._pending import LinkLost
from coltsfootstair.entry._types import AnswerCutError, RelayedAnswer
from coltsfootstair.inner import (
    AnswerChunk,
    AnswerHead,
    BodyAborted,
    BodyChunk,
    CancelRequest,
    Credit,
    RequestHead,
    RequestRefused,
)
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.entry._pending import Mailbox
    from coltsfootstair.entry._types import CallerRequest, RelayParts
    from coltsfootstair.inner import AnswerMessage
    from coltsfootstair.routing import Route

__all__ = ['INLINE_BODY_BYTES', 'CoordinatorCall', 'InlineBody', 'read_inline']

INLINE_BODY_BYTES = 64 * 1024
"""A body up to this size travels with the head of its request, and can be sent again."""

CHUNK_BYTES = 64 * 1024

RETRY_SOON_S = 0.2
"""When a caller may come back while a coordinator can't be reached, in seconds."""

ANSWER_GRACE_S = 0.25
"""How long after the deadline a coordinator's own last word is still waited for."""


class InlineBody(NamedTuple):
    """The first part of a body, kept so that it can be sent again.

    :param complete: whether it is all of the body
    """

    data: bytes
    complete: bool


def read_inline(body: CallerBody) -> InlineBody:
    """Read the first part of the body.

    :raises BodyBrokenError: it ended before its length
    """
    parts: list[bytes] = []
    room = INLINE_BODY_BYTES
    while room > 0 and not body.ended:
        part = body.read(room)
        parts.append(part)
        room -= len(part)
    return InlineBody(b''.join(parts), body.ended)


class CoordinatorCall:
    """One try of a request with one coordinator."""

    def __init__(
        self,
        parts: RelayParts,
        request: CallerRequest,
        operation_id: str,
        route: Route,
        body: InlineBody,
        deadline: float,
        attempt: int,
    ) -> None:
        self._parts = parts
        self._request = request
        self._operation_id = operation_id
        self.body_taken = False
        self._route = route
        self._body = body
        self._deadline = deadline
        # Each try has an id of its own, so that a late answer to an earlier one is not
        # taken for the answer to this one.
        self._id = request.request_id if attempt == 0 else f'{request.request_id}.{attempt}'
        self._mailbox: Mailbox = queue.SimpleQueue()
        self._credit = 0

    def run(self) -> RelayedAnswer | Refusal:
        """Send the request and wait for the head of an answer, or a refusal."""
        link = self._parts.link.connect(self._route.coordinator)
        if link is None:
            return _unreachable()
        self._link = link
        self._parts.pending.expect(self._id, self._mailbox, link.stream)
        self._parts.router.add_outstanding(self._route.backend_server)
        outcome: RelayedAnswer | Refusal | None = None
        try:
            outcome = self._send_and_wait()
            return outcome
        finally:
            if not isinstance(outcome, RelayedAnswer):
                self._end()

    def _send_and_wait(self) -> RelayedAnswer | Refusal:
        if not self._link.send(self._head()):
            return _unreachable()
        if not self._body.complete:
            refusal = self._send_rest()
            if refusal is not None:
                return refusal
        while True:
            message = self._next()
            match message:
                case AnswerHead():
                    return RelayedAnswer(message, self._portions(message))
                case RequestRefused():
                    return _refusal(message)
                case LinkLost():
                    return _lost()
                case None:
                    return self._give_up()
                case _:
                    continue

    def _give_up(self) -> Refusal:
        self._link.send(CancelRequest(self._id))
        return Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, 'no answer came in time')

    def _head(self) -> RequestHead:
        request = self._request
        left_s = max(0.0, self._deadline - self._parts.clock.monotonic())
        return RequestHead(
            self._id,
            self._operation_id,
            request.service,
            self._route.backend_server,
            request.key,
            self._route.row,
            self._route.row_epoch,
            request.caller,
            request.method,
            request.path,
            request.headers,
            int(left_s * 1000),
            self._body.data,
            self._body.complete,
            request.body.length,
        )

    def _send_rest(self) -> Refusal | None:
        """Send the body behind its first part as the coordinator gives credit."""
        body = self._request.body
        while True:
            refusal = self._await_credit()
            if refusal is not None:
                return refusal
            self.body_taken = True
            try:
                data = body.read(CHUNK_BYTES)
            except BodyBrokenError as error:
                self._link.send(BodyAborted(self._id))
                return Refusal(ResultCode.BODY_TRUNCATED, Ran.UNKNOWN, str(error))
            self._credit -= len(data)
            if not self._link.send(BodyChunk(self._id, data, body.ended)):
                return _lost()
            if body.ended:
                return None

    def _await_credit(self) -> Refusal | None:
        """Wait until a chunk may be sent; a refusal that comes instead is returned."""
        while True:
            try:
                message = self._mailbox.get(block=False)
            except queue.Empty:
                if self._credit > 0:
                    return None
                waited = self._next()
                if waited is None:
                    return self._give_up()
                message = waited
            match message:
                case Credit(_, size):
                    self._credit += size
                case RequestRefused():
                    return _refusal(message)
                case AnswerHead():
                    # An answer before the end of the body; it is taken up afterwards.
                    self._mailbox.put(message)
                    return None
                case LinkLost():
                    return _lost()
                case _:
                    continue

    def _portions(self, head: AnswerHead) -> Iterator[bytes]:
        try:
            yield head.body
            complete = head.complete
            while not complete:
                message = self._next()
                if not isinstance(message, AnswerChunk):
                    if isinstance(message, Credit):
                        continue
                    raise AnswerCutError('the rest of the answer is lost')
                self._link.send(Credit(self._id, len(message.data)))
                complete = message.last
                yield message.data
        finally:
            self._end()

    def _next(self) -> AnswerMessage | LinkLost | None:
        """Return the next message, or ``None`` when the time for it is over."""
        left_s = self._deadline + ANSWER_GRACE_S - self._parts.clock.monotonic()
        try:
            return self._mailbox.get(timeout=max(left_s, 0.001))
        except queue.Empty:
            return None

    def _end(self) -> None:
        self._parts.pending.forget(self._id)
        self._parts.router.remove_outstanding(self._route.backend_server)


def _unreachable() -> Refusal:
    return Refusal(
        ResultCode.COORDINATOR_UNREACHABLE,
        Ran.NO,
        'nothing was sent to it',
        RETRY_SOON_S,
    )


def _lost() -> Refusal:
    text = 'the way to the coordinator broke'
    return Refusal(ResultCode.COORDINATOR_UNREACHABLE, Ran.UNKNOWN, text)


def _refusal(message: RequestRefused) -> Refusal:
    retry_after_s = None if message.retry_after_ms < 0 else message.retry_after_ms / 1000
    return Refusal(message.code, message.ran, message.detail, retry_after_s)
