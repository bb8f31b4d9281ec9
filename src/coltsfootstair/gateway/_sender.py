"""Sends a request to one backend server and classifies the answer."""

from __future__ import annotations

import asyncio
import enum
import functools
from typing import TYPE_CHECKING, Any, NamedTuple

from coltsfootstair.crashes import EndedExchange, compute_fingerprints
from coltsfootstair.gateway._headers import select_callers_headers
from coltsfootstair.gateway._leaving import HeadObserver
from coltsfootstair.http1 import Answer, BrokenExchangeError, find_first_value
from coltsfootstair.placement import MAX_REQUESTS_PER_SLOT
from coltsfootstair.routes import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._fleet import Fleet
    from coltsfootstair.gateway._grace_time import GraceTime
    from coltsfootstair.gateway._trace import RequestTrace
    from coltsfootstair.gateway._types import Dialect
    from coltsfootstair.http1 import (
        Address,
        Connection,
        ConnectionPool,
        Headers,
        IncomingRequest,
    )
    from coltsfootstair.permits import Permit
    from coltsfootstair.placement import Pause
    from coltsfootstair.registry import BackendServer, Registry
    from coltsfootstair.routes import Route, RouteTable, ServicePolicy
    from coltsfootstair.workspaces import Workspace

__all__ = ['ANSWER_MARGIN_S', 'AttemptResult', 'Outcome', 'RequestState', 'Sender']

MAX_CONNECT_TIMEOUT_S = 0.4
"""Maximum time to open a connection, in seconds; many times the network delay between data
centres, and less than the time until TCP first retransmits a lost packet."""

CONNECT_TIMEOUT_SHARE = 0.25
"""Share of a request's remaining time that opening a connection may take, so that there is
time for another server."""

MIN_CONNECT_TIMEOUT_S = 0.05
"""Minimum of the time limit for opening a connection, in seconds; several times the network
delay between data centres."""

AT_MOST_ONCE_MAX_IDLE_SHARE = 0.5
"""Maximum age of an idle connection for a request that may run at most once, as a share of the
pool's maximum idle time. Servers may close idle connections at any time, and such a request
can't be retried once it may have run."""

PROBE_DELAY_S = 0.05
"""Time from the end of an exchange to the connection that tells whether its server has ended,
in seconds. The sockets of a process that ends close one after the other."""

HELD_UP_AFTER_S = 0.35
"""Time without an acknowledgement of the server's TCP after which its path counts as lost, in
seconds: TCP repeats a lost packet after 0.2 s, many times the delay between data centres."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest status that reports a failure of the server."""

ANSWER_MARGIN_S = 0.03
"""How long before the caller's deadline a request times out here, in seconds, so that the
reply reaches the caller in time."""


class Outcome(enum.Enum):
    """Outcome of one attempt.

    - ``NOT_SENT``: nothing was sent, since there was no connection or it was closed before, or
      the server has asked for a pause meanwhile.
    - ``NOT_RUN``: the server states that it did not run the request.
    - ``SHED_WITH_FREE_SLOTS``: the same, although the server's load report shows free slots.
    - ``WRONG_SERVER``: the server at the address is another one, or does not own the key.
    - ``UNKNOWN``: sent, but there was no valid answer; the request may have run.
    - ``FAILED``: a valid answer with a status of 500 or above; the request may have run.
    - ``ANSWERED``: any other valid answer.
    """

    NOT_SENT = 'not sent'
    NOT_RUN = 'not run'
    SHED_WITH_FREE_SLOTS = 'not run, though there was room'
    WRONG_SERVER = 'wrong server'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    ANSWERED = 'answered'


OUTCOMES_NOT_RUN = frozenset(
    {Outcome.NOT_RUN, Outcome.SHED_WITH_FREE_SLOTS, Outcome.WRONG_SERVER}
)
"""Outcomes after which the backend server has stated that the request did not run."""


class AttemptResult(NamedTuple):
    """Outcome of one attempt, with the answer if there is one and the reason of a failure.

    :param is_server_ended: whether the server closed the connection without an answer
    """

    outcome: Outcome
    answer: Answer | None
    reason: str = ''
    is_server_ended: bool = False


class RequestState:
    """State of one request while it is handled.

    :ivar tried_servers: names of the backend servers that it has been sent to
    :ivar attempt_count: number of times that it was sent to a backend server, or was given to
        another daemon that may have sent it
    :ivar attempt_limit: number of times after which it is not sent again, if its route allows
        more
    :ivar last_outcome: of the last time that it was sent to a backend server
    :ivar ended_exchange_count: number of attempts in which the server closed the connection
    :ivar failed_connect_count: number of attempts for which no connection could be opened
    :ivar may_have_run: whether a backend server may have run it
    :ivar abandoned: whether its caller has left
    :ivar is_relayed: whether another daemon has sent it for its caller
    :ivar relay_count: number of times that it was given to another daemon
    :ivar tried_helpers: other daemons that are not asked again for it
    :ivar is_trial: whether it is tried alone, since several servers ended under it
    :ivar permit: allows the next attempt if its server has named a limit
    :ivar workspace: to which it belongs, if it has one
    :ivar workspace_permit: allows it if its workspace has a limit
    :ivar priority: its urgency; 0 is the most urgent
    :ivar queue_limit: requests per slot from which it joins no queue of a server
    :ivar times_out_at: monotonic time at which it times out here, ``ANSWER_MARGIN_S`` before
        the caller's deadline
    """

    __slots__ = (
        '_fingerprints',
        'abandoned',
        'attempt_count',
        'attempt_limit',
        'ended_exchange_count',
        'failed_connect_count',
        'incoming',
        'is_relayed',
        'is_trial',
        'key',
        'last_outcome',
        'may_have_run',
        'permit',
        'policy',
        'priority',
        'queue_limit',
        'relay_count',
        'request_id',
        'route',
        'route_table',
        'service',
        'times_out_at',
        'trace',
        'tried_helpers',
        'tried_servers',
        'workspace',
        'workspace_permit',
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
        self.attempt_limit: int | None = None
        self.last_outcome: Outcome | None = None
        self.failed_connect_count = 0
        self.may_have_run = False
        self.abandoned = False
        self.ended_exchange_count = 0
        self.is_trial = False
        self.is_relayed = False
        self.relay_count = 0
        self.tried_helpers: set[Address] = set()
        self.permit: Permit | None = None
        self.workspace: Workspace | None = None
        self.workspace_permit: Permit | None = None
        self.priority = 0
        self.queue_limit = MAX_REQUESTS_PER_SLOT
        self.times_out_at = 0.0
        self.route_table: RouteTable
        self.route: Route
        self.policy: ServicePolicy
        self.service = ''
        self._fingerprints: tuple[bytes, bytes] | None = None

    @property
    def fingerprints(self) -> tuple[bytes, bytes]:
        """Recognize repeats of the request; computed when first needed."""
        if self._fingerprints is None:
            incoming = self.incoming
            self._fingerprints = compute_fingerprints(
                find_first_value(incoming.headers, b'host') or b'',
                incoming.method,
                incoming.target,
                self.key,
                incoming.body,
                incoming.caller,
            )
        return self._fingerprints


class Sender:
    """Sends requests over idle or new connections and classifies the answers.

    :param unusable_owner_grace_s: how long an owner that is draining or evacuated still gets
        the requests of its keys, in seconds
    :param grace_time: decides what is begun while the daemon stops
    :param count_late_send: called with the reason of each request that might arrive after its
        server has left
    """

    def __init__(
        self,
        dialect: Dialect,
        registry: Registry,
        fleet: Fleet,
        pool: ConnectionPool,
        clock: Clock,
        unusable_owner_grace_s: float,
        grace_time: GraceTime,
        count_late_send: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._pool = pool
        self._clock = clock
        self._unusable_owner_grace_s = unusable_owner_grace_s
        self._grace_time = grace_time
        self._count_late_send = count_late_send
        self._registry = registry
        self._paths = fleet.paths
        self._suspects = fleet.suspects
        self._crash_evidence = fleet.crash_evidence
        self._probe_by_incarnation: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._limits = fleet.limits
        self._limit_gate = fleet.limit_gate
        self._head_observer = HeadObserver(dialect, registry, fleet.limits)

    async def send(self, request: RequestState, server: BackendServer) -> AttemptResult:
        """Send a request to ``server`` and return the outcome."""
        counted_in = self._fleet.record_sent(server)
        try:
            result = await self._exchange(request, server, counted_in)
        finally:
            self._fleet.record_ended(server, counted_in)
        if result.outcome is not Outcome.NOT_SENT:
            request.last_outcome = result.outcome
        return result

    async def _exchange(
        self, request: RequestState, server: BackendServer, counted_in: Pause | None
    ) -> AttemptResult:
        estimate = self._fleet.get_load_estimate(server)
        try:
            connection = await self._get_connection(request, server)
        except BrokenExchangeError as error:
            if error.refused:
                self._crash_evidence.on_ended(server.incarnation)
            request.failed_connect_count += 1
            self._paths.record_failure(server.incarnation, 'no connection')
            estimate.on_no_answer(self._clock.monotonic())
            return AttemptResult(Outcome.NOT_SENT, None, str(error))
        if not self._fleet.may_send(server, counted_in):
            # The pause began while the connection was being opened.
            self._pool.release(connection)
            return AttemptResult(Outcome.NOT_SENT, None, 'the server has asked for a pause')
        if not self._limit_gate.may_send(server.incarnation, request.permit):
            # The limit was named or lowered, or the permit expired, while it was opened.
            self._pool.release(connection)
            return AttemptResult(Outcome.NOT_SENT, None, 'the server has named a limit')
        if not self._may_reach(request, server):
            # It began to leave while the request waited for a permit or a connection.
            connection.close()
            return AttemptResult(Outcome.NOT_SENT, None, f'{server.name} is leaving')
        if not self._grace_time.has_time_for(estimate.mean_service_time_s):
            # Too much of the grace time has passed while a connection was opened.
            self._pool.release(connection)
            return AttemptResult(Outcome.NOT_SENT, None, 'the daemon stops')
        request.attempt_count += 1
        request.tried_servers.add(server.name)
        may_have_run_before = request.may_have_run
        request.may_have_run = True
        incoming = request.incoming
        started_at = self._clock.monotonic()
        unusable_s = self._registry.unusable_for_s(server.name)
        if unusable_s > 0:
            self._record_late_send(request, 'unusable server', server, unusable_s=unusable_s)
        headers = self._dialect.build_request_headers(
            select_callers_headers(incoming.headers),
            request.times_out_at + ANSWER_MARGIN_S - started_at,
            server,
            None if request.workspace is None else request.workspace.name,
        )
        if incoming.body or find_first_value(incoming.headers, b'content-length') is not None:
            headers.append((b'Content-Length', str(len(incoming.body)).encode()))
        held_up_check = asyncio.get_running_loop().call_later(
            HELD_UP_AFTER_S, self._check_held_up, server, connection
        )
        request_line = incoming.method + b' ' + incoming.target + b' HTTP/1.1'
        try:
            answer = await connection.exchange(
                request_line,
                headers,
                incoming.body,
                expected_id=request.request_id,
                on_head=functools.partial(self._on_head, server, request.key is not None),
            )
        except asyncio.CancelledError:
            now = self._clock.monotonic()
            if connection.unacknowledged_bytes:
                self._record_late_send(
                    request,
                    'held up',
                    server,
                    unacknowledged_bytes=connection.unacknowledged_bytes,
                )
            # A shorter wait than expected says nothing about the server.
            if now - started_at > estimate.estimate_latency_s(now):
                estimate.on_no_answer(now)
            raise
        except BrokenExchangeError as error:
            estimate.on_no_answer(self._clock.monotonic())
            self._paths.record_failure(server.incarnation, 'connection ended')
            if not error.sent:
                request.may_have_run = may_have_run_before
                request.attempt_count -= 1
                return AttemptResult(Outcome.NOT_SENT, None, str(error))
            if error.closed_by_server:
                request.ended_exchange_count += 1
                if self._registry.is_usable(server.name):
                    self._hold_ended_exchange(request, server, started_at)
            return AttemptResult(
                Outcome.UNKNOWN, None, str(error), is_server_ended=error.closed_by_server
            )
        finally:
            held_up_check.cancel()
        result = self._classify_answer(request, answer, server, started_at)
        if result.outcome in OUTCOMES_NOT_RUN:
            request.may_have_run = may_have_run_before
            connection.record_refusal()
        self._pool.release(connection)
        return result

    def _may_reach(self, request: RequestState, server: BackendServer) -> bool:
        """Whether a request may be sent now, by the server's own word and by its entry."""
        known = self._registry.get(server.name)
        if (
            self._registry.is_leaving(server.incarnation)
            or known is None
            or known.incarnation != server.incarnation
        ):
            return False
        unusable_s = self._registry.unusable_for_s(server.name)
        return unusable_s == 0 or (
            request.key is not None and unusable_s < self._unusable_owner_grace_s
        )

    def _record_late_send(
        self, request: RequestState, reason: str, server: BackendServer, **fields: Any
    ) -> None:
        """Count a request that might arrive after its server has left, and say so in its log.

        :param fields: for how long the server has been unusable, or what was held up
        """
        self._count_late_send(reason)
        now = self._clock.monotonic()
        request.trace.add_step('late send', now, reason=reason, server=server.name, **fields)

    def _on_head(
        self, server: BackendServer, has_key: bool, status: int, headers: Headers, is_own: bool
    ) -> None:
        self._paths.record_answer(server.incarnation)
        self._head_observer.on_head(server, has_key, status, headers, is_own=is_own)

    def _check_held_up(self, server: BackendServer, connection: Connection) -> None:
        """Record a path as lost if the server's TCP does not acknowledge a request."""
        if connection.count_unacknowledged_bytes():
            self._paths.record_failure(server.incarnation, 'not acknowledged')

    async def _get_connection(
        self, request: RequestState, server: BackendServer
    ) -> Connection:
        is_idempotent = request.route.kind is RequestKind.IDEMPOTENT
        # Only the first answer on a connection can be believed without an id.
        if request.request_id:
            idle_connection = self._pool.take_idle(
                server.address,
                max_idle_share=1.0 if is_idempotent else AT_MOST_ONCE_MAX_IDLE_SHARE,
                unless_refused_id=request.request_id,
            )
            if idle_connection is None and is_idempotent:
                # A wrong refusal costs it less than a busy server's reset of a new connection.
                idle_connection = self._pool.take_idle(server.address)
            if idle_connection is not None:
                return idle_connection
        remaining_s = request.times_out_at - self._clock.monotonic()
        timeout_s = max(
            MIN_CONNECT_TIMEOUT_S,
            min(MAX_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_SHARE * remaining_s),
        )
        return await self._pool.open(server.address, timeout_s)

    def _hold_ended_exchange(
        self, request: RequestState, server: BackendServer, sent_at: float
    ) -> None:
        exchange = EndedExchange(
            request.fingerprints, sent_at, self._clock.monotonic(), request.is_trial
        )
        self._crash_evidence.add(server.incarnation, exchange)
        if server.incarnation not in self._probe_by_incarnation:
            probe = asyncio.create_task(self._probe(server))
            self._probe_by_incarnation[server.incarnation] = probe

    async def _probe(self, server: BackendServer) -> None:
        """Open a connection, which a server that has ended refuses."""
        try:
            await asyncio.sleep(PROBE_DELAY_S)
            self._pool.release(await self._pool.open(server.address, MAX_CONNECT_TIMEOUT_S))
        except BrokenExchangeError as error:
            if error.refused:
                self._crash_evidence.on_ended(server.incarnation)
        finally:
            del self._probe_by_incarnation[server.incarnation]

    def _classify_answer(
        self, request: RequestState, answer: Answer, server: BackendServer, started_at: float
    ) -> AttemptResult:
        """Classify an answer, and apply what it tells about the server's load."""
        now = self._clock.monotonic()
        estimate = self._fleet.get_load_estimate(server)
        facts = self._dialect.parse_answer(answer)
        if facts.load is not None:
            estimate.apply_report(facts.load, now)
        estimate.on_any_answer(now)
        self._fleet.apply_retry_after(server, facts)
        if (
            (facts.has_signature_header or facts.says_not_run)
            and not facts.is_wrong_server
            and not facts.names_limit
        ):
            self._limits.end(server.incarnation)
        if not facts.is_wrong_server:
            self._crash_evidence.on_answer(server.incarnation, started_at)
        if facts.is_wrong_server:
            return AttemptResult(Outcome.WRONG_SERVER, answer, f'status {answer.status}')
        if facts.says_not_run:
            estimate.on_failure(now)
            had_free_slot = facts.load is not None and facts.load.running < facts.load.slots
            outcome = Outcome.SHED_WITH_FREE_SLOTS if had_free_slot else Outcome.NOT_RUN
            return AttemptResult(outcome, answer, f'status {answer.status}')
        if (
            not facts.has_signature_header
            or find_first_value(answer.headers, b'content-encoding') is not None
        ):
            estimate.on_failure(now)
            return AttemptResult(
                Outcome.UNKNOWN, None, f'status {answer.status} without a mark'
            )
        if not self._suspects.is_empty:
            self._suspects.record_run(request.fingerprints)
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            estimate.on_error_answer(now)
            return AttemptResult(Outcome.FAILED, answer, f'status {answer.status}')
        estimate.on_success(now - started_at, now)
        return AttemptResult(Outcome.ANSWERED, answer)
