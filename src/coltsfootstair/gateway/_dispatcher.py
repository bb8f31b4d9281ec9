"""The way of one request: route, backend server, attempts, answer or refusal."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._sender import (
    ANSWER_MARGIN_S,
    Attempt,
    Outcome,
    RequestState,
    Sender,
)
from coltsfootstair.gateway._trace import RequestLog, RequestTrace
from coltsfootstair.http1 import Answer, Reply, find_first_value
from coltsfootstair.placement import (
    AdmissionGate,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    choose_server,
)
from coltsfootstair.results import Ran, Refusal, ResultCode, title
from coltsfootstair.routes import RequestKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._fleet import Fleet
    from coltsfootstair.gateway._types import Dialect
    from coltsfootstair.http1 import ConnectionPool, IncomingRequest
    from coltsfootstair.keyspace import OwnershipView
    from coltsfootstair.metrics import GatewayMetrics
    from coltsfootstair.placement import Candidate
    from coltsfootstair.registry import BackendServer, Registry
    from coltsfootstair.routes import Route, RouteTable

__all__ = ['Dispatcher']

WAIT_SHARE = 0.5
"""Part of the target latency for which a request waits for a key that is moving, or for the
first answer of a server whose load is not known; both take about as long as one request."""

LEAVING_SHARE = 0.15
"""Part of the time in which a leaving server must be left alone, for which the owner of a
key still gets its requests while the key is moved; most of that time may have passed before
the leaving is known here."""

NEVER_SENT_TRIES = 3
"""Connections that are tried for one request; nothing is sent on those that fail."""

RETRY_OWNER_S = 0.4
"""When a caller may come back whose key has no owner at present, in seconds."""

ROOM_POLL_S = 0.02
"""Seconds between two looks at whether a server has room for another request; a part of the
shortest usual work."""

SHED_TRIES = 4
"""Times that a request is sent to the only server that may run it while that server turns
requests away though it has room."""

OWNER_RECHECK_S = 0.1
"""How long a request that met the wrong owner waits for a new table, in seconds."""


class Dispatcher:
    """Handles the requests of one daemon.

    :param drain_s: how long a leaving server may be sent requests, in seconds
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
        drain_s: float,
    ) -> None:
        self._dialect = dialect
        self._route_table = route_table
        self._registry = registry
        self._ownership = ownership
        self._fleet = fleet
        self._sender = Sender(dialect, fleet, pool, clock)
        self._clock = clock
        self._random = random_source
        self._data_centre = data_centre
        self._metrics = metrics
        self._log = log
        self._limits: set[asyncio.Timeout] = set()
        self._under_way: dict[int, RequestState] = {}
        self._leaving_grace_s = LEAVING_SHARE * drain_s
        self._admission = AdmissionGate(admitted_by_server, clock)

    def route_of(self, incoming: IncomingRequest) -> Route | None:
        """Return the route of a request, or ``None``."""
        table = self._route_table()
        host = find_first_value(incoming.headers, b'host')
        if table is None or host is None:
            return None
        return table.find(host, incoming.path)

    async def handle(self, incoming: IncomingRequest) -> Reply:
        """Answer one request within its time."""
        facts = self._dialect.caller_facts(incoming.headers)
        trace = RequestTrace(facts.request_id, incoming.received_at)
        request = RequestState(incoming, facts.request_id, trace)
        request.key = facts.key
        refusal = self._route(request, facts.wait_s)
        if refusal is not None:
            return self._refused(request, refusal)
        left_s = request.ends_at - self._clock.monotonic()
        self._under_way[id(incoming)] = request
        try:
            async with asyncio.timeout(left_s) as limit:
                self._limits.add(limit)
                try:
                    return await self._serve(request)
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            return self._out_of_time(request)
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            self._log.write(request.trace, 'caller left', '')
            self._metrics.ended(request.route.name, 'caller left', now - incoming.received_at)
            raise
        finally:
            del self._under_way[id(incoming)]

    def caller_left(self, incoming: IncomingRequest) -> bool:
        """Note that a request's caller has left; true if the request is to end all the same.

        What may not be repeated and has been sent runs on, so that its outcome is known and
        logged; it is not sent once more.
        """
        request = self._under_way.get(id(incoming))
        if request is None or request.route.kind is RequestKind.IDEMPOTENT:
            return False
        request.abandoned = True
        return request.may_have_run

    def end_all(self) -> None:
        """Give up all requests that are under way; each gets its final answer."""
        now = asyncio.get_running_loop().time()
        for limit in list(self._limits):
            limit.reschedule(now)

    def _route(self, request: RequestState, wait_s: float | None) -> Refusal | None:
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

    async def _serve(self, request: RequestState) -> Reply:
        while True:
            if request.key is None:
                choice = await self._choose(request)
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
                expected_ms=round(choice.expected_answer_s * 1000),
                occupied=round(choice.candidate.load.estimate_in_flight(now), 1),
                version=request.table.configuration.version,
            )
            attempt = await self._sender.attempt(request, server)
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
                await self._ownership.wait_for_change(OWNER_RECHECK_S)

    async def _choose(self, request: RequestState) -> Placement | Refusal:
        waits_until = self._waits_until(request)
        while True:
            now = self._clock.monotonic()
            usable = self._registry.usable(request.service)
            if not usable:
                return Refusal(
                    ResultCode.NO_USABLE_SERVER,
                    Ran.NO,
                    f'{request.service} has no server',
                    0.5,
                )
            untried = [server for server in usable if server.name not in request.tried]
            connections = request.policy.max_connections
            candidates = [
                self._fleet.candidate(server, connections) for server in untried or usable
            ]
            choice = choose_server(candidates, self._demand(request, now), now, self._random)
            if not isinstance(choice, PlacementRefusal):
                return choice
            unknown = any(
                it.load.is_report_stale(now) and not it.has_room for it in candidates
            )
            if not unknown or now >= waits_until:
                return Refusal(
                    ResultCode.OVERLOADED,
                    Ran.NO,
                    f'{request.service}: {choice.reason}',
                    choice.retry_after_s,
                )
            await asyncio.sleep(min(waits_until - now, ROOM_POLL_S))

    def _waits_until(self, request: RequestState) -> float:
        wait_s = WAIT_SHARE * request.route.target_latency_s
        return self._clock.monotonic() + wait_s

    async def _choose_owner(self, request: RequestState, key: int) -> Placement | Refusal:
        waits_until = self._waits_until(request)
        while True:
            server = self._owner_of(request.service, key)
            left_s = waits_until - self._clock.monotonic()
            if server is not None:
                candidate = self._fleet.candidate(server, request.policy.max_connections)
                if candidate.has_room or candidate.cold_wait_s > 0 or left_s <= 0:
                    break
                await asyncio.sleep(min(left_s, ROOM_POLL_S))
            elif left_s <= 0 or not await self._ownership.wait_for_change(left_s):
                return Refusal(
                    ResultCode.NO_OWNER,
                    Ran.NO,
                    f'key {key} of {request.service} has no owner at present',
                    RETRY_OWNER_S,
                )
        return self._admit(request, key, candidate)

    def _owner_of(self, service: str, key: int) -> BackendServer | None:
        """Return the server that may be sent requests for a key now."""
        row = self._ownership.range_of(service, key)
        if row is None or not row.live:
            return None
        server = self._registry.get(row.owner[0])
        if server is None or server.life != row.owner or not self._takes_requests(server):
            return None
        return server

    def _admit(
        self, request: RequestState, key: int, candidate: Candidate
    ) -> Placement | Refusal:
        now = self._clock.monotonic()
        name = candidate.server.name
        if candidate.cold_wait_s > 0:
            return Refusal(ResultCode.COLD, Ran.NO, f'{name} is cold', candidate.cold_wait_s)
        if not self._admission.try_admit(name):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{name}, which owns key {key}, is asked for more than it can serve',
                RETRY_OWNER_S,
            )
        choice = choose_server([candidate], self._demand(request, now), now, self._random)
        if isinstance(choice, PlacementRefusal):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{name}, which owns key {key}, has no room',
                choice.retry_after_s,
            )
        return choice

    def _takes_requests(self, server: BackendServer) -> bool:
        return self._registry.left_for_s(server.name) < self._leaving_grace_s

    def _demand(self, request: RequestState, now: float) -> RequestConstraints:
        return RequestConstraints(
            self._data_centre,
            request.route.target_latency_s,
            request.ends_at - now,
            len(request.incoming.body),
        )

    def _may_go_on(self, request: RequestState, attempt: Attempt) -> bool:
        """Whether another attempt may follow a failed one."""
        if request.abandoned:
            return False
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

    def _given_up(self, request: RequestState, attempt: Attempt) -> Reply:
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

    def _out_of_time(self, request: RequestState) -> Reply:
        if request.may_have_run:
            detail = 'no answer within the time of the route or the caller'
            return self._refused(
                request, Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)
            )
        return self._refused(
            request,
            Refusal(ResultCode.DEADLINE_UNREACHABLE, Ran.NO, 'not sent within its time', 0.1),
        )

    def _answered(self, request: RequestState, answer: Answer, server: BackendServer) -> Reply:
        return self._passed_on(request, answer, 'answered')

    def _passed_on(self, request: RequestState, answer: Answer, outcome: str) -> Reply:
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

    def _refused(self, request: RequestState, refusal: Refusal) -> Reply:
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
