"""Runs dispatched requests on the executor's threads."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.admission import Outcome
from coltsfootstair.coordinator._exchange import BodyCutError, Exchange, ShedError
from coltsfootstair.coordinator._messages import ExchangeEnded, ExchangeLost
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

__all__ = ['ExchangeRunner', 'not_run']

logger = structlog.get_logger()

RETRY_SOON_S = 0.2
"""When a caller may come back after a change of coordinator, in seconds."""

CANCEL_TIMEOUT_S = 0.5
CANCEL_PAUSE_S = 0.25
GIVE_UP_AFTER_S = 60.0
"""How long a server is asked whether it still runs a request that broke off."""

FIRST_ERROR_STATUS = 500
NOT_GRANTED = 'not-granted'


class _End(NamedTuple):
    """How an exchange ended, and what its caller got in place of an answer.

    :param lost: whether the server may still work on the request
    """

    outcome: Outcome
    refusal: Refusal | None = None
    lost: bool = False


class ExchangeRunner:
    """Sends requests to backend servers and tells the coordinator how each ended."""

    def __init__(
        self,
        clock: Clock,
        executor: Executor,
        tell: Callable[[CoordinatorEvent], None],
        is_fresh: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._tell = tell
        self._is_fresh = is_fresh
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop asking servers about requests that broke off."""
        self._stopping.set()

    def run(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        """Send a request that has been given a slot."""
        self._executor.submit(self._run, coordinated, exchange)

    def _run(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        started = self._clock.monotonic()
        try:
            end = self._exchange(coordinated, exchange)
        except Exception:
            logger.exception('exchange failed', request_id=exchange.head.request_id)
            end = _End(Outcome.FAILED, _unknown('the daemon failed'), lost=True)
        seconds = self._clock.monotonic() - started
        if end.refusal is not None:
            exchange.refuse(end.refusal)
        if end.lost:
            self._settle(coordinated, exchange)
        name = coordinated.server.name
        request_id = exchange.head.request_id
        self._tell(ExchangeEnded(name, request_id, end.outcome, seconds, end.refusal))

    def _exchange(self, coordinated: CoordinatedServer, exchange: Exchange) -> _End:
        now = self._clock.monotonic()
        divided = coordinated.service.divided_by_key
        token = coordinated.token(exchange.head, now) if divided else None
        refusal = self._put_off(coordinated, token, now)
        if refusal is not None:
            return _End(Outcome.NOT_SENT, refusal)
        if divided:
            exchange.limit(MAX_REQUEST_TIMEOUT_S)
        request = exchange.request(_control_headers(coordinated, exchange, token))
        try:
            coordinated.port.exchange(request, exchange)
        except ShedError as error:
            return _shed(error)
        except BodyCutError as error:
            refusal = Refusal(ResultCode.BODY_TRUNCATED, Ran.UNKNOWN, str(error))
            return _End(Outcome.FAILED, refusal, lost=True)
        except CallFailedError as error:
            return _failed(exchange, error)
        failed = exchange.status >= FIRST_ERROR_STATUS
        return _End(Outcome.FAILED if failed else Outcome.ANSWERED)

    def _put_off(
        self, coordinated: CoordinatedServer, token: int | None, now: float
    ) -> Refusal | None:
        """Return why a request that has a slot must not be sent after all."""
        if coordinated.service.divided_by_key and token is None:
            return not_run(ResultCode.KEY_MOVING, 'the grant has lapsed')
        if now >= coordinated.granted.valid_until:
            return not_run(ResultCode.NOT_COORDINATOR, 'the lease has lapsed')
        if not self._is_fresh():
            return not_run(ResultCode.DOCUMENT_STALE, 'the document may be old')
        return None

    def _settle(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        """Hold the slot until the server says that the request no longer runs."""
        name = coordinated.server.name
        request_id = exchange.head.request_id
        began = self._clock.monotonic()
        while self._clock.monotonic() - began < GIVE_UP_AFTER_S:
            if self._cancelled(coordinated, request_id):
                return
            until = self._clock.monotonic() + 2 * (CANCEL_TIMEOUT_S + CANCEL_PAUSE_S)
            self._tell(ExchangeLost(name, request_id, until))
            if self._stopping.wait(CANCEL_PAUSE_S):
                return

    def _cancelled(self, coordinated: CoordinatedServer, request_id: str) -> bool:
        try:
            return coordinated.port.cancel(request_id, CANCEL_TIMEOUT_S)
        except CallFailedError as error:
            # A server that refuses connections runs nothing that could be asked about.
            return not error.dispatched


def _shed(error: ShedError) -> _End:
    if error.reason != NOT_GRANTED:
        return _End(Outcome.SHED)
    refusal = not_run(ResultCode.KEY_MOVING, 'the key is not granted to the server')
    return _End(Outcome.NOT_SENT, refusal)


def _failed(exchange: Exchange, error: CallFailedError) -> _End:
    if not error.dispatched:
        refusal = not_run(ResultCode.NO_OWNER, 'the backend server can not be reached')
        return _End(Outcome.NOT_SENT, refusal)
    if exchange.answer_started:
        refusal = Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, str(error))
    else:
        refusal = _unknown(str(error))
    return _End(Outcome.FAILED, refusal, lost=True)


def not_run(code: ResultCode, detail: str) -> Refusal:
    """Return a refusal that the caller may answer by coming back soon."""
    return Refusal(code, Ran.NO, detail, RETRY_SOON_S)


def _unknown(detail: str) -> Refusal:
    return Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)


def _control_headers(
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
        headers.append(('Coltsfootstair-Slot', str(head.slot)))
        headers.append(('Coltsfootstair-Token', str(token)))
    return headers
