"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.http1 import Answer, BrokenExchangeError, first_value
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

CONNECT_TIMEOUT_S = 0.4
"""How long a connection may take to be made, in seconds; many times the delay between data
centres, and less than the first repeat of a lost packet."""

CONNECT_SHARE = 0.25
"""Part of a request's time that a connection may take to be made, so that another server
can still be tried."""

SHORTEST_CONNECT_S = 0.05
"""Least time that a connection is given to be made, in seconds; several times the delay
between data centres."""

FRESH_SHARE = 0.5
"""Part of the idle time within which a kept connection is used for what may not be
repeated; servers close idle connections at times of their own."""

SERVER_ERROR = 500
"""Lowest status with which a server says that it failed."""

ANSWER_MARGIN_S = 0.03
"""How long before its end a request is given up, in seconds, so that the answer still
arrives in time."""


class Outcome(enum.Enum):
    """What follows from one attempt."""

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    SHED_WITH_ROOM = 'not run, though there was room'
    WRONG_SERVER = 'wrong server'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    ANSWERED = 'answered'


NOT_RUN = frozenset({Outcome.NOT_RUN, Outcome.SHED_WITH_ROOM, Outcome.WRONG_SERVER})


class AttemptResult(NamedTuple):
    """One attempt and its answer, if there is one."""

    outcome: Outcome
    answer: Answer | None
    reason: str = ''


class RequestState:
    """State of one request while it is handled."""

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
    """Sends requests over kept or new connections and judges the answers."""

    def __init__(
        self, dialect: Dialect, fleet: Fleet, pool: ConnectionPool, clock: Clock
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._pool = pool
        self._clock = clock

    async def send(self, request: RequestState, server: BackendServer) -> AttemptResult:
        """Send a request to ``server`` and judge what comes back."""
        load = self._fleet.load(server)
        self._fleet.record_sent(server)
        try:
            return await self._exchange(request, server)
        finally:
            load.ended()

    async def _exchange(self, request: RequestState, server: BackendServer) -> AttemptResult:
        load = self._fleet.load(server)
        try:
            connection = await self._connection(request, server)
        except BrokenExchangeError as error:
            request.failed_connect_count += 1
            load.silent(self._clock.monotonic())
            return AttemptResult(Outcome.NOT_SENT, None, str(error))
        request.attempt_count += 1
        request.tried_servers.add(server.name)
        may_have_run = request.may_have_run
        request.may_have_run = True
        incoming = request.incoming
        started_at = self._clock.monotonic()
        headers = self._dialect.build_request_headers(
            incoming.headers, request.deadline + ANSWER_MARGIN_S - started_at, server
        )
        if incoming.body or first_value(incoming.headers, b'content-length') is not None:
            headers.append((b'Content-Length', str(len(incoming.body)).encode()))
        line = incoming.method + b' ' + incoming.target + b' HTTP/1.1'
        try:
            answer = await connection.exchange(
                line, headers, incoming.body, expected_id=request.request_id
            )
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            if now - started_at > load.expected_s(now):
                load.silent(now)
            raise
        except BrokenExchangeError as error:
            load.silent(self._clock.monotonic())
            if not error.sent:
                request.may_have_run = may_have_run
                return AttemptResult(Outcome.NOT_SENT, None, str(error))
            return AttemptResult(Outcome.UNKNOWN, None, str(error))
        self._pool.give_back(connection)
        attempt = self._judge(request, answer, server, started_at)
        if attempt.outcome in NOT_RUN:
            request.may_have_run = may_have_run
        return attempt

    async def _connection(self, request: RequestState, server: BackendServer) -> Connection:
        repeatable = request.route.kind is RequestKind.IDEMPOTENT
        share = 1.0 if repeatable else FRESH_SHARE
        kept = self._pool.idle(server.address, freshest_share=share)
        if kept is not None:
            return kept
        left_s = request.deadline - self._clock.monotonic()
        timeout_s = max(SHORTEST_CONNECT_S, min(CONNECT_TIMEOUT_S, CONNECT_SHARE * left_s))
        return await self._pool.open(server.address, timeout_s)

    def _judge(
        self, request: RequestState, answer: Answer, server: BackendServer, started_at: float
    ) -> AttemptResult:
        """Tell what an answer says of its request, and of its server's load."""
        now = self._clock.monotonic()
        load = self._fleet.load(server)
        facts = self._dialect.parse_answer(answer)
        if facts.load is not None:
            load.reported(facts.load, now)
        load.heard(now)
        if facts.is_wrong_server:
            return AttemptResult(Outcome.WRONG_SERVER, answer, f'status {answer.status}')
        if facts.says_not_run:
            load.failed(now)
            had_room = facts.load is not None and facts.load.running < facts.load.slots
            outcome = Outcome.SHED_WITH_ROOM if had_room else Outcome.NOT_RUN
            return AttemptResult(outcome, answer, f'status {answer.status}')
        if not facts.is_signed or first_value(answer.headers, b'content-encoding') is not None:
            load.failed(now)
            return AttemptResult(
                Outcome.UNKNOWN, None, f'status {answer.status} without a mark'
            )
        if answer.status >= SERVER_ERROR:
            load.erred(now)
            return AttemptResult(Outcome.FAILED, answer, f'status {answer.status}')
        load.answered(now - started_at, now)
        return AttemptResult(Outcome.ANSWERED, answer)
