"""The task that keeps leases, grants rows, and plans which rows move."""

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
from coltsfootstair.daemon._inbound import Inbound
from coltsfootstair.daemon._lease_keeper import LeaseKeeper, LeaseParts
from coltsfootstair.daemon._peers import PeerDirectory
from coltsfootstair.daemon._planning import (
    TELL_EVERY_S,
    LoadCounts,
    Planning,
    PlanningParts,
)
from coltsfootstair.daemon._server_keeper import ServerKeeper, ServerParts
from coltsfootstair.document import BackendServer
from coltsfootstair.inner import Hub
from coltsfootstair.inner._heartbeats import Heartbeat, HeartbeatReply, LoadReported
from coltsfootstair.leases import LEASE_PREFIX, Candidate, is_coordinator, rights_until
from coltsfootstair.leases import _messages as lm
from coltsfootstair.routing import Router
from coltsfootstair.store import Replica, Store

if TYPE_CHECKING:
    from coltsfootstair.coordinator import RowsGranted
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.store import Versioned, VirtualMachine

__all__ = ['OwnershipParts', 'OwnershipTask']

logger = structlog.get_logger()

TICK_S = 0.03
STORE_THREADS = 16
SERVER_THREADS = 32
HAND_OVER_TIMEOUT_S = 3.0
HAND_OVER_POLL_S = 0.02
STOP_TIMEOUT_S = 2.0


class OwnershipParts(NamedTuple):
    """What the ownership task works with."""

    me: Candidate
    clock: Clock
    store: Store
    replica: Replica
    router: Router
    peers: PeerDirectory
    hub: Hub
    inbound: Inbound
    coordinator: Coordinator
    open_port: Callable[[BackendServer], BackendServerPort]


class OwnershipTask:
    """Owns the state of all leases and of the servers that this daemon coordinates."""

    def __init__(self, parts: OwnershipParts) -> None:
        self._parts = parts
        self._mailbox: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._store_calls = ThreadPoolExecutor(STORE_THREADS, 'ownership-store')
        self._server_calls = ThreadPoolExecutor(SERVER_THREADS, 'ownership-server')
        self._known_by_name: dict[str, BackendServer] = {}
        self._keeper_by_server: dict[str, ServerKeeper] = {}
        self._standing_by: set[str] = set()
        self._ended_by_server: dict[str, ServerKeeper] = {}
        self._counts = LoadCounts(parts.clock)
        self._reported_at = parts.clock.monotonic()
        self._leases = LeaseKeeper(
            LeaseParts(
                parts.me,
                parts.clock,
                parts.store,
                parts.replica,
                parts.hub,
                self._store_calls,
                self.post,
                self._gained,
                self._lost,
            )
        )
        self._planning = Planning(
            PlanningParts(
                parts.me.name,
                parts.clock,
                parts.store,
                parts.replica,
                self._store_calls,
                parts.router.table,
                self.post,
            )
        )
        self._thread = threading.Thread(target=self._run, name='ownership', daemon=True)

    def start(self) -> None:
        """Begin to keep leases."""
        parts = self._parts
        parts.replica.subscribe(self._object_seen)
        parts.peers.subscribe(self._vms_read)
        parts.inbound.add_handler(Heartbeat, self._received)
        parts.inbound.add_handler(HeartbeatReply, self._received)
        parts.inbound.add_handler(LoadReported, self._received)
        parts.coordinator.set_listeners(self._idle, self._counts.count)
        self._vms_read(parts.clock.monotonic(), parts.peers.vm_by_name())
        self._thread.start()

    def hand_over(self) -> None:
        """Give all leases to other daemons; waits until that is known, or for a while."""
        self.post(self._leases.leave)
        give_up = self._parts.clock.monotonic() + HAND_OVER_TIMEOUT_S
        pause = threading.Event()
        while self._parts.clock.monotonic() < give_up:
            pause.wait(HAND_OVER_POLL_S)
            if not self._holds_any():
                return

    def stop(self) -> None:
        """End the task."""
        self._mailbox.put(None)
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        self._store_calls.shutdown(wait=False, cancel_futures=True)
        self._server_calls.shutdown(wait=False, cancel_futures=True)

    def post(self, act: Callable[[], None]) -> None:
        """Have ``act`` run on this task, from any thread."""
        self._mailbox.put(act)

    def _run(self) -> None:
        clock = self._parts.clock
        next_tick = clock.monotonic()
        while True:
            try:
                act = self._mailbox.get(timeout=max(next_tick - clock.monotonic(), 0.001))
                if act is None:
                    return
                self._guarded(act)
            except queue.Empty:
                pass
            if clock.monotonic() >= next_tick:
                next_tick = clock.monotonic() + TICK_S
                self._guarded(self._tick)

    @staticmethod
    def _guarded(act: Callable[[], None]) -> None:
        try:
            act()
        except Exception:
            logger.exception('ownership step failed')

    def _tick(self) -> None:
        document = self._parts.router.document
        self._known_by_name.update({s.name: s for s in document.backend_servers})
        self._leases.tick(self._known_by_name.values())
        self._finish_hand_overs()
        for name, keeper in list(self._keeper_by_server.items()):
            self._tick_server(name, keeper)
        lost_here = frozenset(
            name for name, keeper in self._keeper_by_server.items() if keeper.is_lost()
        )
        if lost_here != self._leases.lost_here:
            logger.info('backend servers lost', servers=sorted(lost_here))
        self._leases.lost_here = lost_here
        for name in self._known_by_name:
            self._follow_standby(name)
        peers = self._leases.peers()
        lost = self._leases.lost_servers()
        self._planning.tick(document, peers, lost, self._leases.lost_here)
        self._tell_load()

    def _tick_server(self, name: str, keeper: ServerKeeper) -> None:
        lease = self._leases.lease(name)
        if lease is None:
            return
        server = self._known_by_name[name]
        for service in self._parts.router.document.services:
            if service.name == server.service:
                keeper.follow(server, service)
        keeper.tick(rights_until(lease))

    def _finish_hand_overs(self) -> None:
        """Let a lease go once nothing that was begun under it is under way."""
        for name in self._known_by_name:
            lease = self._leases.lease(name)
            if lease is None or lease.successor is None or lease.stopped:
                continue
            ended = self._ended_by_server.get(name)
            if ended is None or not ended.writes:
                self._leases.take(name, lm.Stopped())

    def _holds_any(self) -> bool:
        leases = [self._leases.lease(name) for name in list(self._known_by_name)]
        return any(item is not None and is_coordinator(item) for item in leases)

    def _gained(self, name: str, epoch: int) -> None:
        server = self._known_by_name[name]
        services = [
            s for s in self._parts.router.document.services if s.name == server.service
        ]
        if not services:
            return
        ended = self._ended_by_server.pop(name, None)
        if ended is not None and ended.may_resume(server, services[0], epoch):
            logger.info('lease confirmed again', server=name, epoch=epoch)
            self._keeper_by_server[name] = ended
            ended.resume()
            return
        port = self._parts.open_port(server)
        keeper = ServerKeeper(self._server_parts(), server, services[0], port, epoch)
        self._keeper_by_server[name] = keeper
        logger.info('lease gained', server=name, epoch=epoch)
        keeper.begin()

    def _lost(self, name: str) -> None:
        keeper = self._keeper_by_server.pop(name, None)
        if keeper is None:
            return
        logger.info('lease lost', server=name)
        keeper.end()
        self._ended_by_server[name] = keeper

    def _server_parts(self) -> ServerParts:
        parts = self._parts
        return ServerParts(
            parts.clock,
            parts.store,
            parts.replica,
            parts.coordinator,
            self._store_calls,
            self._server_calls,
            self.post,
            self._standby,
        )

    def _standby(self, server: str) -> str:
        record = self._parts.router.lease(server)
        return '' if record is None else record.standby

    def _follow_standby(self, server: str) -> None:
        """Tell the coordinator task when this daemon no longer stands by for a server."""
        record = self._parts.router.lease(server)
        own = self._parts.me.name
        stands_by = record is not None and own in (record.standby, record.coordinator)
        if not stands_by and server in self._standing_by:
            self._parts.coordinator.post(StandbyRoleEnded(server))
        (self._standing_by.add if stands_by else self._standing_by.discard)(server)

    def _object_seen(self, item: Versioned) -> None:
        self.post(lambda: self._take_object(item))

    def _take_object(self, item: Versioned) -> None:
        if item.key.startswith(LEASE_PREFIX):
            self._leases.take_object(item)
        else:
            for keeper in list(self._keeper_by_server.values()):
                if item.key.startswith(f'tables/{keeper.server.service}/'):
                    keeper.take_object(item)

    def _vms_read(self, asked_at: float, vm_by_name: dict[str, VirtualMachine]) -> None:
        self.post(lambda: self._leases.take_vms(asked_at, vm_by_name))

    def _received(self, stream: Stream, message: Message) -> None:
        self.post(lambda: self._take_message(stream, message))

    def _take_message(self, stream: Stream, message: Message) -> None:
        match message:
            case Heartbeat():
                self._leases.take_heartbeat(stream, message)
            case HeartbeatReply():
                self._leases.take_reply(message)
            case LoadReported():
                self._planning.take_load(message)

    def _idle(self, granted: RowsGranted, rows: frozenset[int]) -> None:
        def take() -> None:
            keeper = self._keeper_by_server.get(granted.backend_server)
            if keeper is not None:
                keeper.take_idle(granted, rows)

        self.post(take)

    def _tell_load(self) -> None:
        now = self._parts.clock.monotonic()
        if now - self._reported_at < TELL_EVERY_S:
            return
        self._reported_at = now
        peers = self._leases.peers()
        for load in self._counts.reported():
            planner = self._planning.planner_of(load.service, peers)
            stream = self._parts.hub.open_stream(planner)
            if planner == self._parts.me.name:
                self._planning.take_load(load)
            elif stream is not None:
                stream.send(cast('Message', load))
