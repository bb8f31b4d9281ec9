"""The application object of a gateway: wires its parts and runs them."""

from __future__ import annotations

import asyncio
import gc
import http
import random
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.gateway._dispatcher import Dispatcher
from coltsfootstair.gateway._fleet import Fleet
from coltsfootstair.gateway._refusals import render_refusal
from coltsfootstair.gateway._services import ServicesInForce
from coltsfootstair.gateway._subscribers import (
    ConfigurationSubscriber,
    EvacuationSubscriber,
    ServerSubscriber,
)
from coltsfootstair.gateway._trace import RequestLog
from coltsfootstair.http1 import CallerConnection, CallerLimits, ConnectionPool, serve_status
from coltsfootstair.keyspace import Keeper, KeeperDependencies, OwnershipView
from coltsfootstair.metrics import GatewayMetrics
from coltsfootstair.objects import Follower, Relay, StoreHealth
from coltsfootstair.peers import PeerChannel
from coltsfootstair.registry import Registry
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._settings import GatewaySettings
    from coltsfootstair.gateway._types import PlatformPorts
    from coltsfootstair.http1 import IncomingRequest, Reply
    from coltsfootstair.objects import RelayedChanges

__all__ = ['Gateway']

logger = structlog.get_logger()

SERVERS_GAP_S = 0.25
"""Pause before entries of backend servers are watched again, in seconds; an eighth of the
time in which a leaving one must be left alone."""

CONFIGURATION_GAP_S = 0.1
"""Pause before the configuration is watched again, in seconds; a twentieth of the time in
which a version must be in force."""

BALANCER_NOTICE_S = 2.5
"""How long callers may still be sent here after a daemon stopped being ready, in seconds:
the balancer takes two questions, a second apart."""

EXIT_MARGIN_S = 0.4
"""How long before the end of its grace a daemon gives up what is still open, in seconds."""

LAST_ANSWERS_S = 0.1
"""Seconds for the last answers to leave before the process ends."""

DRAIN_STEP_S = 0.05
"""Seconds between two looks at what is left in flight."""

BODY_MEMORY_SHARE = 0.3
"""Part of the process's memory that bodies under way may fill."""

STRONG_LINK_MBPS = 100.0
"""Bandwidth at which a VM is no weaker as keeper than others, in megabits a second: at ten
changes a second of some kilobytes each, it serves some hundred daemons."""

STRONG_CORES = 0.8
"""Processor time a second at which it is no weaker either."""

EXPIRE_S = 0.1
"""Seconds between two looks for entries that did not come back."""

REPORT_S = 5.0
"""Seconds between two lines that count what was not logged singly."""

BACKLOG = 1024
"""Connections that may wait to be accepted; a full queue costs callers seconds."""

_REFUSAL_BY_STATUS = {
    http.HTTPStatus.BAD_REQUEST: ResultCode.MALFORMED,
    http.HTTPStatus.REQUEST_TIMEOUT: ResultCode.HEADERS_TIMEOUT,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.BODY_TOO_LARGE,
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: ResultCode.HEADERS_TOO_LARGE,
    http.HTTPStatus.SERVICE_UNAVAILABLE: ResultCode.UPLOAD_MEMORY_FULL,
    http.HTTPStatus.INTERNAL_SERVER_ERROR: ResultCode.INTERNAL,
}


class Gateway:
    """One daemon; serves from ``run`` on until ``stop`` is called."""

    def __init__(
        self,
        settings: GatewaySettings,
        ports: PlatformPorts,
        clock: Clock,
        dropped_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        self.clock = clock
        self.metrics = GatewayMetrics(settings.name)
        self._log = RequestLog(clock)
        self._dropped_lines = dropped_lines
        self._settings = settings
        self._ports = ports
        self._stop = asyncio.Event()
        self._connections: set[CallerConnection] = set()
        self._requests = 0
        self._body_bytes = 0
        self._body_limit = int(settings.memory_mib * 2**20 * BODY_MEMORY_SHARE)
        random_source = random.Random()
        self._health = StoreHealth()
        self._relay = Relay()
        self._registry = Registry(clock)
        self._configuration = ConfigurationSubscriber(ports.decoder)
        self._services = ServicesInForce(lambda: self._configuration.table)
        self._ownership = OwnershipView()
        self._pool = ConnectionPool(clock, ports.dialect.id_header)
        self._fleet = Fleet(
            settings.name,
            self._registry,
            clock,
            settings.retries,
            lambda: self._keeper.known_daemon_count,
            self._services.cold_per_s,
            self._services.usual_s,
            lambda: self._keeper.unresponsive_servers,
            random_source,
        )
        self._keeper = Keeper(settings.name, settings.inner, self._keeper_parts(random_source))
        self._followers = self._make_followers(random_source)
        for follower in self._followers:
            follower.publish_to(self._keeper.publish)
        self._dispatcher = Dispatcher(
            ports.dialect,
            lambda: self._configuration.table,
            self._registry,
            self._ownership,
            self._fleet,
            self._pool,
            clock,
            random_source,
            settings.data_centre,
            self.metrics,
            self._log,
            lambda: self._keeper.admitted_share_by_server,
            settings.drain_s,
        )

    # What follows is what connections of callers need.

    @property
    def limits(self) -> CallerLimits:
        """Limits in force towards callers."""
        table = self._configuration.table
        return CallerLimits() if table is None else table.configuration.limits

    @property
    def is_draining(self) -> bool:
        """Whether connections end after their present answer."""
        return self._stop.is_set()

    def reserve_body_memory(self, size: int) -> bool:
        """Set memory aside for ``size`` more bytes of a body; false if there is none."""
        if self._body_bytes + size > self._body_limit:
            return False
        self._body_bytes += size
        return True

    def release_body_memory(self, size: int) -> None:
        """Give back memory that was set aside."""
        self._body_bytes -= size

    async def handle(self, request: IncomingRequest) -> Reply:
        """Answer one request."""
        self._requests += 1
        try:
            return await self._dispatcher.handle(request)
        finally:
            self._requests -= 1

    def on_caller_left(self, request: IncomingRequest) -> bool:
        """Note that a caller has left; true if its request is to end all the same."""
        return self._dispatcher.caller_left(request)

    def build_refusal(self, status: int) -> Reply:
        """Return the answer to what is no proper request."""
        code = _REFUSAL_BY_STATUS[http.HTTPStatus(status)]
        ran = Ran.UNKNOWN if code is ResultCode.INTERNAL else Ran.NO
        retry_after_s = 0.5 if code is ResultCode.UPLOAD_MEMORY_FULL else None
        self.metrics.ended('', f'refused {int(code)}', 0.0)
        return render_refusal(Refusal(code, ran, '', retry_after_s), None)

    def on_connection_opened(self, connection: CallerConnection) -> None:
        """Count a connection."""
        self._connections.add(connection)

    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Count the end of a connection."""
        self._connections.discard(connection)

    # What follows runs the daemon.

    def stop(self) -> None:
        """Begin a graceful end."""
        self._stop.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings.

        The grace, and the ratio and slack of repeats, apply at once; what else has changed
        applies from the next start on.
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
        """Serve until stopped and nothing is left in flight, or the grace is over."""
        loop = asyncio.get_running_loop()
        settings = self._settings
        channel = await PeerChannel.open(settings.inner, self._keeper.on_message)
        self._keeper.attach(channel)
        servers = [
            await loop.create_server(
                lambda: CallerConnection(self),
                settings.callers.host,
                settings.callers.port,
                backlog=BACKLOG,
            )
        ]
        if settings.ready is not None:
            servers.append(
                await serve_status(settings.ready.host, settings.ready.port, self._status)
            )
        if settings.metrics is not None:
            try:
                servers.append(
                    await serve_status(
                        settings.metrics.host, settings.metrics.port, self._status
                    )
                )
            except OSError as error:
                # Callers are served without metrics rather than not at all.
                logger.warning(
                    'metrics not served', address=str(settings.metrics), reason=str(error)
                )
        self._observe()
        tasks = [asyncio.create_task(follower.run()) for follower in self._followers]
        tasks.append(asyncio.create_task(self._keeper.run()))
        tasks.append(asyncio.create_task(self._housekeeping()))
        for task in tasks:
            task.add_done_callback(_log_failure)
        gc.freeze()
        logger.info('ready', callers=str(settings.callers), data_centre=settings.data_centre)
        await self._stop.wait()
        await self._drain(servers[0])
        for task in tasks:
            task.cancel()
        for server in servers:
            server.close()
        channel.close()
        self._pool.close()
        self.metrics.close()
        self._log.flush()
        logger.info('stopped', requests_cut=self._requests)

    def _observe(self) -> None:
        self.metrics.observe(
            'coltsfootstair.under_way',
            'Requests, connections and bytes of bodies that are under way',
            lambda: {
                'requests': self._requests,
                'connections': len(self._connections),
                'body_bytes': self._body_bytes,
            },
            'what',
        )
        self.metrics.observe(
            'coltsfootstair.state',
            'The version in force, whether the daemon is ready, has the store, or is keeper',
            self._state,
            'what',
        )
        self.metrics.observe(
            'coltsfootstair.backend_servers',
            'Backend servers that may be sent requests, by service',
            lambda: {
                service: len(self._registry.usable(service))
                for service in self._services.names()
            },
            'service',
        )
        self.metrics.observe(
            'coltsfootstair.backend_connections_opened',
            'Connections to backend servers that were opened',
            lambda: {'all': self._pool.opened_count},
            'what',
        )

    def _state(self) -> dict[str, float]:
        table = self._configuration.table
        return {
            'configuration_version': table.configuration.version if table else 0,
            'ready': float(self.is_ready),
            'store_works': float(self._health.works),
            'keeper': float(self._keeper.is_keeper),
            'daemons': self._keeper.known_daemon_count,
        }

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return not self.is_draining and self._configuration.table is not None

    async def _status(self, path: bytes) -> tuple[int, bytes]:
        match path:
            case b'/-/ready':
                return (200 if self.is_ready else 503), b''
            case b'/metrics':
                return 200, self.metrics.page()
            case _:
                return 404, b''

    async def _drain(self, server: asyncio.Server) -> None:
        started_at = self.clock.monotonic()
        ends_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        logger.info('stopping', requests=self._requests, connections=len(self._connections))
        for connection in list(self._connections):
            connection.close_after_pending_requests()
        giving_back = asyncio.create_task(self._keeper.stop())
        while (now := self.clock.monotonic()) < ends_at:
            if now - started_at >= BALANCER_NOTICE_S:
                # What is still sent here is refused by the socket, and goes elsewhere.
                server.close()
                for connection in list(self._connections):
                    connection.close_after_pending_requests()
                    connection.close_if_idle()
                if giving_back.done() and not self._requests and not self._connections:
                    return
            await asyncio.sleep(DRAIN_STEP_S)
        giving_back.cancel()
        self._dispatcher.end_all()
        await asyncio.sleep(LAST_ANSWERS_S)

    async def _housekeeping(self) -> None:
        next_report_at = self.clock.monotonic() + REPORT_S
        dropped = 0
        while True:
            await asyncio.sleep(EXPIRE_S)
            self._registry.expire()
            self._pool.close_expired()
            if self.clock.monotonic() >= next_report_at:
                next_report_at += REPORT_S
                self._log.flush()
                if self._dropped_lines() > dropped:
                    logger.warning('log lines dropped', count=self._dropped_lines() - dropped)
                    dropped = self._dropped_lines()

    def _keeper_parts(self, random_source: random.Random) -> KeeperDependencies:
        return KeeperDependencies(
            self._ports.store,
            self._ports.orders,
            self._registry,
            self._ownership,
            self.clock,
            random_source,
            lambda: self._health.works,
            self._services.divided_by_key,
            self._services.cold_per_s,
            self._services.usual_s,
            self._settings.longest_hold_s,
            self._settings.address_reuse_s,
            self._strength(),
            self._relay,
            self._revisions,
            self._relayed,
            self._fleet.collect,
        )

    def _strength(self) -> float:
        by_link = self._settings.link_mbps / STRONG_LINK_MBPS
        return min(1.0, by_link, self._settings.cores / STRONG_CORES)

    def _revisions(self) -> dict[str, int]:
        return {follower.kind: follower.revision for follower in self._followers}

    def _relayed(self, changes: RelayedChanges) -> None:
        for follower in self._followers:
            if follower.kind == changes.kind:
                follower.relayed(changes)

    def _make_followers(self, random_source: random.Random) -> list[Follower]:
        kinds = self._ports.kinds
        decoder = self._ports.decoder
        servers = ServerSubscriber(decoder, self._registry)
        evacuations = EvacuationSubscriber(decoder, self._registry)
        return [
            Follower(
                self._ports.store,
                kind,
                subscriber,
                self.clock,
                random_source,
                self._health,
                self._relay,
                gap_s,
            )
            for kind, subscriber, gap_s in (
                (kinds.configuration, self._configuration, CONFIGURATION_GAP_S),
                (kinds.backend_servers, servers, SERVERS_GAP_S),
                (kinds.evacuations, evacuations, SERVERS_GAP_S),
            )
        ]


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error('task failed', task=repr(task), reason=repr(task.exception()))
