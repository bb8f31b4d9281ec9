"""The object that creates and connects the parts of a daemon."""

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
from coltsfootstair.daemon._event_recorders import OwnershipRecorder, StateRecorder
from coltsfootstair.daemon._inbound import InboundDispatcher
from coltsfootstair.daemon._operator_history import DocumentHistory, RefusalRecorder
from coltsfootstair.daemon._operators import OperatorsAdapter
from coltsfootstair.daemon._ownership import OwnershipDependencies, OwnershipTask
from coltsfootstair.daemon._peers import PeerConnector, PeerDirectory
from coltsfootstair.daemon._reports import STATUS, TIMELINE, ReportService
from coltsfootstair.daemon._updates import UpdateService
from coltsfootstair.document import ServiceKind
from coltsfootstair.entry import CallerServer, PendingAnswers, Relay, RelayDependencies
from coltsfootstair.inner import Hello, Hub, ReportAnswer, ReportRequest
from coltsfootstair.inner._messages import PROTOCOL_VERSION
from coltsfootstair.leases import Candidate
from coltsfootstair.metrics import DaemonMetrics
from coltsfootstair.operators import DaemonState, OperatorsApp, OperatorsServer
from coltsfootstair.retries import UploadBudget
from coltsfootstair.routing import Router
from coltsfootstair.store import HttpStore, Replica, StoreIdentity
from coltsfootstair.timeline import EventName, Timeline
from coltsfootstair.updates import ReplicaTracker, StoreFeed

if TYPE_CHECKING:
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.clock import Clock
    from coltsfootstair.document import BackendServer
    from coltsfootstair.inner import AnswerMessage, RequestHead, Stream
    from coltsfootstair.settings import DaemonSettings

__all__ = ['Daemon']

logger = structlog.get_logger()

EXCHANGE_THREAD_COUNT = 256
"""Most requests that one daemon has in flight, at all its backend servers together."""

BYTES_PER_MIB = 1024 * 1024

FIRST_STORE_READ_TIMEOUT_S = 3.0
"""How long a start waits for the first answer of the store, in seconds."""

SHUTDOWN_POLL_INTERVAL_S = 0.05
"""Interval at which a shutdown checks whether requests wait or run, in seconds."""

SHUTDOWN_TIMEOUT_S = 900.0
"""How long a shutdown waits for the end of all requests, in seconds."""

LOAD_BALANCER_DELAY_S = 1.0
"""How long a daemon still accepts requests after it stops being ready, in seconds.

The load balancer sends requests until its probes of readiness have failed.
"""


class Daemon:
    """One process of Coltsfootstair: it serves callers and coordinates backend servers."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = _generate_incarnation(clock)
        self.metrics = DaemonMetrics(settings.name)
        self.replica = Replica()
        self.replica_tracker = ReplicaTracker(self.replica, clock, settings.data_centre)
        self.router = Router(random.Random(), self.replica_tracker.is_document_fresh)
        self.replica.subscribe(self.router.apply_object)
        self.timeline = Timeline(settings.name, clock)
        self.document_history = DocumentHistory(self.timeline)
        self.replica.subscribe(self.document_history.apply_object)
        ownership_recorder = OwnershipRecorder(settings.name, self.router, self.timeline)
        self.replica.subscribe(ownership_recorder.apply_object)
        self.refusal_recorder = RefusalRecorder(self.timeline)
        self.pending_answers = PendingAnswers()
        self._executor = ThreadPoolExecutor(EXCHANGE_THREAD_COUNT, 'exchange')
        self.coordinator = Coordinator(
            clock,
            self._executor,
            _create_client,
            self.replica_tracker.is_document_fresh,
            self._connect_peer,
            self._find_next_owner,
            self._find_next_lease,
        )
        self.inbound = InboundDispatcher(clock, self.coordinator, self.pending_answers)
        own_hello = Hello(
            PROTOCOL_VERSION, settings.name, settings.data_centre, self.incarnation
        )
        self.hub = Hub(own_hello, settings.inner, self.inbound, self.timeline, clock)
        identity = StoreIdentity(settings.name, settings.data_centre, self.hub.address)
        self.store = HttpStore(settings.store_url, identity)
        self.peers = PeerDirectory(self.store, clock)
        self.updates = UpdateService(
            settings, clock, self.hub, self.inbound, self.peers, self.replica_tracker
        )
        self.store_feed = StoreFeed(
            self.store, self.replica_tracker, clock, self.updates.is_watcher
        )
        self.ownership = OwnershipTask(
            OwnershipDependencies(
                Candidate(settings.name, self.incarnation, settings.data_centre),
                clock,
                self.store,
                self.replica,
                self.router,
                self.peers,
                self.hub,
                self.inbound,
                self.coordinator,
                _create_client,
            )
        )
        connector = PeerConnector(
            settings.name, self.hub, self.peers, self._open_exchange, self.coordinator.cancel
        )
        relay_dependencies = RelayDependencies(
            clock, self.router, connector, self.pending_answers, random.Random()
        )
        uploads = UploadBudget(settings.upload_memory_mib * BYTES_PER_MIB)
        self.callers = CallerServer(
            settings.callers,
            clock,
            Relay(relay_dependencies, uploads),
            self.is_ready,
            self._upload_services,
            self.metrics.count_request,
            self.refusal_recorder.record,
        )
        adapter = OperatorsAdapter(self)
        self.reports = ReportService(
            settings.name,
            clock,
            self.hub,
            self.peers.vm_by_name,
            {STATUS: adapter.report_status, TIMELINE: adapter.report_timeline},
        )
        self.inbound.add_handler(ReportRequest, self.reports.on_request)
        self.inbound.add_handler(ReportAnswer, self.reports.on_answer)
        self.operators = OperatorsServer(
            settings.operators, OperatorsApp(adapter, self.metrics.render_page), clock
        )
        self.state_recorder = StateRecorder(
            self.timeline,
            self.coordinator.loads,
            self.replica_tracker.is_document_fresh,
            lambda: self.store_feed.is_reachable,
            self.hub.list_connected_peers,
        )
        self._ready = False
        self._stopping = False
        self._pause_event = threading.Event()  # never set; only its wait is used

    def start(self) -> None:
        """Start to serve.

        :raises OSError: an address is in use
        """
        self.callers.bind()
        self.operators.open()
        self.hub.start()
        self.coordinator.start()
        self.store_feed.start()
        self.updates.start()
        if not self.store_feed.wait_for_first_read(FIRST_STORE_READ_TIMEOUT_S):
            logger.warning('store unreachable at start', url=self.settings.store_url)
        self.peers.poll()
        self.peers.start()
        self.ownership.start()
        self.state_recorder.start()
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
        """Return whether the load balancer should send callers to this daemon."""
        return self._ready and self.router.document_version > 0

    def state(self) -> DaemonState:
        """Return the state of this daemon, for operators."""
        if self._stopping:
            return DaemonState.STOPPING
        return DaemonState.READY if self.is_ready() else DaemonState.STARTING

    def stop(self) -> bool:
        """Shut down gracefully; return whether all requests ended in time."""
        self._ready = False
        self._stopping = True
        self.timeline.record(EventName.DAEMON_STOPPING, in_flight=self._count_requests())
        self._pause_event.wait(LOAD_BALANCER_DELAY_S)
        self.ownership.transfer_leases()
        all_requests_ended = self._wait_for_requests()
        self.callers.stop()
        self.operators.stop()
        self.ownership.stop()
        self.peers.stop()
        self.state_recorder.stop()
        self.updates.stop()
        self.store_feed.stop()
        self.reports.stop()
        self.coordinator.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        self.hub.stop()
        self.metrics.close()
        logger.info('stopped', clean=all_requests_ended)
        return all_requests_ended

    def _wait_for_requests(self) -> bool:
        deadline = self.clock.monotonic() + SHUTDOWN_TIMEOUT_S
        while self.callers.count_active() or self._count_requests():
            if self.clock.monotonic() >= deadline:
                return False
            time.sleep(SHUTDOWN_POLL_INTERVAL_S)
        return True

    def _count_requests(self) -> int:
        return sum(self.coordinator.request_count_by_server().values())

    def _open_exchange(self, head: RequestHead) -> Exchange:
        def reply(message: AnswerMessage) -> None:
            self.pending_answers.deliver(None, message)

        exchange = Exchange(head, reply, self.clock)
        self.coordinator.submit(exchange)
        return exchange

    def _connect_peer(self, peer: str) -> Stream | None:
        vm = self.peers.vm_by_name().get(peer)
        if vm is None:
            return self.hub.find_open_stream(peer)
        return self.hub.get_or_connect(peer, vm.inner_address)

    def _find_next_owner(self, service: str, row: int) -> tuple[str, str]:
        table = self.router.table(service)
        assigned_row = None if table is None else table.collect_rows().get(row)
        if assigned_row is None:
            return '', ''
        owner = assigned_row.next_owner or assigned_row.owner
        lease = self.router.lease(owner)
        is_elsewhere = lease is not None and lease.coordinator != self.settings.name
        return owner, lease.coordinator if lease is not None and is_elsewhere else ''

    def _find_next_lease(self, server: str) -> tuple[str, int]:
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


def _create_client(server: BackendServer) -> BackendServerPort:
    return HttpBackendServer(server.address)


def _generate_incarnation(clock: Clock) -> str:
    """Return an identifier of this process that sorts after those of earlier ones."""
    milliseconds = int(clock.now().timestamp() * 1000)
    return f'{milliseconds:012x}-{uuid.uuid4().hex[:12]}'
