"""The task that manages leases, grants rows to backend servers and plans their moves."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, NamedTuple, cast

import structlog

from coltsfootstair.backend import BackendServerPort
from coltsfootstair.clock import Clock
from coltsfootstair.coordinator import Coordinator, StandbyRoleEnded
from coltsfootstair.daemon._inbound import InboundDispatcher
from coltsfootstair.daemon._lease_manager import LeaseDependencies, LeaseManager
from coltsfootstair.daemon._peers import PeerDirectory
from coltsfootstair.daemon._planning import (
    LOAD_REPORT_INTERVAL_S,
    LoadCounter,
    PlannerDependencies,
    TablePlanner,
)
from coltsfootstair.daemon._row_manager import RowDependencies, RowManager
from coltsfootstair.document import BackendServer
from coltsfootstair.inner import Hub
from coltsfootstair.inner._heartbeats import Heartbeat, HeartbeatReply, LoadReported
from coltsfootstair.leases import LEASE_PREFIX, Candidate, is_coordinator, lease_expiry
from coltsfootstair.leases import _messages as lease_messages
from coltsfootstair.routing import Router
from coltsfootstair.store import Replica, Store

if TYPE_CHECKING:
    from coltsfootstair.coordinator import RowsGranted
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.store import VersionedObject, VirtualMachine

__all__ = ['OwnershipDependencies', 'OwnershipTask']

logger = structlog.get_logger()

TICK_INTERVAL_S = 0.03
"""Interval at which leases, rows and plans are updated, in seconds."""

STORE_THREAD_COUNT = 16
"""Most calls to the store, and connection attempts to daemons, at once."""

SERVER_THREAD_COUNT = 32
"""Most grant calls and probes to backend servers at once."""

TRANSFER_TIMEOUT_S = 3.0
"""How long a shutdown waits until other daemons have the leases, in seconds."""

TRANSFER_POLL_INTERVAL_S = 0.02
"""Interval at which a shutdown checks who has the leases, in seconds."""

STOP_TIMEOUT_S = 2.0
"""How long ``stop`` waits for the thread of the task, in seconds."""


class OwnershipDependencies(NamedTuple):
    """What the ownership task works with.

    :param own: name, incarnation and data centre of this process
    :param create_client: returns the client for a backend server
    """

    own: Candidate
    clock: Clock
    store: Store
    replica: Replica
    router: Router
    peers: PeerDirectory
    hub: Hub
    inbound: InboundDispatcher
    coordinator: Coordinator
    create_client: Callable[[BackendServer], BackendServerPort]


class OwnershipTask:
    """Owns the state of all leases, and of the rows of the coordinated backend servers."""

    def __init__(self, dependencies: OwnershipDependencies) -> None:
        self._dependencies = dependencies
        self._mailbox: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._store_executor = ThreadPoolExecutor(STORE_THREAD_COUNT, 'ownership-store')
        self._server_executor = ThreadPoolExecutor(SERVER_THREAD_COUNT, 'ownership-server')
        self._server_by_name: dict[str, BackendServer] = {}
        self._manager_by_server: dict[str, RowManager] = {}
        self._servers_with_own_name_in_lease: set[str] = set()
        self._stopped_manager_by_server: dict[str, RowManager] = {}
        self._load_counter = LoadCounter(dependencies.clock)
        self._reported_at = dependencies.clock.monotonic()
        self._leases = LeaseManager(
            LeaseDependencies(
                dependencies.own,
                dependencies.clock,
                dependencies.store,
                dependencies.replica,
                dependencies.hub,
                self._store_executor,
                self.post,
                self._on_coordination_started,
                self._on_coordination_stopped,
            )
        )
        self._planner = TablePlanner(
            PlannerDependencies(
                dependencies.own.name,
                dependencies.clock,
                dependencies.store,
                dependencies.replica,
                self._store_executor,
                dependencies.router.table,
                self.post,
            )
        )
        self._thread = threading.Thread(target=self._run, name='ownership', daemon=True)

    def start(self) -> None:
        """Subscribe to what the task depends on, and start it."""
        dependencies = self._dependencies
        dependencies.replica.subscribe(self._on_object)
        dependencies.peers.subscribe(self._on_vm_list)
        dependencies.inbound.add_handler(Heartbeat, self._on_message)
        dependencies.inbound.add_handler(HeartbeatReply, self._on_message)
        dependencies.inbound.add_handler(LoadReported, self._on_message)
        dependencies.coordinator.set_listeners(self._on_rows_idle, self._load_counter.count)
        self._on_vm_list(dependencies.clock.monotonic(), dependencies.peers.vm_by_name())
        self._thread.start()

    def transfer_leases(self) -> None:
        """Transfer all leases; block until that is done, or for ``TRANSFER_TIMEOUT_S``."""
        self.post(self._leases.start_shutdown)
        deadline = self._dependencies.clock.monotonic() + TRANSFER_TIMEOUT_S
        pause = threading.Event()
        while self._dependencies.clock.monotonic() < deadline:
            pause.wait(TRANSFER_POLL_INTERVAL_S)
            if not self._coordinates_any():
                return

    def stop(self) -> None:
        """Stop the task."""
        self._mailbox.put(None)
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        self._store_executor.shutdown(wait=False, cancel_futures=True)
        self._server_executor.shutdown(wait=False, cancel_futures=True)

    def post(self, action: Callable[[], None]) -> None:
        """Run ``action`` on this task's thread; may be called from any thread."""
        self._mailbox.put(action)

    def _run(self) -> None:
        clock = self._dependencies.clock
        next_tick = clock.monotonic()
        while True:
            try:
                action = self._mailbox.get(timeout=max(next_tick - clock.monotonic(), 0.001))
                if action is None:
                    return
                self._run_guarded(action)
            except queue.Empty:
                pass
            if clock.monotonic() >= next_tick:
                next_tick = clock.monotonic() + TICK_INTERVAL_S
                self._run_guarded(self._tick)

    @staticmethod
    def _run_guarded(action: Callable[[], None]) -> None:
        try:
            action()
        except Exception:
            logger.exception('step of the ownership task failed')

    def _tick(self) -> None:
        document = self._dependencies.router.document
        self._server_by_name.update({s.name: s for s in document.backend_servers})
        self._leases.tick(self._server_by_name.values())
        self._finish_transfers()
        for name, manager in list(self._manager_by_server.items()):
            self._tick_server(name, manager)
        unresponsive_here = frozenset(
            name
            for name, manager in self._manager_by_server.items()
            if manager.is_unresponsive()
        )
        if unresponsive_here != self._leases.unresponsive_here:
            logger.info(
                'unresponsive backend servers changed', servers=sorted(unresponsive_here)
            )
        self._leases.unresponsive_here = unresponsive_here
        for name in self._server_by_name:
            self._update_standby_role(name)
        peers = self._leases.peers()
        unresponsive = self._leases.unresponsive_servers()
        self._planner.tick(document, peers, unresponsive, self._leases.unresponsive_here)
        self._send_load_reports()

    def _tick_server(self, name: str, manager: RowManager) -> None:
        lease = self._leases.lease(name)
        if lease is None:
            return
        server = self._server_by_name[name]
        for service in self._dependencies.router.document.services:
            if service.name == server.service:
                manager.update_server(server, service)
        manager.tick(lease_expiry(lease))

    def _finish_transfers(self) -> None:
        """Allow the transfer of a lease once no write that was begun under it is pending."""
        for name in self._server_by_name:
            lease = self._leases.lease(name)
            if lease is None or lease.successor is None or lease.work_stopped:
                continue
            stopped_manager = self._stopped_manager_by_server.get(name)
            if stopped_manager is None or not stopped_manager.pending_write_count:
                self._leases.apply_event(name, lease_messages.WorkStopped())

    def _coordinates_any(self) -> bool:
        leases = [self._leases.lease(name) for name in list(self._server_by_name)]
        return any(lease is not None and is_coordinator(lease) for lease in leases)

    def _on_coordination_started(self, name: str, epoch: int) -> None:
        server = self._server_by_name[name]
        services = [
            s for s in self._dependencies.router.document.services if s.name == server.service
        ]
        if not services:
            return
        stopped_manager = self._stopped_manager_by_server.pop(name, None)
        if stopped_manager is not None and stopped_manager.may_resume(
            server, services[0], epoch
        ):
            logger.info('coordination resumed', server=name, epoch=epoch)
            self._manager_by_server[name] = stopped_manager
            stopped_manager.resume()
            return
        client = self._dependencies.create_client(server)
        manager = RowManager(
            self._build_row_dependencies(), server, services[0], client, epoch
        )
        self._manager_by_server[name] = manager
        logger.info('coordination started', server=name, epoch=epoch)
        manager.start()

    def _on_coordination_stopped(self, name: str) -> None:
        manager = self._manager_by_server.pop(name, None)
        if manager is None:
            return
        logger.info('coordination stopped', server=name)
        manager.stop()
        self._stopped_manager_by_server[name] = manager

    def _build_row_dependencies(self) -> RowDependencies:
        dependencies = self._dependencies
        return RowDependencies(
            dependencies.clock,
            dependencies.store,
            dependencies.replica,
            dependencies.coordinator,
            self._store_executor,
            self._server_executor,
            self.post,
            self._find_standby,
        )

    def _find_standby(self, server: str) -> str:
        record = self._dependencies.router.lease(server)
        return '' if record is None else record.standby

    def _update_standby_role(self, server: str) -> None:
        """Notify the coordinator task if a lease record no longer names this daemon."""
        record = self._dependencies.router.lease(server)
        own_name = self._dependencies.own.name
        is_named = record is not None and own_name in (record.standby, record.coordinator)
        if not is_named and server in self._servers_with_own_name_in_lease:
            self._dependencies.coordinator.post(StandbyRoleEnded(server))
        (
            self._servers_with_own_name_in_lease.add
            if is_named
            else self._servers_with_own_name_in_lease.discard
        )(server)

    def _on_object(self, item: VersionedObject) -> None:
        self.post(lambda: self._apply_object(item))

    def _apply_object(self, item: VersionedObject) -> None:
        if item.key.startswith(LEASE_PREFIX):
            self._leases.apply_object(item)
        else:
            for manager in list(self._manager_by_server.values()):
                if item.key.startswith(f'tables/{manager.server.service}/'):
                    manager.apply_object(item)

    def _on_vm_list(self, polled_at: float, vm_by_name: dict[str, VirtualMachine]) -> None:
        self.post(lambda: self._leases.apply_vm_list(polled_at, vm_by_name))

    def _on_message(self, stream: Stream, message: Message) -> None:
        self.post(lambda: self._apply_message(stream, message))

    def _apply_message(self, stream: Stream, message: Message) -> None:
        match message:
            case Heartbeat():
                self._leases.apply_heartbeat(stream, message)
            case HeartbeatReply():
                self._leases.apply_heartbeat_reply(message)
            case LoadReported():
                self._planner.apply_load(message)

    def _on_rows_idle(self, granted_rows: RowsGranted, rows: frozenset[int]) -> None:
        def apply() -> None:
            manager = self._manager_by_server.get(granted_rows.backend_server)
            if manager is not None:
                manager.apply_idle_rows(granted_rows, rows)

        self.post(apply)

    def _send_load_reports(self) -> None:
        now = self._dependencies.clock.monotonic()
        if now - self._reported_at < LOAD_REPORT_INTERVAL_S:
            return
        self._reported_at = now
        peers = self._leases.peers()
        for load in self._load_counter.collect_reports():
            planner_name = self._planner.choose_planner(load.service, peers)
            stream = self._dependencies.hub.find_open_stream(planner_name)
            if planner_name == self._dependencies.own.name:
                self._planner.apply_load(load)
            elif stream is not None:
                stream.send(cast('Message', load))
