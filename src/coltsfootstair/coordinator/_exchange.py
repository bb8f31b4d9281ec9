"""One request at its coordinator, from the message of the entry daemon to the answer."""

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
    RequestRefused,
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
    'BodyAbortedError',
    'Exchange',
    'ShedError',
]

CREDIT_WINDOW_BYTES = 512 * 1024
"""Upper bound of the bytes of one body or answer that are in flight between two daemons."""

SHED_HEADER = 'coltsfootstair-shed'
"""Header of an answer by which a backend server refuses a request that it did not run."""


class BodyAbortedError(ColtsfootstairError):
    """The caller left, its body ended early, or the entry daemon sent nothing in time.

    The coordinator waits for parts of the body and for credit for the answer.
    """


class ShedError(ColtsfootstairError):
    """The backend server refused the request without running it.

    :param reason: the value of the header ``Coltsfootstair-Shed``
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f'the backend server refused: {reason}')
        self.reason = reason


class Exchange:
    """Carries a request's body to the backend server, and the answer to the entry daemon.

    Either sender stops when ``CREDIT_WINDOW_BYTES`` are unacknowledged, and continues when
    the receiver has sent credit for further bytes.

    :param head: the first message of the request
    :param reply: sends a message to the entry daemon; may be called from any thread
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
        self._unsent_head: BackendAnswer | None = None
        self._status = 0
        self._answer_headers: list[tuple[str, str]] = []
        self._cached_body: bytearray | None = bytearray() if head.operation_id else None
        self._is_complete = False

    @property
    def status(self) -> int:
        """The HTTP status of the answer; 0 before it has arrived."""
        return self._status

    def cached_answer(self) -> CachedAnswer | None:
        """Return the answer for retries; ``None`` if it is incomplete or too large."""
        if self._cached_body is None or not self._is_complete:
            return None
        return CachedAnswer(
            self._status, tuple(self._answer_headers), bytes(self._cached_body)
        )

    def replay(self, answer: CachedAnswer) -> None:
        """Answer a retry with the answer that the operation's first request got."""
        headers = list(answer.headers)
        length = len(answer.body)
        self._reply(
            AnswerHead(self.head.request_id, answer.status, headers, answer.body, True, length)
        )

    def remaining_s(self) -> float:
        """Return the seconds until the deadline; never below zero."""
        return max(0.0, self.deadline - self._clock.monotonic())

    def limit_duration(self, seconds: float) -> None:
        """Set the deadline to ``seconds`` from now, unless it is earlier already.

        Called just before a request is sent, for services that are divided by key.
        """
        self.deadline = min(self.deadline, self._clock.monotonic() + seconds)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal; no other message may follow for this request."""
        retry_after_s = refusal.retry_after_s
        self._reply(
            RequestRefused(
                self.head.request_id,
                refusal.code,
                refusal.ran,
                refusal.detail,
                -1 if retry_after_s is None else int(retry_after_s * 1000),
            )
        )

    def build_request(self, headers: list[tuple[str, str]]) -> BackendRequest:
        """Return the request to send to the backend server, with ``headers`` added."""
        return BackendRequest(
            self.head.method,
            self.head.path,
            [*self.head.headers, *headers],
            self._iter_body(),
            len(self.head.body) if self.head.complete else self.head.body_length,
            max(self.remaining_s(), 0.001),  # at least 1 ms, also after the deadline
        )

    def start(self, answer: BackendAnswer) -> None:
        """Store the head of the answer, to be sent with the first bytes of the body.

        :raises ShedError: the backend server refused the request without running it
        """
        for name, value in answer.headers:
            if name.lower() == SHED_HEADER:
                raise ShedError(value)
        self._unsent_head = answer
        self._status = answer.status
        self._answer_headers = answer.headers

    def write(self, data: bytes, *, last: bool) -> None:
        """Send a part of the answer to the entry daemon; block until it has given credit."""
        self._cache_answer(data, last=last)
        if self._unsent_head is not None:
            self._send_head(self._unsent_head, data, last=last)
            return
        self._await_credit()
        self._credit -= len(data)
        self._reply(AnswerChunk(self.head.request_id, data, last))

    def _cache_answer(self, data: bytes, *, last: bool) -> None:
        self._is_complete = last
        if self._cached_body is None:
            return
        self._cached_body += data
        if len(self._cached_body) > MAX_CACHED_ANSWER_BYTES:
            self._cached_body = None

    def _send_head(self, answer: BackendAnswer, data: bytes, *, last: bool) -> None:
        self._unsent_head = None
        self.answer_started = True
        self._credit -= len(data)
        self._reply(
            AnswerHead(
                self.head.request_id, answer.status, answer.headers, data, last, answer.length
            )
        )

    def _await_credit(self) -> None:
        while self._credit <= 0:
            message = self._wait_for_message()
            if isinstance(message, Credit):
                self._credit += message.size
            elif isinstance(message, BodyAborted):
                raise BodyAbortedError('the caller has gone')

    def _iter_body(self) -> Iterator[bytes]:
        """Yield the parts of the body as they arrive.

        The first part is in the head. If more are to come, credit for the first window is sent
        when the second part is requested; credit for each later part is sent on its receipt.

        :raises BodyAbortedError: the body was cut off, or a part did not come in time
        """
        yield self.head.body
        complete = self.head.complete
        if not complete:
            self._reply(Credit(self.head.request_id, CREDIT_WINDOW_BYTES))
        while not complete:
            message = self._wait_for_message()
            match message:
                case BodyChunk(_, data, last):
                    self._reply(Credit(self.head.request_id, len(data)))
                    complete = last
                    yield data
                case BodyAborted():
                    raise BodyAbortedError('the caller cut its body off')
                case _:
                    continue

    def _wait_for_message(self) -> BodyMessage:
        """Return the next message, which may be ``BodyAborted``.

        :raises BodyAbortedError: no message came before the deadline
        """
        try:
            # Waits for at least 1 ms, also after the deadline.
            return self.inbox.get(timeout=max(self.remaining_s(), 0.001))
        except queue.Empty:
            raise BodyAbortedError('the body did not come in time') from None
