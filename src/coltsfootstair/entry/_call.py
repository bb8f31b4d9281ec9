"""Sends a caller's request to one coordinator and reads its answer."""

from __future__ import annotations

import queue
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.entry._body import BodyReadError, CallerBody
from coltsfootstair.entry._pending import LinkLost
from coltsfootstair.entry._types import AnswerTruncatedError, RelayedAnswer
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
    from coltsfootstair.entry._types import CallerRequest, RelayDependencies
    from coltsfootstair.inner import AnswerMessage
    from coltsfootstair.routing import Route

__all__ = ['INLINE_BODY_BYTES', 'CoordinatorCall', 'InlineBody', 'read_inline']

INLINE_BODY_BYTES = 64 * 1024
"""Bodies up to this size are sent with the head of the request, and can be sent again."""

BODY_CHUNK_BYTES = 64 * 1024

UNREACHABLE_RETRY_AFTER_S = 0.2
"""Delay after which a caller may retry while a coordinator is unreachable, in seconds."""

ANSWER_GRACE_S = 0.25
"""How long after its deadline a request still waits for the coordinator, in seconds."""


class InlineBody(NamedTuple):
    """The start of a body, kept so that it can be sent again.

    :param complete: whether ``data`` is the whole body
    """

    data: bytes
    complete: bool


def read_inline(body: CallerBody) -> InlineBody:
    """Read the start of the body, up to ``INLINE_BODY_BYTES``.

    :raises BodyReadError: the body cannot be read
    """
    parts: list[bytes] = []
    remaining_bytes = INLINE_BODY_BYTES
    while remaining_bytes > 0 and not body.is_fully_read:
        part = body.read(remaining_bytes)
        parts.append(part)
        remaining_bytes -= len(part)
    return InlineBody(b''.join(parts), body.is_fully_read)


class CoordinatorCall:
    """One attempt to have a request answered by one coordinator.

    :param deadline: monotonic time at which the request times out, in seconds
    :param attempt: number of the attempt, counted from 0
    """

    def __init__(
        self,
        dependencies: RelayDependencies,
        request: CallerRequest,
        operation_id: str,
        route: Route,
        body: InlineBody,
        deadline: float,
        attempt: int,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._operation_id = operation_id
        # Set when the body is read past its inline start; it cannot be sent again after that.
        self.is_body_consumed = False
        self._route = route
        self._body = body
        self._deadline = deadline
        # Each attempt has its own id, so that a late answer to an earlier attempt is not
        # mistaken for the answer to this one.
        self._attempt_id = (
            request.request_id if attempt == 0 else f'{request.request_id}.{attempt}'
        )
        self._mailbox: Mailbox = queue.SimpleQueue()
        self._credit_bytes = 0

    def run(self) -> RelayedAnswer | Refusal:
        """Send the request and wait for the head of an answer, or for a refusal."""
        link = self._dependencies.connector.connect(self._route.coordinator)
        if link is None:
            return _build_unreachable_refusal()
        self._link = link
        self._dependencies.pending.register(self._attempt_id, self._mailbox, link.stream)
        self._dependencies.router.add_outstanding(self._route.backend_server)
        outcome: RelayedAnswer | Refusal | None = None
        try:
            outcome = self._send_and_wait()
            return outcome
        finally:
            if not isinstance(outcome, RelayedAnswer):
                self._clean_up()

    def _send_and_wait(self) -> RelayedAnswer | Refusal:
        if not self._link.send(self._build_head()):
            return _build_unreachable_refusal()
        if not self._body.complete:
            refusal = self._stream_body()
            if refusal is not None:
                return refusal
        while True:
            message = self._receive()
            match message:
                case AnswerHead():
                    return RelayedAnswer(message, self._read_chunks(message))
                case RequestRefused():
                    return _convert_refusal(message)
                case LinkLost():
                    return _build_link_lost_refusal()
                case None:
                    return self._time_out()
                case _:
                    continue

    def _time_out(self) -> Refusal:
        self._link.send(CancelRequest(self._attempt_id))
        return Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, 'no answer came in time')

    def _build_head(self) -> RequestHead:
        request = self._request
        remaining_s = max(0.0, self._deadline - self._dependencies.clock.monotonic())
        return RequestHead(
            self._attempt_id,
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
            int(remaining_s * 1000),
            self._body.data,
            self._body.complete,
            request.body.length,
        )

    def _stream_body(self) -> Refusal | None:
        """Send the rest of the body as the coordinator gives credit."""
        body = self._request.body
        while True:
            refusal = self._await_credit()
            if refusal is not None:
                return refusal
            self.is_body_consumed = True
            try:
                data = body.read(BODY_CHUNK_BYTES)
            except BodyReadError as error:
                self._link.send(BodyAborted(self._attempt_id))
                return Refusal(ResultCode.BODY_TRUNCATED, Ran.UNKNOWN, str(error))
            self._credit_bytes -= len(data)
            if not self._link.send(BodyChunk(self._attempt_id, data, body.is_fully_read)):
                return _build_link_lost_refusal()
            if body.is_fully_read:
                return None

    def _await_credit(self) -> Refusal | None:
        """Wait until a chunk may be sent; return a refusal if it comes first or on timeout."""
        while True:
            try:
                message = self._mailbox.get(block=False)
            except queue.Empty:
                if self._credit_bytes > 0:
                    return None
                received = self._receive()
                if received is None:
                    return self._time_out()
                message = received
            match message:
                case Credit(_, size):
                    self._credit_bytes += size
                case RequestRefused():
                    return _convert_refusal(message)
                case AnswerHead():
                    # The answer began before the end of the body. It is put back, to be
                    # read after the rest of the body has been sent.
                    self._mailbox.put(message)
                    return None
                case LinkLost():
                    return _build_link_lost_refusal()
                case _:
                    continue

    def _read_chunks(self, head: AnswerHead) -> Iterator[bytes]:
        try:
            yield head.body
            complete = head.complete
            while not complete:
                message = self._receive()
                if not isinstance(message, AnswerChunk):
                    if isinstance(message, Credit):
                        continue
                    raise AnswerTruncatedError('the rest of the answer did not arrive')
                self._link.send(Credit(self._attempt_id, len(message.data)))
                complete = message.last
                yield message.data
        finally:
            self._clean_up()

    def _receive(self) -> AnswerMessage | LinkLost | None:
        """Return the next message, or ``None`` if none arrives in time."""
        remaining_s = self._deadline + ANSWER_GRACE_S - self._dependencies.clock.monotonic()
        try:
            return self._mailbox.get(timeout=max(remaining_s, 0.001))
        except queue.Empty:
            return None

    def _clean_up(self) -> None:
        self._dependencies.pending.unregister(self._attempt_id)
        self._dependencies.router.remove_outstanding(self._route.backend_server)


def _build_unreachable_refusal() -> Refusal:
    return Refusal(
        ResultCode.COORDINATOR_UNREACHABLE,
        Ran.NO,
        'nothing was sent to it',
        UNREACHABLE_RETRY_AFTER_S,
    )


def _build_link_lost_refusal() -> Refusal:
    text = 'the way to the coordinator broke'
    return Refusal(ResultCode.COORDINATOR_UNREACHABLE, Ran.UNKNOWN, text)


def _convert_refusal(message: RequestRefused) -> Refusal:
    retry_after_s = None if message.retry_after_ms < 0 else message.retry_after_ms / 1000
    return Refusal(message.code, message.ran, message.detail, retry_after_s)
