"""The gateway daemon: creates its parts, connects them, and runs them until it is stopped."""

from __future__ import annotations

import asyncio
import gc
import http
import math
import random
from collections import Counter
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.crashes import SuspectArchive
from coltsfootstair.gateway._dispatcher import Dispatcher
from coltsfootstair.gateway._fleet import Fleet
from coltsfootstair.gateway._grace_time import GraceTime
from coltsfootstair.gateway._helper import RelayedRequestHandler
from coltsfootstair.gateway._path_prober import PathProber
from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._services import ServicesInForce
from coltsfootstair.gateway._subscribers import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    ServerSubscriber,
)
from coltsfootstair.gateway._trace import RequestLog
from coltsfootstair.gateway._workspace_admission import WorkspaceAdmission
from coltsfootstair.http1 import (
    Address,
    AnswerLimiter,
    CallerConnection,
    CallerLimits,
    ConnectionPool,
    StatusServer,
)
from coltsfootstair.keyspace import Keeper, KeeperDependencies, OwnershipView
from coltsfootstair.metrics import GatewayMetrics
from coltsfootstair.objects import Follower, Relay, StoreHealth
from coltsfootstair.peers import PeerChannel
from coltsfootstair.registry import Registry
from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.routes import UNCONFIRMED_RETRY_S, ConfigurationAge
from coltsfootstair.supervision import FailureLog, RestartPolicy, Supervisor
from coltsfootstair.workspaces import WorkspaceGate

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import GatewaySettings
    from coltsfootstair.gateway._types import PlatformPorts
    from coltsfootstair.http1 import Headers, IncomingRequest, Reply
    from coltsfootstair.objects import RelayedChanges, RelayedDelta

__all__ = ['Gateway']

logger = structlog.get_logger()

SERVERS_WATCH_PAUSE_S = 0.25
"""Pause before entries of backend servers are watched again, in seconds; an eighth of the
time after which a draining server must get no new requests."""

CONFIGURATION_WATCH_PAUSE_S = 0.1
"""Pause before the configuration is watched again, in seconds; a twentieth of the time in
which a new version must be in force."""

MAX_SERVERS_WATCH_S = 0.6
"""Longest wait of a watch for entries of backend servers, in seconds. A dead watch is noticed
0.4 s later, half of the time after which a draining server must get no new requests."""

MAX_CONFIGURATION_WATCH_S = 0.6
"""The same for the configuration, which must be in force after the same time."""

MAX_EVACUATIONS_WATCH_S = 2.0
"""The same for evacuations, which take effect within five seconds."""

MAX_EVIDENCE_AGE_SHARE = 0.6
"""Share of the time in which a change must take effect, from which a daemon asks the store
itself unless it has evidence that nothing is missing. The rest is for that call, and for
requests that are on their way."""

EVACUATION_EFFECT_S = 5.0
"""Time in which an evacuation must take effect, in seconds."""

FINAL_ANSWER_TIME_S = 0.1
"""How long the daemon goes on sending final replies after it has timed out all requests, in
seconds."""

DRAIN_POLL_S = 0.05
"""Interval at which a stopping daemon checks whether requests are in progress, in seconds."""

BODY_MEMORY_SHARE = 0.3
"""Share of the process's memory that the bodies of requests in progress may use."""

ANSWER_MEMORY_SHARE = 0.15
"""Share of the process's memory that answers may use while they are received."""

FULL_CAPACITY_LINK_MBPS = 100.0
"""Bandwidth from which a VM has full capacity as keeper, in megabits a second. It is enough to
send ten changes a second of a few kilobytes each to a few hundred daemons."""

FULL_CAPACITY_CORES = 0.8
"""Processor cores from which a VM has full capacity as keeper."""

HOUSEKEEPING_INTERVAL_S = 0.1
"""Interval at which entries whose deferred removal is due and idle connections are removed,
in seconds."""

LOG_COUNTS_INTERVAL_S = 5.0
"""Interval at which the counts of requests without a log line are logged, in seconds."""

UNSPECIFIED_HOSTS = frozenset({'', '0.0.0.0', '::'})
"""Hosts to listen at on all addresses, where other daemons can't send anything."""

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted. If the queue is full, callers lose seconds until
TCP tries again."""

DEFAULT_RESTART_POLICY = RestartPolicy()

_RESULT_CODE_BY_STATUS = {
    http.HTTPStatus.BAD_REQUEST: ResultCode.MALFORMED,
    http.HTTPStatus.REQUEST_TIMEOUT: ResultCode.HEADERS_TIMEOUT,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.BODY_TOO_LARGE,
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ResultCode.HEADERS_TOO_LARGE,
    # CallerConnection reports 503 only if no memory is free for a body.
    http.HTTPStatus.SERVICE_UNAVAILABLE: ResultCode.UPLOAD_MEMORY_FULL,
    http.HTTPStatus.INTERNAL_SERVER_ERROR: ResultCode.INTERNAL,
}

_CODES_BY_CONFIGURATION = frozenset({ResultCode.BODY_TOO_LARGE, ResultCode.HEADERS_TOO_LARGE})
"""Refusals of requests beyond a limit that another version may not have."""


class Gateway:
    """Gateway daemon: serves callers in ``run`` until ``stop`` is called.

    :param get_dropped_line_count: returns the number of log lines dropped so far
    :param restart_policy: how tasks that end are started again
    :ivar given_up_task: name of the task for which the daemon has stopped itself
    :ivar callers_address: where callers are served; once the daemon runs, with the port that
        the system chose if the settings have port 0
    :ivar helper_address: where requests of other daemons are taken, once the daemon runs
    """

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        clock: Clock,
        get_dropped_line_count: Callable[[], int] = lambda: 0,
        restart_policy: RestartPolicy = DEFAULT_RESTART_POLICY,
    ) -> None:
        self.clock = clock
        self.metrics = GatewayMetrics(settings.name)
        self.given_up_task: str | None = None
        self._failures = FailureLog(self.metrics.count_task_failure)
        self._supervisor = Supervisor(clock, self._failures, self._give_up, restart_policy)
        self._request_log = RequestLog(clock)
        self._get_dropped_line_count = get_dropped_line_count
        self._settings = settings
        self._ports = ports
        self.callers_address = settings.callers
        self.helper_address: Address | None = None
        self._stop_requested = asyncio.Event()
        self._grace_time = GraceTime(clock)
        self._connections: set[CallerConnection] = set()
        self._requests_in_progress = 0
        self._body_bytes = 0
        self._body_limit_bytes = int(settings.memory_mib * 2**20 * BODY_MEMORY_SHARE)
        random_source = random.Random()
        self._health = StoreHealth()
        self._relay = Relay()
        self._registry = Registry(clock)
        self._configuration_subscriber = ConfigurationSubscriber(ports.decoder, self._failures)
        self._server_subscriber = ServerSubscriber(
            ports.decoder, self._registry, self._failures
        )
        self._evacuation_subscriber = EvacuationSubscriber(
            ports.decoder, self._registry, self._failures
        )
        self._services = ServicesInForce(lambda: self._configuration_subscriber.route_table)
        self._ownership = OwnershipView()
        self._answer_limiter = AnswerLimiter(
            max_total_bytes=int(settings.memory_mib * 2**20 * ANSWER_MEMORY_SHARE)
        )
        self._pool = ConnectionPool(
            clock, ports.dialect.request_id_header, self._answer_limiter
        )
        self._fleet = Fleet(
            settings.name,
            self._registry,
            clock,
            settings.retries,
            lambda: self._keeper.known_daemon_count,
            self._services.get_cold_requests_per_s,
            self._services.get_expected_service_time_s,
            lambda: self._keeper.unresponsive_servers,
            random_source,
            self.metrics.count_pause,
            self.metrics.count_limit,
            lambda request: self._keeper.request_permits(request),
            self.metrics.count_suspect,
            lambda request: self._keeper.request_trial(request),
            is_first_start=settings.is_first_start,
        )
        self._workspace_gate = WorkspaceGate(
            settings.name,
            clock,
            self._fleet.limit_gate.client,
            random_source,
            settings.workspaces.limit_slack / settings.workspaces.limit_window_s,
            lambda: self._fleet.daemon_count,
            lambda outcome: self.metrics.count_workspace_request('', outcome),
        )
        self._keeper = Keeper(
            settings.name, settings.inner, self._build_keeper_dependencies(random_source)
        )
        self._suspect_archive = SuspectArchive(
            ports.store, self._fleet.suspects, clock, lambda: self._keeper.is_keeper
        )
        self._followers = self._make_followers(random_source)
        for follower in self._followers:
            follower.publish_to(self._keeper.publish)
        self._configuration_age = ConfigurationAge(
            clock,
            lambda: self._configuration_follower.confirmed_at,
            self._is_newest_known_version_in_force,
            settings.configuration_deadline_s,
            settings.workspaces.revocation_s,
            is_strict=settings.workspaces.is_revocation_strict,
        )
        self._dispatcher = Dispatcher(
            ports.dialect,
            lambda: self._configuration_subscriber.route_table,
            self._registry,
            self._ownership,
            self._fleet,
            self._pool,
            clock,
            random_source,
            settings.data_centre,
            self.metrics,
            self._request_log,
            lambda: self._keeper.admitted_share_by_server,
            settings.drain_s,
            WorkspaceAdmission(self._configuration_age, self._workspace_gate, self.metrics),
            lambda: self._keeper.helpers,
            lambda: self._configuration_age.is_recent,
            self._describe_evidence,
            lambda: self._servers_follower.evidence_age_s,
            self._grace_time,
            self._suspect_archive.wait_for_first_read,
        )
        self._status_server = StatusServer(self._handle_status_request, clock)
        self._metrics_server = StatusServer(self._handle_status_request, clock)
        self._path_prober = PathProber(self._registry, self._fleet.paths, self._pool)

    # Methods of http1.Service, which the connections of callers use.

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers that are in force."""
        route_table = self._configuration_subscriber.route_table
        return CallerLimits() if route_table is None else route_table.configuration.limits

    @property
    def is_draining(self) -> bool:
        """Whether the daemon is stopping; connections close after their current answer."""
        return self._stop_requested.is_set()

    def reserve_body_memory(self, size: int) -> bool:
        """Reserve memory for ``size`` more bytes of a body; return false if there is none."""
        if self._body_bytes + size > self._body_limit_bytes:
            return False
        self._body_bytes += size
        return True

    def release_body_memory(self, size: int) -> None:
        """Release ``size`` bytes of reserved memory."""
        self._body_bytes -= size

    async def handle(self, request: IncomingRequest) -> Reply:
        """Answer one request."""
        self._requests_in_progress += 1
        try:
            return await self._dispatcher.handle(request)
        finally:
            self._requests_in_progress -= 1

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Record that a caller has left; return whether its request must continue."""
        return self._dispatcher.caller_left(request)

    def build_refusal(self, status: int, headers: Headers) -> Reply:
        """Return the reply to an invalid request, or to one that failed inside the daemon."""
        code = _RESULT_CODE_BY_STATUS[http.HTTPStatus(status)]
        ran = Ran.UNKNOWN if code is ResultCode.INTERNAL else Ran.NO
        retry_after_s = 0.5 if code is ResultCode.UPLOAD_MEMORY_FULL else None
        if code in _CODES_BY_CONFIGURATION and not self._configuration_age.is_recent:
            code = ResultCode.CONFIGURATION_NOT_CONFIRMED
            retry_after_s = UNCONFIRMED_RETRY_S
        self.metrics.count_request('', f'refused {int(code)}', 0.0)
        request_id = self._ports.dialect.parse_caller_headers(headers).request_id
        return render_refusal(Refusal(code, ran, '', retry_after_s), request_id)

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Add a new connection."""
        self._connections.add(connection)

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    # Running the daemon.

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_requested.set()

    def _give_up(self, task: str) -> None:
        """Stop, so that the platform starts the daemon again."""
        if not self.is_draining:
            self.given_up_task = task
            self.stop()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings.

        The grace time and the ratio and slack of retries apply at once, all other changes
        from the next start on.
        """
        changed = [
            field
            for field in settings._fields
            if getattr(settings, field) != getattr(self._settings, field)
        ]
        logger.info('settings reloaded', changed=changed)
        self._settings = self._settings._replace(
            grace_s=settings.grace_s, retries=settings.retries
        )
        self._fleet.reload(settings.retries)

    async def run(self) -> None:
        """Serve until stopped and no request is in progress, or the grace time is over."""
        loop = asyncio.get_running_loop()
        settings = self._settings
        loop.set_exception_handler(self._failures.handle_loop_exception)
        channel = await PeerChannel.open(
            settings.inner, self._keeper.on_message, self._failures
        )
        self._keeper.attach(channel)
        listeners = [
            await loop.create_server(
                lambda: CallerConnection(self),
                settings.callers.host,
                settings.callers.port,
                backlog=LISTEN_BACKLOG,
            )
        ]
        self.callers_address = Address(*listeners[0].sockets[0].getsockname()[:2])
        if settings.ready is not None:
            await self._status_server.open(settings.ready.host, settings.ready.port)
        if settings.metrics is not None:
            try:
                await self._metrics_server.open(settings.metrics.host, settings.metrics.port)
            except OSError as error:
                # Serving callers without metrics is better than not serving them.
                logger.warning(
                    'metrics not served', address=str(settings.metrics), reason=str(error)
                )
        if settings.helper is not None:
            handler = RelayedRequestHandler(self, self._dispatcher)
            listener = await loop.create_server(
                lambda: CallerConnection(handler), settings.helper.host, settings.helper.port
            )
            listeners.append(listener)
            self.helper_address = Address(*listener.sockets[0].getsockname()[:2])
            if settings.helper.host not in UNSPECIFIED_HOSTS:
                self._fleet.helper_address = (
                    self.helper_address.host,
                    self.helper_address.port,
                )
        self._fleet.data_centre = settings.data_centre
        self._register_gauges()
        self._start_tasks()
        gc.freeze()
        logger.info(
            'ready', callers=str(self.callers_address), data_centre=settings.data_centre
        )
        await self._stop_requested.wait()
        await self._finish_requests(listeners[0])
        await self._finish_status_answers()
        self._supervisor.cancel()
        for listener in listeners:
            listener.close()
        channel.close()
        self._pool.close()
        self.metrics.close()
        self._request_log.flush()
        logger.info(
            'stopped',
            requests_cut=self._requests_in_progress,
            bytes_cut=sum(connection.undelivered_bytes for connection in self._connections),
        )

    def _start_tasks(self) -> None:
        self._supervisor.start(
            'archive of crashes', self._suspect_archive.run, is_essential=False
        )
        for follower in self._followers:
            self._supervisor.start(
                f'follower of {follower.kind}',
                follower.run,
                is_essential=True,
                on_ended=follower.recover,
            )
        self._supervisor.start(
            'keeper', self._keeper.run, is_essential=True, on_ended=self._keeper.recover
        )
        self._supervisor.start(
            'expiry of servers', self._remove_expired_servers, is_essential=True
        )
        for name, run in (
            ('expiry of connections', self._close_expired_connections),
            ('counts of requests', self._log_counts),
            ('path prober', self._path_prober.run),
        ):
            self._supervisor.start(name, run, is_essential=False)

    def _register_gauges(self) -> None:
        self.metrics.add_gauge(
            'coltsfootstair.tasks_down',
            'Tasks that have failed again and again and do not work at present',
            lambda: dict.fromkeys(self._supervisor.list_down(), 1),
            'task',
        )
        self.metrics.add_gauge(
            'coltsfootstair.state',
            'The version in force, whether the daemon is ready, has the store, or is keeper',
            self._read_state,
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.configuration_age',
            'Seconds since the configuration was known to be the latest one',
            lambda: {'age': min(1e6, self._configuration_age.age_s)},
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.behind',
            'Seconds for which changes have been missing that the keeper has read, by kind',
            lambda: {follower.kind: follower.behind_s for follower in self._followers},
            'kind',
        )
        self.metrics.add_gauge(
            'coltsfootstair.evidence_age',
            'Seconds since what is known of a kind of objects was known to be complete',
            self._collect_ages,
            'kind',
        )
        self.metrics.add_gauge(
            'coltsfootstair.refused_objects',
            'Objects of the store that can not be used, by kind',
            lambda: {
                self._ports.kinds.configuration: len(self._configuration_subscriber.refused),
                self._ports.kinds.backend_servers: len(self._server_subscriber.refused),
                self._ports.kinds.evacuations: len(self._evacuation_subscriber.refused),
            },
            'kind',
        )
        self.metrics.add_gauge(
            'coltsfootstair.lagging_daemons',
            'Daemons with an older configuration than this one, which is the keeper',
            self._read_lagging_daemons,
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.under_way',
            'Requests, connections, and bytes of bodies and answers that are under way',
            lambda: {
                'requests': self._requests_in_progress,
                'connections': len(self._connections),
                'body_bytes': self._body_bytes,
                'answer_bytes': self._answer_limiter.used_bytes,
            },
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.backend_servers',
            'Backend servers that may be sent requests, by service',
            lambda: {
                service: len(self._registry.find_usable(service))
                for service in self._services.list_names()
            },
            'service',
        )
        self.metrics.add_gauge(
            'coltsfootstair.store_unheard',
            'Seconds since the store or the keeper last told the state of a kind of objects',
            lambda: {follower.kind: follower.unheard_s for follower in self._followers},
            'kind',
        )
        self.metrics.add_gauge(
            'coltsfootstair.paused_servers',
            'Usable backend servers that have asked this daemon for a pause, by service',
            lambda: {
                service: sum(
                    self._fleet.get_pause_wait_s(server) > 0
                    for server in self._registry.find_usable(service)
                )
                for service in self._services.list_names()
            },
            'service',
        )
        self.metrics.add_gauge(
            'coltsfootstair.paths',
            'Backend servers to which the path is lost, and whether most paths in use are',
            lambda: {
                'lost': len(self._fleet.paths.list_lost()),
                'cut_off': int(self._fleet.paths.is_cut_off),
            },
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.limited_servers',
            'Backend servers whose answers name a limit for all daemons together, by service',
            self._count_limited_servers,
            'service',
        )
        self.metrics.add_gauge(
            'coltsfootstair.convicted_requests',
            'Fingerprints of requests that ended their backend servers again and again',
            lambda: {'all': self._fleet.suspects.convicted_count},
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.leaving_backend_servers',
            'Backend servers with an entry that have said in an answer that they leave',
            lambda: Counter(server.service for server in self._registry.list_leaving()),
            'service',
        )
        self.metrics.add_gauge(
            'coltsfootstair.backend_connections_opened',
            'Connections to backend servers that were opened',
            lambda: {'all': self._pool.opened_count},
            'what',
        )
        self.metrics.add_gauge(
            'coltsfootstair.answers_cut_off',
            'Answers of backend servers that were not received to their end, by reason',
            lambda: dict(self._answer_limiter.cut_off_count_by_reason),
            'reason',
        )

    def _read_lagging_daemons(self) -> dict[str, float]:
        lagging = self._keeper.list_lagging()
        return {
            'daemons': len(lagging),
            'most_versions': max((each.missing_count for each in lagging), default=0),
            'longest_s': lagging[0].lag_s if lagging else 0.0,
        }

    def _count_limited_servers(self) -> dict[str, int]:
        servers = [self._registry.get(name) for name, _ in self._fleet.limits.list_limited()]
        return Counter(server.service for server in servers if server is not None)

    def _is_newest_known_version_in_force(self) -> bool:
        """Whether no version is known of that could not be read or has not come yet.

        After a return of the store from an older copy, a daemon that has just started finds an
        older version there than the one in force at others.
        """
        return (
            self._configuration_subscriber.is_newest_readable
            and self._get_configuration_version() >= self._keeper.keepers_configuration_version
        )

    def _get_configuration_version(self) -> int:
        route_table = self._configuration_subscriber.route_table
        return route_table.configuration.version if route_table else 0

    def _read_state(self) -> dict[str, float]:
        return {
            'configuration_version': self._get_configuration_version(),
            'ready': float(self.is_ready),
            'store_works': float(self._health.is_reachable),
            'keeper': float(self._keeper.is_keeper),
            'store_era': self._ports.store.era,
            'daemons': self._keeper.known_daemon_count,
        }

    @property
    def is_ready(self) -> bool:
        """Whether load balancers may send callers to this daemon.

        Not before the followers have caught up with their first lists, which may be stale.
        """
        route_table = self._configuration_subscriber.route_table
        if self.is_draining or route_table is None or self._supervisor.is_essential_down:
            return False
        if not all(follower.has_started for follower in self._followers):
            return False
        return (
            not route_table.configuration.has_workspaces or self._configuration_age.is_current
        )

    async def _handle_status_request(self, path: bytes) -> tuple[int, bytes]:
        match path:
            case b'/-/ready':
                return (200 if self.is_ready else 503), b''
            case b'/metrics':
                return 200, self.metrics.render_page()
            case _:
                return 404, b''

    async def _finish_requests(self, caller_listener: asyncio.Server) -> None:
        """Wait until no request is in progress, or time the requests out before the exit.

        :param caller_listener: listening socket for callers; closed once load balancers use
            other daemons
        """
        self._grace_time.begin(self._settings.grace_s)
        # Other daemons need not send requests here that are likely to be refused.
        self._fleet.helper_address = None
        logger.info(
            'stopping', requests=self._requests_in_progress, connections=len(self._connections)
        )
        for connection in list(self._connections):
            connection.close_after_pending_requests()
        lease_release_task = self._supervisor.spawn('lease release', self._keeper.stop())
        while not self._grace_time.is_over:
            if self._grace_time.have_callers_left:
                # The closed socket refuses further connections, so callers use another daemon.
                caller_listener.close()
                for connection in list(self._connections):
                    connection.close_after_pending_requests()
                    connection.close_if_idle()
                if (
                    lease_release_task.done()
                    and not self._requests_in_progress
                    and not any(connection.is_awaited for connection in self._connections)
                ):
                    return
            await asyncio.sleep(DRAIN_POLL_S)
        lease_release_task.cancel()
        self._dispatcher.time_out_all()
        await asyncio.sleep(FINAL_ANSWER_TIME_S)

    async def _finish_status_answers(self) -> None:
        """Deliver answers about this daemon that are being read, within the grace time."""
        servers = (self._status_server, self._metrics_server)
        for server in servers:
            server.close()
        while any(server.is_answering for server in servers) and not self._grace_time.is_over:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _remove_expired_servers(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._registry.remove_expired()

    async def _close_expired_connections(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.close_expired()

    async def _log_counts(self) -> None:
        logged_dropped_line_count = self._get_dropped_line_count()
        while True:
            await asyncio.sleep(LOG_COUNTS_INTERVAL_S)
            self._request_log.flush()
            if count_by_cause := self._answer_limiter.take_new_counts():
                logger.warning('answers cut off', count_by_cause=count_by_cause)
            dropped_line_count = self._get_dropped_line_count()
            if dropped_line_count > logged_dropped_line_count:
                logger.warning(
                    'log lines dropped', count=dropped_line_count - logged_dropped_line_count
                )
                logged_dropped_line_count = dropped_line_count

    def _build_keeper_dependencies(self, random_source: random.Random) -> KeeperDependencies:
        return KeeperDependencies(
            self._ports.store,
            self._ports.grant_client,
            self._registry,
            self._ownership,
            self.clock,
            random_source,
            lambda: self._health.is_reachable,
            self._services.find_divided_by_key,
            self._services.get_cold_requests_per_s,
            self._services.get_expected_service_time_s,
            self._settings.longest_hold_s,
            self._settings.address_reuse_s,
            self._compute_keeper_capacity(),
            self._relay,
            self._collect_revisions,
            self._apply_relayed,
            self._fleet.collect_report,
            self._settings.is_first_start,
            self.metrics.count_grant_call,
            self._fleet.limits,
            self._fleet.limit_gate.on_answer,
            self._fleet.suspects,
            self._fleet.trials.on_answer,
            lambda: any(follower.is_overdue for follower in self._followers),
            self._fleet.paths,
            lambda: self._configuration_age.age_s,
            self._collect_ages,
            self._confirm_kinds,
            self._get_workspace_limit,
            lambda: self._workspace_gate.list_issued_rates(),
            lambda heard_at, is_issuing: self._workspace_gate.on_keeper_heard(
                heard_at, is_issuing=is_issuing
            ),
            self._get_configuration_version,
            self._apply_relayed_delta,
            self._settings.link_mbps,
            self._failures,
        )

    @property
    def _configuration_follower(self) -> Follower:
        return self._followers[0]

    @property
    def _servers_follower(self) -> Follower:
        return self._followers[1]

    def _describe_evidence(self) -> str:
        """Say how old the evidence is that the configuration is the latest, and why."""
        age_s = min(1e6, self._configuration_age.age_s)
        activity = self._configuration_follower.activity
        return f'known to be the latest {age_s:.2f} s ago; {activity}'

    def _collect_ages(self) -> dict[str, float]:
        """Return the age of the evidence that each kind is complete, if there is any."""
        return {
            follower.kind: round(follower.evidence_age_s, 3)
            for follower in self._followers
            if math.isfinite(follower.evidence_age_s)
        }

    def _confirm_kinds(
        self, confirmed_at_by_kind: dict[str, float], revision_by_kind: dict[str, int]
    ) -> None:
        for follower in self._followers:
            confirmed_at = confirmed_at_by_kind.get(follower.kind)
            revision = revision_by_kind.get(follower.kind)
            if confirmed_at is not None and revision is not None:
                follower.confirm(revision, confirmed_at)

    def _get_workspace_limit(self, name: str) -> tuple[float, float] | None:
        route_table = self._configuration_subscriber.route_table
        return None if route_table is None else route_table.find_workspace_limit(name)

    def _compute_keeper_capacity(self) -> float:
        by_link = self._settings.link_mbps / FULL_CAPACITY_LINK_MBPS
        return min(1.0, by_link, self._settings.cores / FULL_CAPACITY_CORES)

    def _collect_revisions(self) -> dict[str, int]:
        return {follower.kind: follower.revision for follower in self._followers}

    def _apply_relayed(self, changes: RelayedChanges) -> None:
        for follower in self._followers:
            if follower.kind == changes.kind:
                follower.apply_relayed(changes)

    def _apply_relayed_delta(self, delta: RelayedDelta) -> None:
        for follower in self._followers:
            if follower.kind == delta.kind:
                follower.apply_relayed_delta(delta)

    def _make_followers(self, random_source: random.Random) -> list[Follower]:
        kinds = self._ports.kinds
        return [
            Follower(
                self._ports.store,
                kind,
                subscriber,
                self.clock,
                random_source,
                self._health,
                self._relay,
                watch_pause_s,
                self._settings.store.history_s,
                max_watch_s,
                max_evidence_age_s=MAX_EVIDENCE_AGE_SHARE * effect_s,
                is_latest_only=kind == kinds.configuration,
            )
            for kind, subscriber, watch_pause_s, max_watch_s, effect_s in (
                (
                    kinds.configuration,
                    self._configuration_subscriber,
                    CONFIGURATION_WATCH_PAUSE_S,
                    MAX_CONFIGURATION_WATCH_S,
                    self._settings.configuration_deadline_s,
                ),
                (
                    kinds.backend_servers,
                    self._server_subscriber,
                    SERVERS_WATCH_PAUSE_S,
                    MAX_SERVERS_WATCH_S,
                    self._settings.drain_s,
                ),
                (
                    kinds.evacuations,
                    self._evacuation_subscriber,
                    SERVERS_WATCH_PAUSE_S,
                    MAX_EVACUATIONS_WATCH_S,
                    EVACUATION_EFFECT_S,
                ),
            )
        ]
