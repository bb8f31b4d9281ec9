"""The central object that wires a daemon's parts together."""

from __future__ import annotations

import random
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.backend import HttpBackendServer
from coltsfootstair.coordinator import Coordinator, Exchange
from coltsfootstair.daemon._event_notes import OwnershipNotes, StateNotes
from coltsfootstair.daemon._inbound import Inbound
from coltsfootstair.daemon._notes import DocumentHistory, RefusalNotes
from coltsfootstair.daemon._operators import OperatorsAdapter
from coltsfootstair.daemon._ownership import OwnershipParts, OwnershipTask
from coltsfootstair.daemon._peers import PeerDirectory, PeerLink
from coltsfootstair.daemon._reports import STATUS, TIMELINE, ReportDesk
from coltsfootstair.daemon._updates import UpdateService
from coltsfootstair.document import ServiceKind
from coltsfootstair.entry import CallerServer, PendingAnswers, Relay, RelayParts
from coltsfootstair.inner import Hello, Hub, ReportAnswer, ReportRequest
from coltsfootstair.inner._messages import PROTOCOL_VERSION
from coltsfootstair.leases import Candidate
from coltsfootstair.metrics import DaemonMetrics
from coltsfootstair.operators import DaemonState, OperatorsApp, OperatorsServer
from coltsfootstair.retries import UploadBudget
from coltsfootstair.routing import Router
from coltsfootstair.store import HttpStore, Replica, StoreIdentity
from coltsfootstair.timeline import EventName, Timeline
from coltsfootstair.updates import Knowledge, StoreFeed

if TYPE_CHECKING:
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.clock import Clock
    from coltsfootstair.document import BackendServer
    from coltsfootstair.inner import AnswerMessage, RequestHead, Stream
    from coltsfootstair.settings import DaemonSettings

__all__ = ['Daemon']

logger = structlog.get_logger()

EXCHANGE_THREADS = 256
"""Requests that one daemon has in flight at all its backend servers together."""

MIB = 1024 * 1024
FIRST_READ_TIMEOUT_S = 3.0
DRAIN_POLL_S = 0.05
DRAIN_TIMEOUT_S = 900.0
BALANCER_NOTICE_S = 1.0
"""How long a daemon still takes requests after it stops being ready, in seconds."""


class Daemon:
    """One process of the router: it serves callers, and coordinates backend servers."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = _new_incarnation(clock)
        self.metrics = DaemonMetrics(settings.name)
        self.replica = Replica()
        self.knowledge = Knowledge(self.replica, clock, settings.data_centre)
        self.router = Router(random.Random(), self.knowledge.may_give_new_work)
        self.replica.subscribe(self.router.apply_object)
        self.timeline = Timeline(settings.name, clock)
        self.document_history = DocumentHistory(self.timeline)
        self.replica.subscribe(self.document_history.take)
        ownership_notes = OwnershipNotes(settings.name, self.router, self.timeline)
        self.replica.subscribe(ownership_notes.take)
        self.refusals = RefusalNotes(self.timeline)
        self.pending = PendingAnswers()
        self._executor = ThreadPoolExecutor(EXCHANGE_THREADS, 'exchange')
        self.coordinator = Coordinator(
            clock,
            self._executor,
            _open_port,
            self.knowledge.may_give_new_work,
            self._open_stream,
            self._next_owner,
            self._next_lease,
        )
        self.inbound = Inbound(clock, self.coordinator, self.pending)
        hello = Hello(PROTOCOL_VERSION, settings.name, settings.data_centre, self.incarnation)
        self.hub = Hub(hello, settings.inner, self.inbound, self.timeline)
        identity = StoreIdentity(settings.name, settings.data_centre, self.hub.address)
        self.store = HttpStore(settings.store_url, identity)
        self.peers = PeerDirectory(self.store, clock)
        self.updates = UpdateService(
            settings, clock, self.hub, self.inbound, self.peers, self.knowledge
        )
        self.store_feed = StoreFeed(self.store, self.knowledge, clock, self.updates.is_watcher)
        self.ownership = OwnershipTask(
            OwnershipParts(
                Candidate(settings.name, self.incarnation, settings.data_centre),
                clock,
                self.store,
                self.replica,
                self.router,
                self.peers,
                self.hub,
                self.inbound,
                self.coordinator,
                _open_port,
            )
        )
        link = PeerLink(
            settings.name, self.hub, self.peers, self._open_exchange, self.coordinator.cancel
        )
        relay_parts = RelayParts(clock, self.router, link, self.pending, random.Random())
        uploads = UploadBudget(settings.upload_memory_mib * MIB)
        self.callers = CallerServer(
            settings.callers,
            clock,
            Relay(relay_parts, uploads),
            self.is_ready,
            self._upload_services,
            self.metrics.count_request,
            self.refusals.note,
        )
        adapter = OperatorsAdapter(self)
        self.reports = ReportDesk(
            settings.name,
            clock,
            self.hub,
            self.peers.vm_by_name,
            {STATUS: adapter.report_status, TIMELINE: adapter.report_timeline},
        )
        self.inbound.add_handler(ReportRequest, self.reports.requested)
        self.inbound.add_handler(ReportAnswer, self.reports.answered)
        self.operators = OperatorsServer(
            settings.operators, OperatorsApp(adapter, self.metrics.page)
        )
        self.state_notes = StateNotes(
            self.timeline,
            self.coordinator.loads,
            self.knowledge.may_give_new_work,
            lambda: self.store_feed.reachable,
            self.hub.peers,
        )
        self._ready = False
        self._stopping = False
        self._leaving = threading.Event()

    def start(self) -> None:
        """Begin to serve.

        :raises OSError: an address is in use
        """
        self.callers.open()
        self.operators.open()
        self.hub.start()
        self.coordinator.start()
        self.store_feed.start()
        self.updates.start()
        if not self.store_feed.wait_first(FIRST_READ_TIMEOUT_S):
            logger.warning('store unreachable at start', url=self.settings.store_url)
        self.peers.poll()
        self.peers.start()
        self.ownership.start()
        self.state_notes.start()
        self.callers.start()
        self.operators.start()
        self._ready = True
        self.timeline.record(
            EventName.DAEMON_STARTED,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
        )
        logger.info(
            'ready',
            name=self.settings.name,
            callers=self.callers.address,
            operators=self.operators.address,
            inner=self.hub.address,
        )

    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._ready and self.router.document_version > 0

    def state(self) -> DaemonState:
        """Return what this daemon is doing, for operators."""
        if self._stopping:
            return DaemonState.STOPPING
        return DaemonState.READY if self.is_ready() else DaemonState.STARTING

    def stop(self) -> bool:
        """Shut down gracefully; true if nothing was left in flight."""
        self._ready = False
        self._stopping = True
        self.timeline.record(EventName.DAEMON_STOPPING, in_flight=self._in_flight())
        self._leaving.wait(BALANCER_NOTICE_S)
        self.ownership.hand_over()
        clean = self._drain()
        self.callers.stop()
        self.operators.stop()
        self.ownership.stop()
        self.peers.stop()
        self.state_notes.stop()
        self.updates.stop()
        self.store_feed.stop()
        self.reports.stop()
        self.coordinator.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        self.hub.stop()
        self.metrics.close()
        logger.info('stopped', clean=clean)
        return clean

    def _drain(self) -> bool:
        give_up = self.clock.monotonic() + DRAIN_TIMEOUT_S
        while self.callers.active() or self._in_flight():
            if self.clock.monotonic() >= give_up:
                return False
            time.sleep(DRAIN_POLL_S)
        return True

    def _in_flight(self) -> int:
        return sum(self.coordinator.in_flight_by_server().values())

    def _open_exchange(self, head: RequestHead) -> Exchange:
        def reply(message: AnswerMessage) -> None:
            self.pending.deliver(None, message)

        exchange = Exchange(head, reply, self.clock)
        self.coordinator.submit(exchange)
        return exchange

    def _open_stream(self, peer: str) -> Stream | None:
        machine = self.peers.vm_by_name().get(peer)
        if machine is None:
            return self.hub.open_stream(peer)
        return self.hub.stream_to(peer, machine.inner)

    def _next_owner(self, service: str, row: int) -> tuple[str, str]:
        table = self.router.table(service)
        known = None if table is None else table.rows_by_number().get(row)
        if known is None:
            return '', ''
        owner = known.next_owner or known.owner
        lease = self.router.lease(owner)
        elsewhere = lease is not None and lease.coordinator != self.settings.name
        return owner, lease.coordinator if lease is not None and elsewhere else ''

    def _next_lease(self, server: str) -> tuple[str, int]:
        lease = self.router.lease(server)
        if lease is None or lease.coordinator == self.settings.name:
            return '', 0
        return lease.coordinator, lease.epoch

    def _upload_services(self) -> frozenset[str]:
        return frozenset(
            service.name
            for service in self.router.document.services
            if service.kind is ServiceKind.UPLOAD
        )


def _open_port(server: BackendServer) -> BackendServerPort:
    return HttpBackendServer(server.address)


def _new_incarnation(clock: Clock) -> str:
    """Return a name for this process that sorts after those of earlier ones."""
    milliseconds = int(clock.now().timestamp() * 1000)
    return f'{milliseconds:012x}-{uuid.uuid4().hex[:12]}'
