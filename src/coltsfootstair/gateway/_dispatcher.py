"""Dispatches requests: route, backend server, attempts, and answer or refusal."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._sender import (
    ANSWER_MARGIN_S,
    AttemptResult,
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

MAX_WAIT_SHARE = 0.5
"""Part of the target latency that a request waits for a key that is moving, or for the first
answer of a server whose load is unknown; each takes about as long as one request."""

LEAVING_GRACE_SHARE = 0.15
"""Part of the drain time for which an owner that is draining or evacuated still gets the
requests of its keys while they are moved. Most of the drain time may have passed before this
daemon learns of it."""

MAX_CONNECT_ATTEMPTS = 3
"""Connection attempts for one request that may fail; nothing is sent on those that fail."""

OWNER_RETRY_AFTER_S = 0.4
"""Retry-After of a request whose key has no owner or an overloaded one, in seconds."""

CAPACITY_POLL_S = 0.02
"""Interval at which a waiting request checks whether a server has free capacity, in seconds;
a part of the shortest usual service time."""

MAX_SHED_ATTEMPTS = 4
"""Maximum number of times that a request is sent to its key's owner while the owner sheds it
although the owner has free slots."""

OWNERSHIP_UPDATE_WAIT_S = 0.1
"""How long a request waits for a new key table after it met the wrong owner, in seconds."""


class Dispatcher:
    """Handles the requests of one daemon.

    :param route_table: returns the routes in force; ``None`` before the first configuration
    :param admitted_share_by_server: returns, for each overloaded owner, the share of its
        requests that daemons let pass
    :param drain_s: how long a draining server may still be sent requests, in seconds
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
        request_log: RequestLog,
        admitted_share_by_server: Callable[[], dict[str, float]],
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
        self._request_log = request_log
        self._timeouts: set[asyncio.Timeout] = set()
        self._active_requests: dict[int, RequestState] = {}
        self._leaving_grace_s = LEAVING_GRACE_SHARE * drain_s
        self._admission = AdmissionGate(admitted_share_by_server, clock)

    def find_route(self, incoming: IncomingRequest) -> Route | None:
        """Return the route of a request, or ``None``."""
        route_table = self._route_table()
        host = find_first_value(incoming.headers, b'host')
        if route_table is None or host is None:
            return None
        return route_table.find(host, incoming.path)

    async def handle(self, incoming: IncomingRequest) -> Reply:
        """Answer one request before its deadline."""
        facts = self._dialect.parse_caller_headers(incoming.headers)
        trace = RequestTrace(facts.request_id, incoming.received_at)
        request = RequestState(incoming, facts.request_id, trace)
        request.key = facts.key
        refusal = self._assign_route(request, facts.timeout_s)
        if refusal is not None:
            return self._refuse(request, refusal)
        left_s = request.deadline - self._clock.monotonic()
        self._active_requests[id(incoming)] = request
        try:
            async with asyncio.timeout(left_s) as timeout:
                self._timeouts.add(timeout)
                try:
                    return await self._serve(request)
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            return self._finish_timed_out(request)
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            self._request_log.log_request(request.trace, 'caller left', '')
            self._metrics.count_request(
                request.route.name, 'caller left', now - incoming.received_at
            )
            raise
        finally:
            del self._active_requests[id(incoming)]

    def caller_left(self, incoming: IncomingRequest) -> bool:
        """Record that a request's caller has left; return whether the request must go on.

        A request that is not idempotent and may have run goes on, so that its outcome is
        known and logged, but it is not sent again.
        """
        request = self._active_requests.get(id(incoming))
        if request is None or request.route.kind is RequestKind.IDEMPOTENT:
            return False
        request.abandoned = True
        return request.may_have_run

    def time_out_all(self) -> None:
        """Time out all requests in progress; each gets its final reply."""
        now = asyncio.get_running_loop().time()
        for timeout in list(self._timeouts):
            timeout.reschedule(now)

    def _assign_route(
        self, request: RequestState, caller_timeout_s: float | None
    ) -> Refusal | None:
        route_table = self._route_table()
        if route_table is None:
            return Refusal(
                ResultCode.DOCUMENT_STALE, Ran.NO, 'no configuration is known yet', 1.0
            )
        route = self.find_route(request.incoming)
        if route is None:
            version = route_table.configuration.version
            return Refusal(
                ResultCode.UNKNOWN_ROUTE, Ran.NO, f'no route in version {version:08x}'
            )
        request.route_table = route_table
        request.route = route
        request.service = route_table.choose_service(route)
        request.policy = route_table.configuration.policy_by_service[request.service]
        request.trace.route = route.name
        request.trace.service = request.service
        timeout_s = (
            route.timeout_s
            if caller_timeout_s is None
            else min(caller_timeout_s, route.timeout_s)
        )
        request.deadline = request.incoming.received_at + timeout_s - ANSWER_MARGIN_S
        if not request.policy.divided_by_key:
            request.key = None
        elif request.key is None:
            return Refusal(
                ResultCode.KEY_MISSING, Ran.NO, f'{request.service} is divided by key'
            )
        self._fleet.record_request(request.service, request.key)
        return None

    async def _serve(self, request: RequestState) -> Reply:
        while True:
            if request.key is None:
                choice = await self._choose_server(request)
            else:
                choice = await self._choose_owner(request, request.key)
            if isinstance(choice, Refusal):
                return self._refuse(request, choice)
            server = choice.candidate.server
            now = self._clock.monotonic()
            request.trace.add_step(
                'sent',
                now,
                server=server.name,
                expected_ms=round(choice.expected_answer_s * 1000),
                occupied=round(choice.candidate.load.estimate_in_flight(now), 1),
                version=request.route_table.configuration.version,
            )
            result = await self._sender.send(request, server)
            if result.outcome is Outcome.ANSWERED and result.answer is not None:
                return self._finish_answered(request, result.answer, server)
            request.trace.add_step(
                'attempt failed',
                self._clock.monotonic(),
                outcome=result.outcome.value,
                reason=result.reason,
            )
            if not self._may_retry(request, result):
                return self._finish_failed(request, result)
            if result.outcome is Outcome.WRONG_SERVER and request.key is not None:
                await self._ownership.wait_for_change(OWNERSHIP_UPDATE_WAIT_S)

    async def _choose_server(self, request: RequestState) -> Placement | Refusal:
        wait_deadline = self._wait_deadline(request)
        while True:
            now = self._clock.monotonic()
            usable = self._registry.find_usable(request.service)
            if not usable:
                return Refusal(
                    ResultCode.NO_USABLE_SERVER,
                    Ran.NO,
                    f'{request.service} has no server',
                    0.5,
                )
            untried = [server for server in usable if server.name not in request.tried_servers]
            max_connections = request.policy.max_connections
            candidates = [
                self._fleet.make_candidate(server, max_connections)
                for server in untried or usable
            ]
            choice = choose_server(
                candidates, self._constraints(request, now), now, self._random
            )
            if not isinstance(choice, PlacementRefusal):
                return choice
            is_load_unknown = any(
                candidate.load.is_report_stale(now) and not candidate.has_room
                for candidate in candidates
            )
            if not is_load_unknown or now >= wait_deadline:
                return Refusal(
                    ResultCode.OVERLOADED,
                    Ran.NO,
                    f'{request.service}: {choice.reason}',
                    choice.retry_after_s,
                )
            await asyncio.sleep(min(wait_deadline - now, CAPACITY_POLL_S))

    def _wait_deadline(self, request: RequestState) -> float:
        wait_s = MAX_WAIT_SHARE * request.route.target_latency_s
        return self._clock.monotonic() + wait_s

    async def _choose_owner(self, request: RequestState, key: int) -> Placement | Refusal:
        wait_deadline = self._wait_deadline(request)
        while True:
            server = self._find_owner(request.service, key)
            left_s = wait_deadline - self._clock.monotonic()
            if server is not None:
                candidate = self._fleet.make_candidate(server, request.policy.max_connections)
                if candidate.has_room or candidate.cold_wait_s > 0 or left_s <= 0:
                    break
                await asyncio.sleep(min(left_s, CAPACITY_POLL_S))
            elif left_s <= 0 or not await self._ownership.wait_for_change(left_s):
                return Refusal(
                    ResultCode.NO_OWNER,
                    Ran.NO,
                    f'key {key} of {request.service} has no owner at present',
                    OWNER_RETRY_AFTER_S,
                )
        return self._admit(request, key, candidate)

    def _find_owner(self, service: str, key: int) -> BackendServer | None:
        """Return the owner of a key, if there is one that may be sent requests now."""
        key_range = self._ownership.range_of(service, key)
        if key_range is None or not key_range.live:
            return None
        server = self._registry.get(key_range.owner[0])
        if (
            server is None
            or server.incarnation != key_range.owner
            or not self._may_get_requests(server)
        ):
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
                OWNER_RETRY_AFTER_S,
            )
        choice = choose_server([candidate], self._constraints(request, now), now, self._random)
        if isinstance(choice, PlacementRefusal):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{name}, which owns key {key}, has no room',
                choice.retry_after_s,
            )
        return choice

    def _may_get_requests(self, server: BackendServer) -> bool:
        return self._registry.unusable_for_s(server.name) < self._leaving_grace_s

    def _constraints(self, request: RequestState, now: float) -> RequestConstraints:
        return RequestConstraints(
            self._data_centre,
            request.route.target_latency_s,
            request.deadline - now,
            len(request.incoming.body),
        )

    def _may_retry(self, request: RequestState, result: AttemptResult) -> bool:
        """Whether another attempt may follow a failed one.

        Spends the retry budget, unless nothing was sent.
        """
        if request.abandoned:
            return False
        if result.outcome is Outcome.NOT_SENT:
            return request.failed_connect_count < MAX_CONNECT_ATTEMPTS
        if result.outcome is Outcome.SHED_WITH_ROOM and request.key is not None:
            # The same server may accept it now. It is no further server, so the route's
            # maximum number of servers does not apply.
            return request.attempt_count < MAX_SHED_ATTEMPTS and self._fleet.try_spend_retry(
                request.service
            )
        if request.attempt_count >= request.route.max_attempts:
            return False
        if result.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            if request.route.kind is not RequestKind.IDEMPOTENT:
                return False
        elif result.outcome is Outcome.NOT_RUN and request.key is not None:
            # The only server that may run it has no free capacity.
            return False
        return self._fleet.try_spend_retry(request.service)

    def _finish_failed(self, request: RequestState, result: AttemptResult) -> Reply:
        if result.outcome is Outcome.FAILED and result.answer is not None:
            return self._pass_on_answer(request, result.answer, 'failed by its server')
        if request.may_have_run:
            return self._refuse(
                request, Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, result.reason)
            )
        retry_after_s = max(0.1, request.route.target_latency_s / 4)
        return self._refuse(
            request, Refusal(ResultCode.SHED, Ran.NO, result.reason, retry_after_s)
        )

    def _finish_timed_out(self, request: RequestState) -> Reply:
        if request.may_have_run:
            detail = 'no answer within the time of the route or the caller'
            return self._refuse(
                request, Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)
            )
        return self._refuse(
            request,
            Refusal(ResultCode.DEADLINE_UNREACHABLE, Ran.NO, 'not sent within its time', 0.1),
        )

    def _finish_answered(
        self, request: RequestState, answer: Answer, server: BackendServer
    ) -> Reply:
        return self._pass_on_answer(request, answer, 'answered')

    def _pass_on_answer(self, request: RequestState, answer: Answer, outcome: str) -> Reply:
        now = self._clock.monotonic()
        took_s = now - request.incoming.received_at
        if outcome == 'answered' and took_s > request.route.target_latency_s:
            outcome = 'answered late'
        if (
            outcome == 'answered'
            and request.attempt_count == 1
            and not request.failed_connect_count
        ):
            self._request_log.count_success(request.trace)
        else:
            self._request_log.log_request(request.trace, outcome, '', status=answer.status)
        self._metrics.count_request(request.route.name, outcome, took_s)
        return Reply(
            answer.status, self._dialect.build_answer_headers(answer.headers), answer.body
        )

    def _refuse(self, request: RequestState, refusal: Refusal) -> Reply:
        now = self._clock.monotonic()
        self._request_log.log_request(
            request.trace,
            'refused',
            f'{int(refusal.code)} {title(refusal.code)}',
            code=int(refusal.code),
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
        )
        took_s = now - request.incoming.received_at
        self._metrics.count_request(
            request.trace.route, f'refused {int(refusal.code)}', took_s
        )
        return render_refusal(refusal, request.request_id)
