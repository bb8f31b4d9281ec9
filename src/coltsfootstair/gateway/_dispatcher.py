"""Finds the route and a backend server of a request, sends it, and returns the reply."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from coltsfootstair.crashes import TRIAL_INTERVAL_S, Verdict
from coltsfootstair.gateway._attempts import add_account, decode_account
from coltsfootstair.gateway._grace_time import GraceTime
from coltsfootstair.gateway._headers import (
    ACCOUNT_HEADER,
    WORKSPACE_HEADER,
    build_relayed_answer_headers,
    select_callers_headers,
)
from coltsfootstair.gateway._leaving import LeavingOwners
from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._relay import (
    HelperGate,
    RelayClient,
    RelayResult,
    charge_relayed,
)
from coltsfootstair.gateway._sender import (
    ANSWER_MARGIN_S,
    AttemptResult,
    Outcome,
    RequestState,
    Sender,
)
from coltsfootstair.gateway._trace import RequestLog, RequestTrace
from coltsfootstair.http1 import Answer, Reply, find_first_value
from coltsfootstair.permits import Denial
from coltsfootstair.placement import (
    MAX_REQUESTS_PER_SLOT,
    MIN_RETRY_AFTER_S,
    AdmissionGate,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    UrgencyGate,
    choose_server,
    compute_caller_retry_after_s,
)
from coltsfootstair.results import Ran, Refusal, ResultCode, title
from coltsfootstair.routes import UNCONFIRMED_RETRY_S, RequestKind
from coltsfootstair.workspaces import Workspace

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._attempts import AttemptAccount
    from coltsfootstair.gateway._fleet import Fleet
    from coltsfootstair.gateway._types import CallerFacts, Dialect
    from coltsfootstair.gateway._workspace_admission import WorkspaceAdmission
    from coltsfootstair.http1 import Address, ConnectionPool, IncomingRequest
    from coltsfootstair.keyspace import OwnershipView
    from coltsfootstair.metrics import GatewayMetrics
    from coltsfootstair.placement import Candidate
    from coltsfootstair.registry import BackendServer, Registry
    from coltsfootstair.routes import Route, RouteTable

__all__ = ['Dispatcher']

MAX_WAIT_SHARE = 0.5
"""Share of the target latency for which a request waits while its key is moving or a server
without a fresh load report has no room. A move and a first answer each take about as long as
one request."""

UNUSABLE_OWNER_GRACE_SHARE = 0.15
"""Share of the drain time for which an owner that is draining or evacuated still gets the
requests of its keys while they are moved. Most of the drain time may have passed before this
daemon learns of it."""

MAX_FAILED_CONNECT_COUNT = 3
"""Number of failed connection attempts after which a request is refused."""

OWNER_RETRY_AFTER_S = 0.4
"""Retry-After of a request whose key has no owner or an overloaded one, in seconds."""

CAPACITY_POLL_S = 0.02
"""Interval at which a waiting request checks whether a server has room, in seconds; shorter
than the shortest usual service time."""

MAX_OWNER_ATTEMPTS = 4
"""Number of attempts after which a request is no longer retried at its key's owner when the
owner sheds it although it has free slots."""

MAX_ENDED_EXCHANGES = 2
"""Number of servers that may close the connection on one request before its retries end."""

OWNERSHIP_UPDATE_WAIT_S = 0.1
"""How long a request waits for a new key table, in seconds, after the server that it was sent
to has answered that it doesn't own the key."""


class Dispatcher:
    """Handles the requests of one daemon.

    :param get_route_table: returns the routes in force; ``None`` before the first
        configuration
    :param get_admitted_share_by_server: returns, for each overloaded owner, the share of its
        requests that daemons let pass
    :param drain_s: how long a draining server may still be sent requests, in seconds
    :param workspace_admission: identifies the workspaces of requests, and keeps their limits
    :param get_helpers: returns where daemons that reach backend servers take requests of
        others, if this one is cut off from them
    :param may_deny: returns whether a request may be denied for what the configuration in
        force lacks
    :param describe_evidence: says how old the evidence is that the configuration in force is
        the latest one, for people
    :param get_servers_age_s: returns the time since the known entries of backend servers were
        known to be complete, in seconds
    :param grace_time: decides what is begun while the daemon stops; by default it does not
    :param wait_for_suspects: waits until requests that end servers are known from the store,
        or could not be read there; not for long
    """

    def __init__(
        self,
        dialect: Dialect,
        get_route_table: Callable[[], RouteTable | None],
        registry: Registry,
        ownership: OwnershipView,
        fleet: Fleet,
        pool: ConnectionPool,
        clock: Clock,
        random_source: random.Random,
        data_centre: str,
        metrics: GatewayMetrics,
        request_log: RequestLog,
        get_admitted_share_by_server: Callable[[], dict[str, float]],
        drain_s: float,
        workspace_admission: WorkspaceAdmission,
        get_helpers: Callable[[], list[Address]] = list,
        may_deny: Callable[[], bool] = lambda: True,
        describe_evidence: Callable[[], str] = str,
        get_servers_age_s: Callable[[], float] = lambda: 0.0,
        grace_time: GraceTime | None = None,
        wait_for_suspects: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._dialect = dialect
        self._get_route_table = get_route_table
        self._registry = registry
        self._ownership = ownership
        self._fleet = fleet
        self._unusable_owner_grace_s = UNUSABLE_OWNER_GRACE_SHARE * drain_s
        self._grace_time = grace_time or GraceTime(clock)
        self._sender = Sender(
            dialect,
            registry,
            fleet,
            pool,
            clock,
            self._unusable_owner_grace_s,
            self._grace_time,
            metrics.count_late_send,
        )
        self._clock = clock
        self._random = random_source
        self._data_centre = data_centre
        self._metrics = metrics
        self._request_log = request_log
        self._timeouts: set[asyncio.Timeout] = set()
        self._active_requests: dict[int, RequestState] = {}
        self._leaving_owners = LeavingOwners(registry, ownership, clock)
        self._relay_client = RelayClient(dialect, pool, clock, random_source, get_helpers)
        self._helper_gate = HelperGate(lambda: len(self._active_requests))
        self._workspace_admission = workspace_admission
        self._may_deny = may_deny
        self._describe_evidence = describe_evidence
        self._get_servers_age_s = get_servers_age_s
        self._wait_for_suspects = wait_for_suspects
        self._urgency = UrgencyGate()
        self._admission = AdmissionGate(get_admitted_share_by_server, clock)

    def find_route(self, incoming: IncomingRequest) -> Route | None:
        """Return the route of a request, or ``None``."""
        route_table = self._get_route_table()
        host = find_first_value(incoming.headers, b'host')
        if route_table is None or host is None:
            return None
        return route_table.find(host, incoming.path)

    async def handle(self, incoming: IncomingRequest) -> Reply:
        """Return the reply to one request in time for its caller's deadline."""
        facts = self._dialect.parse_caller_headers(incoming.headers)
        request = self._start_request(incoming, facts)
        refusal = (
            self._prepare(request, facts.timeout_s)
            or self._workspace_admission.identify(request, facts.workspace_key)
            or await self._workspace_admission.admit(request)
        )
        if refusal is not None:
            return self._refuse(request, refusal)
        self._fleet.record_request(request.service, request.key)
        return await self._handle_prepared(request)

    async def handle_relayed(self, incoming: IncomingRequest) -> Reply:
        """Return the reply to a request that another daemon sends for its caller.

        That daemon has counted it, and admitted it for its workspace.
        """
        facts = self._dialect.parse_caller_headers(incoming.headers)
        request = self._start_request(incoming, facts)
        request.is_relayed = True
        workspace_name = find_first_value(incoming.headers, WORKSPACE_HEADER)
        if workspace_name is not None:
            request.workspace = Workspace(workspace_name.decode())
        account = decode_account(find_first_value(incoming.headers, ACCOUNT_HEADER))
        reply = await self._help(request, facts.timeout_s, account)
        return add_account(reply, request, is_asked_for=account is not None)

    async def _help(
        self,
        request: RequestState,
        caller_timeout_s: float | None,
        account: AttemptAccount | None,
    ) -> Reply:
        service = '' if account is None else account.service
        refusal = self._prepare(request, caller_timeout_s, service)
        if refusal is not None:
            return self._refuse(request, refusal)
        if account is None:
            # A daemon of an earlier version may have sent it itself.
            request.attempt_limit = max(1, request.route.max_attempts - 1)
        else:
            request.attempt_limit = account.attempt_count + 1
            request.attempt_count = account.attempt_count
            request.ended_exchange_count = account.ended_exchange_count
            request.tried_servers.update(account.tried_servers)
            request.is_trial = account.is_trial
        if not self._helper_gate.has_room():
            self._metrics.count_relay('helper full')
            detail = 'as many requests of other daemons as may be handled'
            return self._refuse(request, Refusal(ResultCode.OVERLOADED, Ran.NO, detail, 0.2))
        self._metrics.count_relay('helped')
        self._helper_gate.helped_count += 1
        try:
            return await self._handle_prepared(request)
        finally:
            self._helper_gate.helped_count -= 1

    @staticmethod
    def _start_request(incoming: IncomingRequest, facts: CallerFacts) -> RequestState:
        trace = RequestTrace(facts.request_id, incoming.received_at)
        request = RequestState(incoming, facts.request_id, trace)
        request.key = facts.key
        return request

    async def _handle_prepared(self, request: RequestState) -> Reply:
        self._rank(request)
        incoming = request.incoming
        remaining_s = request.times_out_at - self._clock.monotonic()
        self._active_requests[id(incoming)] = request
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                self._timeouts.add(timeout)
                try:
                    return await self._send_until_final(request)
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

    def _rank(self, request: RequestState) -> None:
        """Set the urgency of a request, and decide which queues it may join.

        Only its owner may run a request with a key, whatever is short elsewhere.
        """
        workspace = request.workspace
        request.priority = request.route.priority
        if workspace is not None and workspace.priority is not None:
            request.priority = workspace.priority
        if request.key is None:
            request.queue_limit = self._urgency.choose_queue_limit(
                request.service, request.priority, self._clock.monotonic()
            )

    def caller_left(self, incoming: IncomingRequest) -> bool:
        """Record that a request's caller has left; return whether the request must continue.

        If not, the connection cancels it. A request that may run at most once and may have run
        continues, so that its outcome is known and logged, but it is not sent again.
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
            # One that has expired, and whose request does not know yet, can't be changed.
            if not timeout.expired():
                timeout.reschedule(now)

    def _prepare(
        self,
        request: RequestState,
        caller_timeout_s: float | None,
        chosen_service: str = '',
    ) -> Refusal | None:
        """Set the route, service, policy and timeout of a request.

        Returns the refusal of a request that has no route or lacks its key.

        :param chosen_service: service that another daemon has chosen for it; empty if none has
        """
        route_table = self._get_route_table()
        if route_table is None:
            return Refusal(
                ResultCode.DOCUMENT_STALE, Ran.NO, 'no configuration is known yet', 1.0
            )
        route = self.find_route(request.incoming)
        if route is None:
            return self._deny(ResultCode.UNKNOWN_ROUTE, 'no route', route_table)
        request.route_table = route_table
        request.route = route
        is_chosen = any(
            weighted.service == chosen_service for weighted in route.weighted_services
        )
        request.service = chosen_service if is_chosen else route_table.choose_service(route)
        request.policy = route_table.configuration.policy_by_service[request.service]
        request.trace.route = route.name
        request.trace.service = request.service
        timeout_s = (
            route.timeout_s
            if caller_timeout_s is None
            else min(caller_timeout_s, route.timeout_s)
        )
        request.times_out_at = request.incoming.received_at + timeout_s - ANSWER_MARGIN_S
        if not request.policy.divided_by_key:
            request.key = None
        elif request.key is None:
            detail = f'{request.service} is divided by key'
            return self._deny(ResultCode.KEY_MISSING, detail, route_table)
        return None

    def _deny(self, code: ResultCode, detail: str, route_table: RouteTable) -> Refusal:
        """Return the refusal of a request that the configuration in force does not allow.

        Only the latest version can tell that; without evidence the caller is told to come
        back.
        """
        version = route_table.configuration.version
        detail = f'{detail} in version {version:08x}, {self._describe_evidence()}'
        if self._may_deny():
            return Refusal(code, Ran.NO, detail)
        return Refusal(
            ResultCode.CONFIGURATION_NOT_CONFIRMED, Ran.NO, detail, UNCONFIRMED_RETRY_S
        )

    async def _send_until_final(self, request: RequestState) -> Reply:
        """Make attempts until one is answered or no further one is allowed."""
        while True:
            choice: Placement | Refusal | None = self._grace_time.refuse(
                self._fleet.get_mean_service_time_s(request.service)
            ) or await self._judge_suspect(request)
            if choice is None and self._should_relay(request):
                relayed = await self._relay(request)
                if isinstance(relayed, Reply):
                    return relayed
                if relayed is not None:
                    if not self._try_retry(request, relayed):
                        return self._finish_failed(request, relayed, None)
                    if relayed.outcome is Outcome.WRONG_SERVER:
                        await self._ownership.wait_for_change(OWNERSHIP_UPDATE_WAIT_S)
                    continue
            choice = choice or await self._choose(request)
            if isinstance(choice, Placement):
                # It may have waited for its turn, and may have to wait at the server.
                choice = self._grace_time.refuse(choice.expected_latency_s) or choice
            if isinstance(choice, Refusal):
                if request.may_have_run:
                    # An earlier attempt may have run it, so no "not run" may be promised.
                    detail = f'not sent again: {choice.detail}'
                    choice = Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, detail)
                return self._refuse(request, choice)
            server = choice.candidate.server
            now = self._clock.monotonic()
            request.trace.add_step(
                'sent',
                now,
                server=server.name,
                expected_ms=round(choice.expected_latency_s * 1000),
                occupied=round(choice.candidate.load.estimate_in_flight(now), 1),
                version=request.route_table.configuration.version,
                servers_age_ms=round(1000 * min(1e6, self._get_servers_age_s())),
            )
            result = await self._sender.send(request, server)
            if result.outcome is Outcome.ANSWERED and result.answer is not None:
                return self._finish_answered(request, result.answer, server)
            request.trace.add_step(
                'attempt failed',
                self._clock.monotonic(),
                outcome=result.outcome.value,
                reason=result.reason,
                **(
                    {'fingerprint': request.fingerprints[0].hex()}
                    if result.outcome is Outcome.UNKNOWN
                    else {}
                ),
            )
            if not self._try_retry(request, result):
                return self._finish_failed(request, result, server)
            if result.outcome is Outcome.WRONG_SERVER and request.key is not None:
                refusal = await self._wait_for_other_owner(request, request.key, server)
                if refusal is not None:
                    return self._refuse(request, refusal)

    async def _wait_for_other_owner(
        self, request: RequestState, key: int, former: BackendServer
    ) -> Refusal | None:
        """Wait for another owner of a key than a server that has said it is not its owner.

        Returns the refusal of a request that has too little time left for another attempt
        while none is known.
        """
        if self._leaving_owners.refuse(request.service, key) is not None:
            return None
        left_s = self._compute_wait_deadline(request) - self._clock.monotonic()
        if left_s > 0:
            await self._ownership.wait_for_change(min(OWNERSHIP_UPDATE_WAIT_S, left_s))
        has_time = self._compute_wait_deadline(request) > self._clock.monotonic()
        if (
            has_time
            or request.may_have_run
            or self._find_owner(request.service, key) != former
        ):
            return None
        return Refusal(
            ResultCode.NO_OWNER,
            Ran.NO,
            f'{former.name} is not the owner of key {key} of {request.service} any more',
            OWNER_RETRY_AFTER_S,
        )

    def _should_relay(self, request: RequestState) -> bool:
        """Whether a request must go through another daemon to reach a backend server."""
        paths = self._fleet.paths
        if request.is_relayed or not paths.is_cut_off:
            return False
        servers = self._registry.find_usable(request.service)
        if request.key is not None:
            owner = self._find_owner(request.service, request.key)
            servers = [] if owner is None else [owner]
        return not any(paths.is_good(server.incarnation) for server in servers)

    async def _relay(self, request: RequestState) -> Reply | AttemptResult | None:
        """Send a request through other daemons until one of them may have sent it.

        Returns the reply, or how the attempt that a daemon made has failed. Returns ``None``
        if none of them took it.
        """
        refusal: Answer | None = None
        while (helper := self._relay_client.choose_helper(request)) is not None:
            request.relay_count += 1
            request.trace.add_step('relayed', self._clock.monotonic(), helper=str(helper))
            result = await self._relay_client.send(request, helper)
            self._metrics.count_relay(result.outcome.value)
            attempt = charge_relayed(request, result)
            if result.outcome is Outcome.ANSWERED and result.answer is not None:
                return self._finish_relayed(request, result, result.answer)
            request.trace.add_step(
                'relay failed',
                self._clock.monotonic(),
                outcome=result.outcome.value,
                reason=result.reason,
                attempts=request.attempt_count,
            )
            if attempt is None or result.account is None:
                request.tried_helpers.add(helper)
            if attempt is not None:
                self._apply_word_of_leaving(result)
                return attempt
            refusal = result.answer or refusal
            if request.abandoned:
                break
        if refusal is None or request.may_have_run:
            return None
        return self._pass_on_answer(request, refusal, 'refused by another daemon')

    def _finish_relayed(
        self, request: RequestState, result: RelayResult, answer: Answer
    ) -> Reply:
        self._apply_word_of_leaving(result)
        return self._pass_on_answer(request, answer, 'answered')

    def _apply_word_of_leaving(self, result: RelayResult) -> None:
        """Note that a server leaves: who passes its word on is bound by it."""
        if result.is_server_leaving and result.server_name is not None:
            server = self._registry.get(result.server_name)
            if server is not None:
                self._registry.mark_leaving(server.incarnation)

    async def _choose(self, request: RequestState) -> Placement | Refusal:
        """Choose a server, and get a permit for it if it has named a limit."""
        while True:
            choice = (
                await self._choose_server(request)
                if request.key is None
                else await self._choose_owner(request, request.key)
            )
            if isinstance(choice, Refusal):
                return choice
            denial = await self._acquire_permit(request, choice.candidate.server)
            if denial is None:
                return choice
            if request.key is not None:
                return denial
            # Another server may take it; the denied one is left out now.

    async def _choose_server(self, request: RequestState) -> Placement | Refusal:
        wait_deadline = self._compute_wait_deadline(request)
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
            pause_wait_s = self._get_pause_wait_s(request)
            if pause_wait_s > 0:
                return self._build_pause_refusal(request, pause_wait_s)
            untried = [
                server
                for server in usable
                if server.name not in request.tried_servers
                and self._fleet.get_pause_wait_s(server) <= 0
            ]
            max_connections = request.policy.max_connections
            # If all others have been tried, any of them may be tried again.
            candidates = [
                self._fleet.make_candidate(server, max_connections)
                for server in untried or usable
            ]
            choice = choose_server(
                candidates, self._build_constraints(request, now), now, self._random
            )
            if isinstance(choice, PlacementRefusal) or choice.joins_queue(now):
                self._urgency.record_shortage(request.service, request.priority, now)
            if not isinstance(choice, PlacementRefusal):
                return choice
            # A request that yields to urgent ones waits here for its turn.
            # Without a fresh load report the limit of a server is low; a report may raise it.
            may_get_room_with_report = any(
                candidate.load.is_report_stale(now)
                and not candidate.has_room
                and candidate.pause_wait_s <= 0
                for candidate in candidates
            )
            must_yield = request.queue_limit < MAX_REQUESTS_PER_SLOT
            if not (may_get_room_with_report or must_yield) or now >= wait_deadline:
                return Refusal(
                    ResultCode.OVERLOADED,
                    Ran.NO,
                    f'{request.service}: {choice.reason}',
                    choice.retry_after_s,
                )
            await asyncio.sleep(min(wait_deadline - now, CAPACITY_POLL_S))

    async def _judge_suspect(self, request: RequestState) -> Refusal | None:
        """Return the refusal of a request under which several servers ended, if it is one.

        It is tried alone, when the keeper allows it, before it is refused for long.
        """
        if self._wait_for_suspects is not None:
            await self._wait_for_suspects()
        suspects = self._fleet.suspects
        if suspects.is_empty or request.is_trial:
            return None
        match suspects.judge(request.fingerprints):
            case Verdict.FREE:
                return None
            case Verdict.CONVICTED:
                retry_after_s = suspects.get_conviction_left_s(request.fingerprints)
            case Verdict.HELD:
                request.is_trial = await self._fleet.trials.ask(request.fingerprints[0])
                if request.is_trial:
                    return None
                retry_after_s = TRIAL_INTERVAL_S
        return Refusal(
            ResultCode.ENDS_SERVERS,
            Ran.NO,
            f'backend servers ended under request {request.fingerprints[0].hex()}',
            retry_after_s,
        )

    async def _acquire_permit(
        self, request: RequestState, server: BackendServer
    ) -> Refusal | None:
        """Get a permit if the server has named a limit; return the refusal if there is none.

        A request that only this server may run waits for a permit that begins soon.
        """
        max_wait_s = 0.0
        if request.key is not None:
            max_wait_s = MAX_WAIT_SHARE * request.route.target_latency_s
        acquired = await self._fleet.limit_gate.acquire(server.incarnation, max_wait_s)
        if isinstance(acquired, Denial):
            request.permit = None
            return Refusal(
                ResultCode.LIMITED,
                Ran.NO,
                f'{server.name} has named a limit of requests a second',
                max(MIN_RETRY_AFTER_S, acquired.retry_after_s),
            )
        request.permit = acquired
        return None

    def _compute_wait_deadline(self, request: RequestState) -> float:
        """Return until when a request may wait for an owner or for room.

        Not beyond the time at which its answer would come too late: it is refused before.
        """
        wait_s = MAX_WAIT_SHARE * request.route.target_latency_s
        latest_at = request.times_out_at - self._fleet.get_mean_service_time_s(request.service)
        return min(self._clock.monotonic() + wait_s, latest_at)

    async def _choose_owner(self, request: RequestState, key: int) -> Placement | Refusal:
        wait_deadline = self._compute_wait_deadline(request)
        while True:
            refusal = self._leaving_owners.refuse(request.service, key)
            if refusal is not None:
                return refusal
            server = self._find_owner(request.service, key)
            remaining_s = wait_deadline - self._clock.monotonic()
            if server is not None:
                candidate = self._fleet.make_candidate(server, request.policy.max_connections)
                if candidate.pause_wait_s > 0:
                    return self._build_pause_refusal(request, candidate.pause_wait_s)
                # _place_at_owner refuses the request if the owner is cold or has no room.
                if candidate.has_room or candidate.cold_wait_s > 0 or remaining_s <= 0:
                    break
                await asyncio.sleep(min(remaining_s, CAPACITY_POLL_S))
            elif remaining_s <= 0 or not await self._ownership.wait_for_change(remaining_s):
                return Refusal(
                    ResultCode.NO_OWNER,
                    Ran.NO,
                    f'key {key} of {request.service} has no owner at present',
                    OWNER_RETRY_AFTER_S,
                )
        return self._place_at_owner(request, key, candidate)

    def _find_owner(self, service: str, key: int) -> BackendServer | None:
        """Return the owner of a key, if there is one that may be sent requests now."""
        key_range = self._ownership.range_of(service, key)
        if key_range is None or not key_range.is_granted:
            return None
        server = self._registry.get(key_range.owner[0])
        if (
            server is None
            or server.incarnation != key_range.owner
            or not self._is_usable_owner(server)
        ):
            return None
        return server

    def _place_at_owner(
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
        choice = choose_server(
            [candidate], self._build_constraints(request, now), now, self._random
        )
        if isinstance(choice, PlacementRefusal):
            return Refusal(
                ResultCode.OVERLOADED,
                Ran.NO,
                f'{name}, which owns key {key}, has no room',
                choice.retry_after_s,
            )
        return choice

    def _is_usable_owner(self, server: BackendServer) -> bool:
        """Whether an owner is usable, or has been unusable for less than the grace time."""
        return self._registry.unusable_for_s(server.name) < self._unusable_owner_grace_s

    def _get_pause_wait_s(self, request: RequestState) -> float:
        """Return the seconds until the first pause of the servers that may run a request ends.

        Returns 0 if one of them has not asked for a pause.
        """
        if not self._fleet.has_pauses:
            return 0.0
        servers = self._registry.find_usable(request.service)
        if request.key is not None:
            owner = self._find_owner(request.service, request.key)
            servers = [] if owner is None else [owner]
        return min((self._fleet.get_pause_wait_s(server) for server in servers), default=0.0)

    def _build_pause_refusal(self, request: RequestState, pause_wait_s: float) -> Refusal:
        paused = (
            f'{request.service}: all backend servers have'
            if request.key is None
            else f'the owner of key {request.key} of {request.service} has'
        )
        return Refusal(
            ResultCode.PAUSED,
            Ran.NO,
            f'{paused} asked for a pause, {pause_wait_s:.2f} s are left',
            compute_caller_retry_after_s(pause_wait_s, self._random.random()),
        )

    def _build_constraints(self, request: RequestState, now: float) -> RequestConstraints:
        return RequestConstraints(
            self._data_centre,
            request.route.target_latency_s,
            request.times_out_at - now,
            len(request.incoming.body),
            # Only its owner may run a request with a key; its limit is checked last.
            0.0 if request.key is None else math.inf,
            request.queue_limit,
        )

    def _try_retry(self, request: RequestState, result: AttemptResult) -> bool:
        """Return whether another attempt may follow a failed one.

        Spends a retry of the budget for it, unless nothing was sent.
        """
        if request.abandoned:
            return False
        # A key that the server does not own may have an owner that is not paused.
        if result.outcome is not Outcome.WRONG_SERVER and self._get_pause_wait_s(request) > 0:
            return False
        if result.outcome is Outcome.NOT_SENT:
            return request.failed_connect_count < MAX_FAILED_CONNECT_COUNT
        limit = request.attempt_limit
        if limit is not None and request.attempt_count >= limit:
            return False
        if result.outcome is Outcome.SHED_WITH_FREE_SLOTS and request.key is not None:
            # The retry goes to the same server, which may accept it now. Route.max_attempts
            # does not apply, since it is meant for retries at other servers.
            return request.attempt_count < MAX_OWNER_ATTEMPTS and self._fleet.try_spend_retry(
                request.service
            )
        if request.attempt_count >= request.route.max_attempts:
            return False
        if result.is_server_ended and (
            request.ended_exchange_count >= MAX_ENDED_EXCHANGES
            or self._fleet.suspects.has_crashes(request.fingerprints)
        ):
            return False
        if result.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            if request.route.kind is not RequestKind.IDEMPOTENT:
                return False
        elif result.outcome is Outcome.NOT_RUN and request.key is not None:
            # The owner, which alone may run it, has refused it.
            return False
        return self._fleet.try_spend_retry(request.service)

    def _finish_failed(
        self, request: RequestState, result: AttemptResult, server: BackendServer | None
    ) -> Reply:
        """Return the final reply after an attempt that failed.

        :param server: to which the request was sent; ``None`` if another daemon sent it
        """
        if result.outcome is Outcome.FAILED and result.answer is not None:
            return self._pass_on_answer(request, result.answer, 'failed by its server', server)
        if request.may_have_run:
            return self._refuse(
                request, Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, result.reason)
            )
        if server is None and result.answer is not None:
            return self._pass_on_answer(request, result.answer, 'refused by another daemon')
        if request.key is not None:
            refusal = self._leaving_owners.refuse(request.service, request.key)
            if refusal is not None:
                return self._refuse(request, refusal)
        pause_wait_s = self._get_pause_wait_s(request)
        if pause_wait_s > 0:
            return self._refuse(request, self._build_pause_refusal(request, pause_wait_s))
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
        return self._pass_on_answer(request, answer, 'answered', server)

    def _pass_on_answer(
        self,
        request: RequestState,
        answer: Answer,
        outcome: str,
        server: BackendServer | None = None,
    ) -> Reply:
        now = self._clock.monotonic()
        took_s = now - request.incoming.received_at
        if outcome == 'answered' and took_s > request.route.target_latency_s:
            outcome = 'answered late'
        if (
            outcome == 'answered'
            and request.attempt_count == 1
            and not request.failed_connect_count
            and not request.relay_count
        ):
            self._request_log.count_success(request.trace)
        else:
            self._request_log.log_request(request.trace, outcome, '', status=answer.status)
        self._metrics.count_request(request.route.name, outcome, took_s)
        headers = self._dialect.build_answer_headers(select_callers_headers(answer.headers))
        if request.is_relayed and server is not None:
            is_leaving = self._registry.is_leaving(server.incarnation)
            headers = [
                *headers,
                *build_relayed_answer_headers(
                    server.name, request.request_id, is_leaving=is_leaving
                ),
            ]
        return Reply(answer.status, headers, answer.body)

    def _refuse(self, request: RequestState, refusal: Refusal) -> Reply:
        now = self._clock.monotonic()
        self._workspace_admission.on_refused(request, refusal)
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
        # A refused request may have no route yet; the trace then has an empty name.
        self._metrics.count_request(
            request.trace.route, f'refused {int(refusal.code)}', took_s
        )
        return render_refusal(refusal, request.request_id)
