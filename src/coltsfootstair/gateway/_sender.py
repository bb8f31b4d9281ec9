"""One attempt of a request at one backend server."""

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

__all__ = ['ANSWER_MARGIN_S', 'Attempt', 'Outcome', 'RequestState', 'Sender']

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


class Attempt(NamedTuple):
    """One attempt and its answer, if there is one."""

    outcome: Outcome
    answer: Answer | None
    reason: str = ''


class RequestState:
    """State of one request while it is handled."""

    __slots__ = (
        'abandoned',
        'attempts',
        'ends_at',
        'incoming',
        'key',
        'may_have_run',
        'policy',
        'request_id',
        'route',
        'service',
        'table',
        'trace',
        'tried',
        'unconnected',
    )

    def __init__(
        self, incoming: IncomingRequest, request_id: bytes | None, trace: RequestTrace
    ) -> None:
        self.incoming = incoming
        self.request_id = request_id
        self.trace = trace
        self.key: int | None = None
        self.tried: set[str] = set()
        self.attempts = 0
        self.unconnected = 0
        self.may_have_run = False
        self.abandoned = False
        self.ends_at = 0.0
        self.table: RouteTable
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

    async def attempt(self, request: RequestState, server: BackendServer) -> Attempt:
        """Send a request to ``server`` and judge what comes back."""
        load = self._fleet.load(server)
        self._fleet.sent(server)
        try:
            return await self._exchange(request, server)
        finally:
            load.on_request_ended()

    async def _exchange(self, request: RequestState, server: BackendServer) -> Attempt:
        load = self._fleet.load(server)
        try:
            connection = await self._connection(request, server)
        except BrokenExchangeError as error:
            request.unconnected += 1
            load.on_no_answer(self._clock.monotonic())
            return Attempt(Outcome.NOT_SENT, None, str(error))
        request.attempts += 1
        request.tried.add(server.name)
        may_have_run = request.may_have_run
        request.may_have_run = True
        incoming = request.incoming
        started_at = self._clock.monotonic()
        headers = self._dialect.request_headers(
            incoming.headers, request.ends_at + ANSWER_MARGIN_S - started_at, server
        )
        if incoming.body or find_first_value(incoming.headers, b'content-length') is not None:
            headers.append((b'Content-Length', str(len(incoming.body)).encode()))
        line = incoming.method + b' ' + incoming.target + b' HTTP/1.1'
        try:
            answer = await connection.exchange(
                line, headers, incoming.body, expected_id=request.request_id
            )
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            if now - started_at > load.estimate_answer_s(now):
                load.on_no_answer(now)
            raise
        except BrokenExchangeError as error:
            load.on_no_answer(self._clock.monotonic())
            if not error.sent:
                request.may_have_run = may_have_run
                return Attempt(Outcome.NOT_SENT, None, str(error))
            return Attempt(Outcome.UNKNOWN, None, str(error))
        self._pool.release(connection)
        attempt = self._judge(request, answer, server, started_at)
        if attempt.outcome in NOT_RUN:
            request.may_have_run = may_have_run
        return attempt

    async def _connection(self, request: RequestState, server: BackendServer) -> Connection:
        repeatable = request.route.kind is RequestKind.IDEMPOTENT
        share = 1.0 if repeatable else FRESH_SHARE
        kept = self._pool.take_idle(server.address, max_idle_share=share)
        if kept is not None:
            return kept
        left_s = request.ends_at - self._clock.monotonic()
        timeout_s = max(SHORTEST_CONNECT_S, min(CONNECT_TIMEOUT_S, CONNECT_SHARE * left_s))
        return await self._pool.open(server.address, timeout_s)

    def _judge(
        self, request: RequestState, answer: Answer, server: BackendServer, started_at: float
    ) -> Attempt:
        """Tell what an answer says of its request, and of its server's load."""
        now = self._clock.monotonic()
        load = self._fleet.load(server)
        facts = self._dialect.answer_facts(answer)
        if facts.load is not None:
            load.apply_report(facts.load, now)
        load.on_any_answer(now)
        if facts.wrong_server:
            return Attempt(Outcome.WRONG_SERVER, answer, f'status {answer.status}')
        if facts.not_run:
            load.on_failure(now)
            had_room = facts.load is not None and facts.load.running < facts.load.slots
            outcome = Outcome.SHED_WITH_ROOM if had_room else Outcome.NOT_RUN
            return Attempt(outcome, answer, f'status {answer.status}')
        if (
            not facts.signed
            or find_first_value(answer.headers, b'content-encoding') is not None
        ):
            load.on_failure(now)
            return Attempt(Outcome.UNKNOWN, None, f'status {answer.status} without a mark')
        if answer.status >= SERVER_ERROR:
            load.on_error_answer(now)
            return Attempt(Outcome.FAILED, answer, f'status {answer.status}')
        load.on_success(now - started_at, now)
        return Attempt(Outcome.ANSWERED, answer)
