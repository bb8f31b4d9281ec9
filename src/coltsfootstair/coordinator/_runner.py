"""Sends dispatched requests to backend servers, on the threads of an executor."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.admission import Outcome
from coltsfootstair.coordinator._exchange import BodyAbortedError, Exchange, ShedError
from coltsfootstair.coordinator._messages import ExchangeEnded, ExchangeInterrupted
from coltsfootstair.errors import CallFailedError
from coltsfootstair.operations import is_generated_id
from coltsfootstair.ownership import MAX_REQUEST_TIMEOUT_S
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator._messages import CoordinatorEvent
    from coltsfootstair.coordinator._server import CoordinatedServer

__all__ = ['ExchangeRunner', 'build_retryable_refusal']

logger = structlog.get_logger()

RETRY_AFTER_S = 0.2
"""Retry-After of refusals whose reason is temporary, in seconds.

For example, the coordinator of the server has changed.
"""

CANCEL_TIMEOUT_S = 0.5
"""Time limit of one cancel call to a backend server, in seconds."""

CANCEL_PAUSE_S = 0.25
"""Pause between two cancel calls for one request, in seconds."""

CANCEL_RETRY_DURATION_S = 60.0
"""How long cancel calls for an interrupted exchange are retried, in seconds."""

FIRST_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the backend server."""

NOT_GRANTED = 'not-granted'
"""Reason by which a backend server refuses a key that is not granted to it."""


class _ExchangeEnd(NamedTuple):
    """How an exchange ended.

    :param refusal: sent to the caller in place of an answer, or in place of its rest
    :param may_still_run: whether the server may still run the request
    """

    outcome: Outcome
    refusal: Refusal | None = None
    may_still_run: bool = False


class ExchangeRunner:
    """Sends requests to backend servers and posts to the coordinator how each ended.

    :param post: posts an event to the coordinator task
    :param is_document_fresh: whether the document in force may still be relied on
    """

    def __init__(
        self,
        clock: Clock,
        executor: Executor,
        post: Callable[[CoordinatorEvent], None],
        is_document_fresh: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._post = post
        self._is_document_fresh = is_document_fresh
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop retrying the cancel calls for interrupted exchanges."""
        self._stopping.set()

    def run(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        """Send a request that has been assigned a slot; does not block."""
        self._executor.submit(self._run, coordinated, exchange)

    def _run(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        started_at = self._clock.monotonic()
        try:
            end = self._run_exchange(coordinated, exchange)
        except Exception:
            logger.exception('exchange failed', request_id=exchange.head.request_id)
            end = _ExchangeEnd(
                Outcome.FAILED, _build_unknown_refusal('the daemon failed'), may_still_run=True
            )
        duration_s = self._clock.monotonic() - started_at
        if end.refusal is not None:
            exchange.refuse(end.refusal)
        if end.may_still_run:
            self._cancel_until_ended(coordinated, exchange)
        name = coordinated.server.name
        request_id = exchange.head.request_id
        self._post(ExchangeEnded(name, request_id, end.outcome, duration_s, end.refusal))

    def _run_exchange(
        self, coordinated: CoordinatedServer, exchange: Exchange
    ) -> _ExchangeEnd:
        now = self._clock.monotonic()
        is_divided_by_key = coordinated.service.divided_by_key
        token = coordinated.find_token(exchange.head, now) if is_divided_by_key else None
        refusal = self._find_refusal(coordinated, token, now)
        if refusal is not None:
            return _ExchangeEnd(Outcome.NOT_SENT, refusal)
        if is_divided_by_key:
            exchange.limit_duration(MAX_REQUEST_TIMEOUT_S)
        request = exchange.build_request(_build_control_headers(coordinated, exchange, token))
        try:
            coordinated.client.exchange(request, exchange)
        except ShedError as error:
            return _build_shed_end(error)
        except BodyAbortedError as error:
            refusal = Refusal(ResultCode.BODY_TRUNCATED, Ran.UNKNOWN, str(error))
            return _ExchangeEnd(Outcome.FAILED, refusal, may_still_run=True)
        except CallFailedError as error:
            return _build_failed_end(exchange, error)
        has_failed = exchange.status >= FIRST_ERROR_STATUS
        return _ExchangeEnd(Outcome.FAILED if has_failed else Outcome.ANSWERED)

    def _find_refusal(
        self, coordinated: CoordinatedServer, token: int | None, now: float
    ) -> Refusal | None:
        """Return why a request that has a slot must not be sent; ``None`` if it may."""
        if coordinated.service.divided_by_key and token is None:
            return build_retryable_refusal(ResultCode.KEY_MOVING, 'the grant has lapsed')
        if now >= coordinated.granted_rows.valid_until:
            return build_retryable_refusal(ResultCode.NOT_COORDINATOR, 'the lease has lapsed')
        if not self._is_document_fresh():
            return build_retryable_refusal(
                ResultCode.DOCUMENT_STALE, 'the document may be old'
            )
        return None

    def _cancel_until_ended(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        """Keep the slot occupied until the server confirms that the request no longer runs."""
        name = coordinated.server.name
        request_id = exchange.head.request_id
        started_at = self._clock.monotonic()
        while self._clock.monotonic() - started_at < CANCEL_RETRY_DURATION_S:
            if self._cancel_at_server(coordinated, request_id):
                return
            # The slot stays occupied for two further rounds unless the next one prolongs it.
            until = self._clock.monotonic() + 2 * (CANCEL_TIMEOUT_S + CANCEL_PAUSE_S)
            self._post(ExchangeInterrupted(name, request_id, until))
            if self._stopping.wait(CANCEL_PAUSE_S):
                return

    def _cancel_at_server(self, coordinated: CoordinatedServer, request_id: str) -> bool:
        try:
            return coordinated.client.cancel(request_id, CANCEL_TIMEOUT_S)
        except CallFailedError as error:
            # A server that refuses connections has stopped, and runs no request.
            return not error.dispatched


def _build_shed_end(error: ShedError) -> _ExchangeEnd:
    if error.reason != NOT_GRANTED:
        return _ExchangeEnd(Outcome.SHED)
    refusal = build_retryable_refusal(
        ResultCode.KEY_MOVING, 'the key is not granted to the server'
    )
    return _ExchangeEnd(Outcome.NOT_SENT, refusal)


def _build_failed_end(exchange: Exchange, error: CallFailedError) -> _ExchangeEnd:
    if not error.dispatched:
        refusal = build_retryable_refusal(
            ResultCode.NO_OWNER, 'the backend server can not be reached'
        )
        return _ExchangeEnd(Outcome.NOT_SENT, refusal)
    if exchange.answer_started:
        refusal = Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, str(error))
    else:
        refusal = _build_unknown_refusal(str(error))
    return _ExchangeEnd(Outcome.FAILED, refusal, may_still_run=True)


def build_retryable_refusal(code: ResultCode, detail: str) -> Refusal:
    """Return a refusal of a request that has not run and may be retried soon."""
    return Refusal(code, Ran.NO, detail, RETRY_AFTER_S)


def _build_unknown_refusal(detail: str) -> Refusal:
    return Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)


def _build_control_headers(
    coordinated: CoordinatedServer, exchange: Exchange, token: int | None
) -> list[tuple[str, str]]:
    head = exchange.head
    headers = [
        ('Coltsfootstair-Request-Id', head.request_id),
        ('Coltsfootstair-Service', coordinated.service.name),
        ('Coltsfootstair-Kind', coordinated.service.kind.value),
        ('Coltsfootstair-Deadline-Ms', str(int(exchange.remaining_s() * 1000))),
    ]
    if head.key:
        headers.append(('Coltsfootstair-Key', head.key))
    if head.operation_id and not is_generated_id(head.operation_id):
        headers.append(('Idempotency-Key', head.operation_id))
    if token is not None:
        headers.append(('Coltsfootstair-Slot', str(head.row)))
        headers.append(('Coltsfootstair-Token', str(token)))
    return headers
