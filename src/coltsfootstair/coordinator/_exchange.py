"""One request at its coordinator, from the entry daemon's message to the answer."""

from __future__ import annotations

import queue
from typing import TYPE_CHECKING

from coltsfootstair.backend import BackendRequest
from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.inner import (
    AnswerChunk,
    AnswerHead,
    BodyAborted,
    BodyChunk,
    Credit,
    Refused,
)
from coltsfootstair.operations import MAX_CACHED_ANSWER_BYTES, CachedAnswer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from coltsfootstair.backend import BackendAnswer
    from coltsfootstair.clock import Clock
    from coltsfootstair.inner import AnswerMessage, BodyMessage, RequestHead
    from coltsfootstair.results import Refusal

__all__ = [
    'CREDIT_WINDOW_BYTES',
    'BodyCutError',
    'Exchange',
    'ShedError',
]

CREDIT_WINDOW_BYTES = 512 * 1024
"""Bytes of one body or answer that may be on their way between two daemons."""

SHED_HEADER = 'coltsfootstair-shed'


class BodyCutError(ColtsfootstairError):
    """The caller's body ended early, or came too slowly."""


class ShedError(ColtsfootstairError):
    """The backend server refused the request without running it.

    :param reason: the server's word
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f'the backend server refused: {reason}')
        self.reason = reason


class Exchange:
    """Carries a request's body in and its answer out, in portions under credit.

    :param reply: passes a message to the entry daemon; from any thread
    """

    def __init__(
        self, head: RequestHead, reply: Callable[[AnswerMessage], object], clock: Clock
    ) -> None:
        self.head = head
        self.inbox: queue.SimpleQueue[BodyMessage] = queue.SimpleQueue()
        self.deadline = clock.monotonic() + head.timeout_ms / 1000
        self.answer_started = False
        self._reply = reply
        self._clock = clock
        self._credit = CREDIT_WINDOW_BYTES
        self._answer: BackendAnswer | None = None
        self._status = 0
        self._answer_headers: list[tuple[str, str]] = []
        self._answer_body: bytearray | None = bytearray() if head.operation_id else None
        self._complete = False

    @property
    def status(self) -> int:
        """The HTTP status of the answer; 0 before it has come."""
        return self._status

    def kept_answer(self) -> CachedAnswer | None:
        """Return the whole answer, if it is small enough to be kept for a resend."""
        if self._answer_body is None or not self._complete:
            return None
        return CachedAnswer(
            self._status, tuple(self._answer_headers), bytes(self._answer_body)
        )

    def replay(self, answer: CachedAnswer) -> None:
        """Answer with what the first attempt of the operation was answered."""
        headers = list(answer.headers)
        length = len(answer.body)
        self._reply(
            AnswerHead(self.head.request_id, answer.status, headers, answer.body, True, length)
        )

    def remaining_s(self) -> float:
        """Return the seconds left for the answer; never below zero."""
        return max(0.0, self.deadline - self._clock.monotonic())

    def limit(self, seconds: float) -> None:
        """Let the backend server work on it for so long at most."""
        self.deadline = min(self.deadline, self._clock.monotonic() + seconds)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal; it must be the last word on this request."""
        retry_after_s = refusal.retry_after_s
        self._reply(
            Refused(
                self.head.request_id,
                refusal.code,
                refusal.ran,
                refusal.detail,
                -1 if retry_after_s is None else int(retry_after_s * 1000),
            )
        )

    def request(self, headers: list[tuple[str, str]]) -> BackendRequest:
        """Return the request for the backend server with ``headers`` added."""
        return BackendRequest(
            self.head.method,
            self.head.path,
            [*self.head.headers, *headers],
            self._body(),
            len(self.head.body) if self.head.complete else self.head.body_length,
            max(self.remaining_s(), 0.001),
        )

    def start(self, answer: BackendAnswer) -> None:
        """Take the head of the answer.

        :raises ShedError: the server refused without running the request
        """
        for name, value in answer.headers:
            if name.lower() == SHED_HEADER:
                raise ShedError(value)
        self._answer = answer
        self._status = answer.status
        self._answer_headers = answer.headers

    def write(self, data: bytes, *, last: bool) -> None:
        """Pass a portion of the answer on, when the entry daemon has room for it."""
        self._keep(data, last=last)
        if self._answer is not None:
            self._send_head(self._answer, data, last=last)
            return
        self._await_credit()
        self._credit -= len(data)
        self._reply(AnswerChunk(self.head.request_id, data, last))

    def _keep(self, data: bytes, *, last: bool) -> None:
        self._complete = last
        if self._answer_body is None:
            return
        self._answer_body += data
        if len(self._answer_body) > MAX_CACHED_ANSWER_BYTES:
            self._answer_body = None

    def _send_head(self, answer: BackendAnswer, data: bytes, *, last: bool) -> None:
        self._answer = None
        self.answer_started = True
        self._credit -= len(data)
        self._reply(
            AnswerHead(
                self.head.request_id, answer.status, answer.headers, data, last, answer.length
            )
        )

    def _await_credit(self) -> None:
        while self._credit <= 0:
            message = self._next_message()
            if isinstance(message, Credit):
                self._credit += message.size
            elif isinstance(message, BodyAborted):
                raise BodyCutError('the caller has gone')

    def _body(self) -> Iterator[bytes]:
        yield self.head.body
        complete = self.head.complete
        if not complete:
            self._reply(Credit(self.head.request_id, CREDIT_WINDOW_BYTES))
        while not complete:
            message = self._next_message()
            match message:
                case BodyChunk(_, data, last):
                    self._reply(Credit(self.head.request_id, len(data)))
                    complete = last
                    yield data
                case BodyAborted():
                    raise BodyCutError('the caller cut its body off')
                case _:
                    continue

    def _next_message(self) -> BodyMessage:
        try:
            return self.inbox.get(timeout=max(self.remaining_s(), 0.001))
        except queue.Empty:
            raise BodyCutError('the body did not come in time') from None
