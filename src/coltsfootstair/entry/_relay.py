"""Carries one request from its caller to the coordinator, and the answer back."""

from __future__ import annotations

import queue
import random
import threading
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.clock import Clock
from coltsfootstair.document import ServiceKind
from coltsfootstair.entry._body import BodyBrokenError, CallerBody
from coltsfootstair.entry._pending import LinkLost, PendingAnswers
from coltsfootstair.inner import (
    AnswerChunk,
    AnswerHead,
    BodyAborted,
    BodyChunk,
    CancelRequest,
    Credit,
    Refused,
    RequestHead,
)
from coltsfootstair.operations import own_id
from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.retries import (
    Attempt,
    Repeat,
    RetryBudget,
    UploadBudget,
    may_repeat,
    pause_s,
    without_memory,
)
from coltsfootstair.routing import Router

if TYPE_CHECKING:
    from coltsfootstair.document import Service
    from coltsfootstair.entry._pending import Mailbox
    from coltsfootstair.inner import AnswerMessage, Message, Stream
    from coltsfootstair.routing import Route

__all__ = ['CallerRequest', 'CoordinatorLink', 'Relay', 'RelayParts', 'RelayedAnswer']

INLINE_BODY_BYTES = 64 * 1024
"""A body up to this size travels with the head of its request, and can be sent again."""

CHUNK_BYTES = 64 * 1024
STREAMED_BODY_BYTES = 1024 * 1024
"""Set aside for a body that is passed on in portions: both ends' credit windows."""

RETRY_SOON_S = 0.2
"""When a caller may come back while a coordinator can't be reached, in seconds."""

ANSWER_GRACE_S = 0.25
"""How long after the deadline a coordinator's own last word is still waited for."""

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


class CallerRequest(NamedTuple):
    """A caller's request as it came in.

    :param timeout_s: how long the caller waits for its answer
    """

    request_id: str
    operation_id: str
    service: str
    key: str
    caller: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    timeout_s: float
    body: CallerBody


class RelayedAnswer(NamedTuple):
    """A backend server's answer on its way to the caller.

    :param portions: the body; raises ``AnswerCutError`` if the rest can't be had
    """

    head: AnswerHead
    portions: Iterator[bytes]


class AnswerCutError(Exception):
    """The rest of an answer that has begun is lost; the caller must see it as cut."""


class CoordinatorLink(Protocol):
    """Opens the way to a coordinator, which may be this daemon itself."""

    def connect(self, coordinator: str) -> LinkEnd | None:
        """Return the way to ``coordinator``, or ``None`` if it can't be reached."""


class LinkEnd(Protocol):
    """The sending end of the way to one coordinator."""

    @property
    def stream(self) -> Stream | None:
        """The inner stream that answers come in on; ``None`` within this daemon."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the way is closed and nothing was sent."""


class RelayParts(NamedTuple):
    """The parts of the daemon that a relayed request needs."""

    clock: Clock
    router: Router
    link: CoordinatorLink
    pending: PendingAnswers
    random: random.Random


class Relay:
    """Routes, sends, waits and tries again, for each request on its caller's thread."""

    def __init__(self, parts: RelayParts, uploads: UploadBudget) -> None:
        self._parts = parts
        self._uploads = uploads
        self._budget = RetryBudget()
        self._lock = threading.Lock()

    def serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        """Return the whole way's outcome: an answer that streams, or a refusal."""
        with self._lock:
            self._budget.requested()
            refusal = self._reserve(request)
        if refusal is not None:
            return self._as_told(request, refusal)
        try:
            return self._serve(request)
        finally:
            with self._lock:
                self._uploads.release(request.request_id)

    def _reserve(self, request: CallerRequest) -> Refusal | None:
        if 0 <= request.body.length <= INLINE_BODY_BYTES:
            return None
        return self._uploads.reserve(request.request_id, STREAMED_BODY_BYTES)

    def _serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        deadline = self._parts.clock.monotonic() + request.timeout_s
        try:
            body = _read_inline(request.body)
        except BodyBrokenError as error:
            return Refusal(ResultCode.BODY_CUT, Ran.NO, str(error))
        operation_id = self._operation_id(request)
        attempts = 0
        in_doubt = False
        while True:
            outcome, body_taken = self._attempt(
                request, operation_id, body, deadline, attempts
            )
            attempts += 1
            if not isinstance(outcome, Refusal):
                return outcome
            in_doubt = in_doubt or outcome.ran is Ran.UNKNOWN
            known = self._known(request, operation_id, body_kept=not body_taken)
            pause = pause_s(attempts, self._parts.random.random())
            in_time = self._parts.clock.monotonic() + pause < deadline
            if not in_time or not self._may_repeat(known, outcome):
                return self._as_told(request, outcome, in_doubt=in_doubt)
            self._pause(pause)

    def _attempt(
        self,
        request: CallerRequest,
        operation_id: str,
        body: _InlineBody,
        deadline: float,
        attempts: int,
    ) -> tuple[RelayedAnswer | Refusal, bool]:
        route = self._parts.router.route(request.service, request.key, operation_id)
        if isinstance(route, Refusal):
            return route, False
        job = _Job(self._parts, request, operation_id, route, body, deadline, attempts)
        return job.run(), job.body_taken

    def _operation_id(self, request: CallerRequest) -> str:
        """Return the caller's operation id, or one by which a lost answer can be found."""
        service = self._service(request.service)
        if request.operation_id or service is None or service.kind is not ServiceKind.BOOKING:
            return request.operation_id
        if request.method in SAFE_METHODS:
            return ''
        return own_id(self._parts.clock.now().timestamp(), self._parts.random.getrandbits(74))

    def _service(self, name: str) -> Service | None:
        services = self._parts.router.document.services
        return next((item for item in services if item.name == name), None)

    def _known(self, request: CallerRequest, operation_id: str, *, body_kept: bool) -> Attempt:
        service = self._service(request.service)
        idempotent = service is not None and service.kind is ServiceKind.LOOKUP
        divided = service is not None and service.divided_by_key
        remembered = bool(operation_id) and not idempotent
        elsewhere = not divided and not operation_id
        return Attempt(idempotent, remembered, body_kept, elsewhere)

    def _may_repeat(self, known: Attempt, refusal: Refusal) -> bool:
        repeat = may_repeat(known, refusal)
        if repeat is Repeat.SPEND_BUDGET:
            with self._lock:
                return self._budget.take()
        return repeat is Repeat.ROUTE_AGAIN

    @staticmethod
    def _as_told(
        request: CallerRequest, refusal: Refusal, *, in_doubt: bool = False
    ) -> Refusal:
        """Return the refusal as it is true of all attempts together."""
        if in_doubt and refusal.ran is Ran.NO:
            refusal = refusal._replace(ran=Ran.UNKNOWN)
        if refusal.ran is Ran.UNKNOWN and refusal.code is ResultCode.COORDINATOR_UNREACHABLE:
            refusal = refusal._replace(code=ResultCode.OUTCOME_UNKNOWN)
        return without_memory(refusal, has_operation_id=bool(request.operation_id))

    def _pause(self, seconds: float) -> None:
        threading.Event().wait(seconds)


class _InlineBody(NamedTuple):
    data: bytes
    complete: bool


def _read_inline(body: CallerBody) -> _InlineBody:
    """Read the first part of the body.

    :raises BodyBrokenError: it ended before its length
    """
    parts: list[bytes] = []
    room = INLINE_BODY_BYTES
    while room > 0 and not body.ended:
        part = body.read(room)
        parts.append(part)
        room -= len(part)
    return _InlineBody(b''.join(parts), body.ended)


class _Job:
    """One try of a request with one coordinator."""

    def __init__(
        self,
        parts: RelayParts,
        request: CallerRequest,
        operation_id: str,
        route: Route,
        body: _InlineBody,
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
        self._parts.router.sent(self._route.backend_server)
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
                case Refused():
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
            self._route.slot,
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
                return Refusal(ResultCode.BODY_CUT, Ran.UNKNOWN, str(error))
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
                case Refused():
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
        self._parts.router.done(self._route.backend_server)


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


def _refusal(message: Refused) -> Refusal:
    retry_after_s = None if message.retry_after_ms < 0 else message.retry_after_ms / 1000
    return Refusal(message.code, message.ran, message.detail, retry_after_s)
