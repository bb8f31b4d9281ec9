"""Sends a request to one backend server and classifies the answer."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.http1 import Answer, BrokenExchangeError, find_first_value
from coltsfootstair.routes import RequestKind

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._fleet import Fleet
    from coltsfootstair.gateway._trace import RequestTrace
    from coltsfootstair.gateway._types import Dialect
    from coltsfootstair.http1 import Connection, ConnectionPool, IncomingRequest
    from coltsfootstair.registry import BackendServer
    from coltsfootstair.routes import Route, RouteTable, ServicePolicy

__all__ = ['ANSWER_MARGIN_S', 'AttemptResult', 'Outcome', 'RequestState', 'Sender']

MAX_CONNECT_TIMEOUT_S = 0.4
"""Maximum time to open a connection, in seconds; many times the delay between data centres,
and less than the time until TCP first retransmits a lost packet."""

CONNECT_TIMEOUT_SHARE = 0.25
"""Part of a request's remaining time that opening a connection may take, so that there is
time for another server."""

MIN_CONNECT_TIMEOUT_S = 0.05
"""Minimum of the time limit for opening a connection, in seconds; several times the delay
between data centres."""

MAX_IDLE_SHARE = 0.5
"""Part of the pool's idle time up to which an idle connection is used for a request that is
not idempotent. Servers may close idle connections at any time, and such a request can't be
retried."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status that reports a failure of the server."""

ANSWER_MARGIN_S = 0.03
"""How long before its deadline a request times out here, in seconds, so that the answer
reaches the caller in time."""


class Outcome(enum.Enum):
    """Outcome of one attempt.

    ``SHED_WITH_ROOM``: not run, although the load report of the server shows free slots.
    """

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    SHED_WITH_ROOM = 'not run, though there was room'
    WRONG_SERVER = 'wrong server'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    ANSWERED = 'answered'


NOT_RUN = frozenset({Outcome.NOT_RUN, Outcome.SHED_WITH_ROOM, Outcome.WRONG_SERVER})
"""Outcomes after which the backend server has stated that the request did not run."""


class AttemptResult(NamedTuple):
    """Outcome of one attempt, with the answer if there is one and the reason of a failure."""

    outcome: Outcome
    answer: Answer | None
    reason: str = ''


class RequestState:
    """State of one request while it is handled.

    :ivar tried_servers: names of the backend servers that it has been sent to
    :ivar attempt_count: number of attempts for which there was a connection
    :ivar failed_connect_count: number of attempts for which there was none
    :ivar may_have_run: whether a backend server may have run it
    :ivar abandoned: whether its caller has left
    :ivar deadline: monotonic time at which it times out here
    """

    __slots__ = (
        'abandoned',
        'attempt_count',
        'deadline',
        'failed_connect_count',
        'incoming',
        'key',
        'may_have_run',
        'policy',
        'request_id',
        'route',
        'route_table',
        'service',
        'trace',
        'tried_servers',
    )

    def __init__(
        self, incoming: IncomingRequest, request_id: bytes | None, trace: RequestTrace
    ) -> None:
        self.incoming = incoming
        self.request_id = request_id
        self.trace = trace
        self.key: int | None = None
        self.tried_servers: set[str] = set()
        self.attempt_count = 0
        self.failed_connect_count = 0
        self.may_have_run = False
        self.abandoned = False
        self.deadline = 0.0
        self.route_table: RouteTable
        self.route: Route
        self.policy: ServicePolicy
        self.service = ''


class Sender:
    """Sends requests over idle or new connections and classifies the answers."""

    def __init__(
        self, dialect: Dialect, fleet: Fleet, pool: ConnectionPool, clock: Clock
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._pool = pool
        self._clock = clock

    async def send(self, request: RequestState, server: BackendServer) -> AttemptResult:
        """Send a request to ``server`` and return the outcome."""
        load = self._fleet.get_load(server)
        self._fleet.record_sent(server)
        try:
            return await self._exchange(request, server)
        finally:
            load.on_request_ended()

    async def _exchange(self, request: RequestState, server: BackendServer) -> AttemptResult:
        load = self._fleet.get_load(server)
        try:
            connection = await self._get_connection(request, server)
        except BrokenExchangeError as error:
            request.failed_connect_count += 1
            load.on_no_answer(self._clock.monotonic())
            return AttemptResult(Outcome.NOT_SENT, None, str(error))
        request.attempt_count += 1
        request.tried_servers.add(server.name)
        may_have_run_before = request.may_have_run
        request.may_have_run = True
        incoming = request.incoming
        started_at = self._clock.monotonic()
        headers = self._dialect.build_request_headers(
            incoming.headers, request.deadline + ANSWER_MARGIN_S - started_at, server
        )
        if incoming.body or find_first_value(incoming.headers, b'content-length') is not None:
            headers.append((b'Content-Length', str(len(incoming.body)).encode()))
        request_line = incoming.method + b' ' + incoming.target + b' HTTP/1.1'
        try:
            answer = await connection.exchange(
                request_line, headers, incoming.body, expected_id=request.request_id
            )
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            if now - started_at > load.estimate_answer_s(now):
                load.on_no_answer(now)
            raise
        except BrokenExchangeError as error:
            load.on_no_answer(self._clock.monotonic())
            if not error.sent:
                request.may_have_run = may_have_run_before
                return AttemptResult(Outcome.NOT_SENT, None, str(error))
            return AttemptResult(Outcome.UNKNOWN, None, str(error))
        self._pool.release(connection)
        result = self._classify_answer(request, answer, server, started_at)
        if result.outcome in NOT_RUN:
            request.may_have_run = may_have_run_before
        return result

    async def _get_connection(
        self, request: RequestState, server: BackendServer
    ) -> Connection:
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        max_idle_share = 1.0 if is_idempotent else MAX_IDLE_SHARE
        idle_connection = self._pool.take_idle(server.address, max_idle_share=max_idle_share)
        if idle_connection is not None:
            return idle_connection
        left_s = request.deadline - self._clock.monotonic()
        timeout_s = max(
            MIN_CONNECT_TIMEOUT_S, min(MAX_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * left_s)
        )
        return await self._pool.open(server.address, timeout_s)

    def _classify_answer(
        self, request: RequestState, answer: Answer, server: BackendServer, started_at: float
    ) -> AttemptResult:
        """Classify an answer, and apply what it tells about the server's load."""
        now = self._clock.monotonic()
        load = self._fleet.get_load(server)
        facts = self._dialect.parse_answer(answer)
        if facts.load is not None:
            load.apply_report(facts.load, now)
        load.on_any_answer(now)
        if facts.is_wrong_server:
            return AttemptResult(Outcome.WRONG_SERVER, answer, f'status {answer.status}')
        if facts.says_not_run:
            load.on_failure(now)
            had_free_slot = facts.load is not None and facts.load.running < facts.load.slots
            outcome = Outcome.SHED_WITH_ROOM if had_free_slot else Outcome.NOT_RUN
            return AttemptResult(outcome, answer, f'status {answer.status}')
        if (
            not facts.is_signed
            or find_first_value(answer.headers, b'content-encoding') is not None
        ):
            load.on_failure(now)
            return AttemptResult(
                Outcome.UNKNOWN, None, f'status {answer.status} without a mark'
            )
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            load.on_error_answer(now)
            return AttemptResult(Outcome.FAILED, answer, f'status {answer.status}')
        load.on_success(now - started_at, now)
        return AttemptResult(Outcome.ANSWERED, answer)
