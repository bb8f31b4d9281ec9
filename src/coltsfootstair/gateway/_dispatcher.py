"""The way of one request: route, backend server, attempts, answer or refusal."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._trace import RequestLog, RequestTrace
from coltsfootstair.http1 import Answer, BrokenExchangeError, Reply, first_value
from coltsfootstair.placement import AdmissionGate, Demand, Place, Refused, place
from coltsfootstair.results import Ran, Refusal, ResultCode, title
from coltsfootstair.routes import RequestKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._fleet import Fleet
    from coltsfootstair.gateway._types import Dialect
    from coltsfootstair.http1 import Connection, ConnectionPool, IncomingRequest
    from coltsfootstair.keyspace import OwnershipView
    from coltsfootstair.metrics import GatewayMetrics
    from coltsfootstair.registry import BackendServer, Registry
    from coltsfootstair.routes import Route, RouteTable, ServicePolicy

__all__ = ['Dispatcher']

ANSWER_MARGIN_S = 0.03
"""How long before its end a request is given up, in seconds, so that the answer still
arrives in time."""

CONNECT_TIMEOUT_S = 0.4
"""How long a connection may take to be made, in seconds; many times the delay between data
centres, and less than the first repeat of a lost packet."""

CONNECT_SHARE = 0.25
"""Part of a request's time that a connection may take to be made, so that another server
can still be tried."""

SHORTEST_CONNECT_S = 0.05
"""Least time that a connection is given to be made, in seconds; several times the delay
between data centres."""

OWNER_WAIT_SHARE = 0.5
"""Part of the target latency for which a request waits for a key that is moving; moves take
about as long as one request."""

LEAVING_GRACE_S = 1.0
"""How long the owner of a key that is leaving still gets its requests, in seconds, while
the key is moved; below every bound for that."""

NEVER_SENT_TRIES = 3
"""Connections that are tried for one request; nothing is sent on those that fail."""

RETRY_OWNER_S = 0.4
"""When a caller may come back whose key has no owner at present, in seconds."""

SHED_TRIES = 4
"""Times that a request is sent to the only server that may run it while that server turns
requests away though it has room."""

FRESH_SHARE = 0.5
"""Part of the idle time within which a kept connection is used for what may not be
repeated; servers close idle connections at times of their own."""

OWNER_RECHECK_S = 0.1
"""How long a request that met the wrong owner waits for a new table, in seconds."""

SERVER_ERROR = 500
"""Lowest status with which a server says that it failed."""


class Outcome(enum.Enum):
    """What follows from one attempt."""

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    SHED_WITH_ROOM = 'not run, though there was room'
    WRONG_SERVER = 'wrong server'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    ANSWERED = 'answered'


_NOT_RUN = frozenset({Outcome.NOT_RUN, Outcome.SHED_WITH_ROOM, Outcome.WRONG_SERVER})


class Attempt(NamedTuple):
    """One attempt and its answer, if there is one."""

    outcome: Outcome
    answer: Answer | None
    reason: str = ''


class _Request:
    """State of one request while it is handled."""

    __slots__ = (
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
        self.ends_at = 0.0
        self.table: RouteTable
        self.route: Route
        self.policy: ServicePolicy
        self.service = ''


class Dispatcher:
    """Handles the requests of one daemon.

    :param route_table: returns the configuration in force, ``None`` before the first
    """

    def __init__(
        self,
        dialect: Dialect,
        route_table: Callable[[], RouteTable | None],
        registry: Registry,
        ownership: OwnershipView,
        fleet: Fleet,
        pool: ConnectionPool,
        clock: Clock,
        random_source: random.Random,
        data_centre: str,
        metrics: GatewayMetrics,
        log: RequestLog,
        admitted_by_server: Callable[[], dict[str, float]],
    ) -> None:
        self._dialect = dialect
        self._route_table = route_table
        self._registry = registry
        self._ownership = ownership
        self._fleet = fleet
        self._pool = pool
        self._clock = clock
        self._random = random_source
        self._data_centre = data_centre
        self._metrics = metrics
        self._log = log
        self._admission = AdmissionGate(admitted_by_server, clock)

    def route_of(self, incoming: IncomingRequest) -> Route | None:
        """Return the route of a request, or ``None``."""
        table = self._route_table()
        host = first_value(incoming.headers, b'host')
        if table is None or host is None:
            return None
        return table.find(host, incoming.path)

    async def handle(self, incoming: IncomingRequest) -> Reply:
        """Answer one request within its time."""
        facts = self._dialect.caller_facts(incoming.headers)
        trace = RequestTrace(facts.request_id, incoming.received_at)
        request = _Request(incoming, facts.request_id, trace)
        request.key = facts.key
        refusal = self._route(request, facts.wait_s)
        if refusal is not None:
            return self._refused(request, refusal)
        left_s = request.ends_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await self._serve(request)
        except TimeoutError:
            return self._out_of_time(request)
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            self._log.write(request.trace, 'caller left', '')
            self._metrics.ended(request.route.name, 'caller left', now - incoming.received_at)
            raise

    def _route(self, request: _Request, wait_s: float | None) -> Refusal | None:
        table = self._route_table()
        if table is None:
            return Refusal(
                ResultCode.DOCUMENT_STALE, Ran.NO, 'no configuration is known yet', 1.0
            )
        route = self.route_of(request.incoming)
        if route is None:
            version = table.configuration.version
            return Refusal(
                ResultCode.UNKNOWN_ROUTE, Ran.NO, f'no route in version {version:08x}'
            )
        request.table = table
        request.route = route
        request.service = table.next_service(route)
        request.policy = table.configuration.policy_by_service[request.service]
        request.trace.route = route.name
        request.trace.service = request.service
        time_s = route.timeout_s if wait_s is None else min(wait_s, route.timeout_s)
        request.ends_at = request.incoming.received_at + time_s - ANSWER_MARGIN_S
        if not request.policy.divided_by_key:
            request.key = None
        elif request.key is None:
            return Refusal(
                ResultCode.KEY_MISSING, Ran.NO, f'{request.service} is divided by key'
            )
        self._fleet.requested(request.service, request.key)
        return None

    async def _serve(self, request: _Request) -> Reply:
        while True:
            if request.key is None:
                choice = self._choose(request)
            else:
                choice = await self._choose_owner(request, request.key)
            if isinstance(choice, Refusal):
                return self._refused(request, choice)
            server = choice.candidate.server
            now = self._clock.monotonic()
            request.trace.step(
                'sent',
                now,
                server=server.name,
                expected_ms=round(choice.expected_s * 1000),
                occupied=round(choice.candidate.load.occupied(now), 1),
                version=request.table.configuration.version,
            )
            attempt = await self._attempt(request, server)
            if attempt.outcome is Outcome.ANSWERED and attempt.answer is not None:
                return self._answered(request, attempt.answer, server)
            request.trace.step(
                'attempt failed',
                self._clock.monotonic(),
                outcome=attempt.outcome.value,
                reason=attempt.reason,
            )
            if not self._may_go_on(request, attempt):
                return self._given_up(request, attempt)
            if attempt.outcome is Outcome.WRONG_SERVER and request.key is not None:
                await self._ownership.changed_within(OWNER_RECHECK_S)

    def _choose(self, request: _Request) -> Place | Refusal:
        now = self._clock.monotonic()
        usable = self._registry.usable(request.service)
        if not usable:
            return Refusal(
                ResultCode.SERVICE_OUT, Ran.NO, f'{request.service} has no server', 0.5
            )
        untried = [server for server in usable if server.name not in request.tried]
        connections = request.policy.max_connections
        candidates = [
            self._fleet.candidate(server, connections) for server in untried or usable
        ]
        choice = place(candidates, self._demand(request, now), now, self._random)
        if isinstance(choice, Refused):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{request.service}: {choice.reason}',
                choice.retry_after_s,
            )
        return choice

    async def _choose_owner(self, request: _Request, key: int) -> Place | Refusal:
        waits_until = (
            self._clock.monotonic() + OWNER_WAIT_SHARE * request.route.target_latency_s
        )
        while True:
            row = self._ownership.row_of(request.service, key)
            server = None
            if row is not None and row.live:
                server = self._registry.get(row.owner[0])
                if server is not None and server.life != row.owner:
                    server = None
            if server is not None and self._takes_requests(server):
                break
            left_s = waits_until - self._clock.monotonic()
            if left_s <= 0 or not await self._ownership.changed_within(left_s):
                return Refusal(
                    ResultCode.NO_OWNER,
                    Ran.NO,
                    f'key {key} of {request.service} has no owner at present',
                    RETRY_OWNER_S,
                )
        now = self._clock.monotonic()
        candidate = self._fleet.candidate(server, request.policy.max_connections)
        if candidate.cold_wait_s > 0:
            return Refusal(
                ResultCode.COLD, Ran.NO, f'{server.name} is cold', candidate.cold_wait_s
            )
        if not self._admission.admits(server.name):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{server.name}, which owns key {key}, is asked for more than it can serve',
                RETRY_OWNER_S,
            )
        choice = place([candidate], self._demand(request, now), now, self._random)
        if isinstance(choice, Refused):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{server.name}, which owns key {key}, has no room',
                choice.retry_after_s,
            )
        return choice

    def _takes_requests(self, server: BackendServer) -> bool:
        return self._registry.left_for_s(server.name) < LEAVING_GRACE_S

    def _demand(self, request: _Request, now: float) -> Demand:
        return Demand(
            self._data_centre,
            request.route.target_latency_s,
            request.ends_at - now,
            len(request.incoming.body),
        )

    async def _attempt(self, request: _Request, server: BackendServer) -> Attempt:
        load = self._fleet.load(server)
        self._fleet.sent(server)
        try:
            return await self._exchange(request, server)
        finally:
            load.ended()

    async def _exchange(self, request: _Request, server: BackendServer) -> Attempt:
        load = self._fleet.load(server)
        try:
            connection = await self._connection(request, server)
        except BrokenExchangeError as error:
            request.unconnected += 1
            load.silent(self._clock.monotonic())
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
                return Attempt(Outcome.NOT_SENT, None, str(error))
            return Attempt(Outcome.UNKNOWN, None, str(error))
        self._pool.give_back(connection)
        attempt = self._judge(request, answer, server, started_at)
        if attempt.outcome in _NOT_RUN:
            request.may_have_run = may_have_run
        return attempt

    async def _connection(self, request: _Request, server: BackendServer) -> Connection:
        repeatable = request.route.kind is RequestKind.IDEMPOTENT
        share = 1.0 if repeatable else FRESH_SHARE
        kept = self._pool.idle(server.address, freshest_share=share)
        if kept is not None:
            return kept
        left_s = request.ends_at - self._clock.monotonic()
        timeout_s = max(SHORTEST_CONNECT_S, min(CONNECT_TIMEOUT_S, CONNECT_SHARE * left_s))
        return await self._pool.open(server.address, timeout_s)

    def _judge(
        self, request: _Request, answer: Answer, server: BackendServer, started_at: float
    ) -> Attempt:
        """Tell what an answer says of its request, and of its server's load."""
        now = self._clock.monotonic()
        load = self._fleet.load(server)
        facts = self._dialect.answer_facts(answer)
        if facts.load is not None:
            load.reported(facts.load, now)
        load.heard(now)
        if facts.wrong_server:
            return Attempt(Outcome.WRONG_SERVER, answer, f'status {answer.status}')
        if facts.not_run:
            load.failed(now)
            had_room = facts.load is not None and facts.load.running < facts.load.slots
            outcome = Outcome.SHED_WITH_ROOM if had_room else Outcome.NOT_RUN
            return Attempt(outcome, answer, f'status {answer.status}')
        if not facts.signed or first_value(answer.headers, b'content-encoding') is not None:
            load.failed(now)
            return Attempt(Outcome.UNKNOWN, None, f'status {answer.status} without a mark')
        load.answered(now - started_at, now)
        if answer.status >= SERVER_ERROR:
            return Attempt(Outcome.FAILED, answer, f'status {answer.status}')
        return Attempt(Outcome.ANSWERED, answer)

    def _may_go_on(self, request: _Request, attempt: Attempt) -> bool:
        """Whether another attempt may follow a failed one."""
        if attempt.outcome is Outcome.NOT_SENT:
            return request.unconnected < NEVER_SENT_TRIES
        if attempt.outcome is Outcome.SHED_WITH_ROOM and request.key is not None:
            # The same server may take it now; it is no further one.
            return request.attempts < SHED_TRIES and self._fleet.may_repeat(request.service)
        if request.attempts >= request.route.max_attempts:
            return False
        if attempt.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            if request.route.kind is not RequestKind.IDEMPOTENT:
                return False
        elif attempt.outcome is Outcome.NOT_RUN and request.key is not None:
            # The only server that may run it has no room.
            return False
        return self._fleet.may_repeat(request.service)

    def _given_up(self, request: _Request, attempt: Attempt) -> Reply:
        if attempt.outcome is Outcome.FAILED and attempt.answer is not None:
            return self._passed_on(request, attempt.answer, 'failed by its server')
        if request.may_have_run:
            return self._refused(
                request, Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, attempt.reason)
            )
        retry_after_s = max(0.1, request.route.target_latency_s / 4)
        return self._refused(
            request, Refusal(ResultCode.SHED, Ran.NO, attempt.reason, retry_after_s)
        )

    def _out_of_time(self, request: _Request) -> Reply:
        if request.may_have_run:
            detail = 'no answer within the time of the route or the caller'
            return self._refused(
                request, Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)
            )
        return self._refused(
            request,
            Refusal(ResultCode.QUEUE_DEADLINE, Ran.NO, 'not sent within its time', 0.1),
        )

    def _answered(self, request: _Request, answer: Answer, server: BackendServer) -> Reply:
        return self._passed_on(request, answer, 'answered')

    def _passed_on(self, request: _Request, answer: Answer, outcome: str) -> Reply:
        now = self._clock.monotonic()
        took_s = now - request.incoming.received_at
        if outcome == 'answered' and took_s > request.route.target_latency_s:
            outcome = 'answered late'
        if outcome == 'answered' and request.attempts == 1 and not request.unconnected:
            self._log.plain(request.trace)
        else:
            self._log.write(request.trace, outcome, '', status=answer.status)
        self._metrics.ended(request.route.name, outcome, took_s)
        return Reply(answer.status, self._dialect.answer_headers(answer.headers), answer.body)

    def _refused(self, request: _Request, refusal: Refusal) -> Reply:
        now = self._clock.monotonic()
        self._log.write(
            request.trace,
            'refused',
            f'{int(refusal.code)} {title(refusal.code)}',
            code=int(refusal.code),
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )
        took_s = now - request.incoming.received_at
        self._metrics.ended(request.trace.route, f'refused {int(refusal.code)}', took_s)
        return render_refusal(refusal, request.request_id)
