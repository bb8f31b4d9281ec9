"""Keeps this daemon's leases: carries out what the lease decisions ask for."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.clock import Clock
from coltsfootstair.errors import ProtocolError, StoreConflictError, StoreUnavailableError
from coltsfootstair.inner import Hub
from coltsfootstair.inner._heartbeats import Heartbeat, HeartbeatReply
from coltsfootstair.leases import (
    STORE_REACHABLE_S,
    Candidate,
    Lease,
    LeaseRecord,
    decode_record,
    encode_record,
    handle,
    is_coordinator,
    is_standby,
    local_candidate,
    record_key,
)
from coltsfootstair.leases import _messages as lm
from coltsfootstair.membership import (
    ConnectionRefused,
    HeartbeatReceived,
    HeartbeatSent,
    ListedVm,
    MembershipState,
    VmListRead,
    peer_view,
    peers_due_heartbeat,
)
from coltsfootstair.membership import Tick as MembersTick
from coltsfootstair.membership import handle as handle_members
from coltsfootstair.store import Replica, Store, Versioned

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coltsfootstair.document import BackendServer
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.leases import PeerView
    from coltsfootstair.store import VirtualMachine

__all__ = ['LeaseKeeper', 'LeaseParts']

logger = structlog.get_logger()

REFUSED_WITHIN_S = 0.3
"""A connection that fails sooner was refused, in seconds."""

HOME_AFTER_S = 3.0
"""How long a daemon nearer to a server must answer before it is given the lease."""


class LeaseParts(NamedTuple):
    """What a lease keeper works with.

    :param post: has a callable run on the ownership task
    :param gained: called with each lease that may be acted on, and its epoch
    :param lost: called with each lease that may not be acted on any more
    """

    me: Candidate
    clock: Clock
    store: Store
    replica: Replica
    hub: Hub
    executor: Executor
    post: Callable[[Callable[[], None]], None]
    gained: Callable[[str, int], None]
    lost: Callable[[str], None]


class LeaseKeeper:
    """All leases as this daemon knows them; used on the ownership task's thread only."""

    def __init__(self, parts: LeaseParts) -> None:
        self._parts = parts
        self._lease_by_server: dict[str, Lease] = {}
        self._members = MembershipState(parts.me.name)
        self._asks_by_peer: dict[str, list[tuple[str, int, bytes]]] = defaultdict(list)
        self._connecting: set[str] = set()
        self._home_since: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._lost_by_peer: dict[str, frozenset[str]] = {}
        self.lost_here: frozenset[str] = frozenset()
        self.leaving = False

    def lease(self, server: str) -> Lease | None:
        """Return the lease of a backend server."""
        return self._lease_by_server.get(server)

    def acting(self) -> list[str]:
        """Return the servers that this daemon may act for."""
        return [
            name for name, item in self._lease_by_server.items() if item.coordinating_epoch
        ]

    def lost_servers(self) -> frozenset[str]:
        """Return the servers that do not answer their coordinators."""
        return self.lost_here.union(*self._lost_by_peer.values())

    def peers(self) -> PeerView:
        """Return how the other daemons look now."""
        return peer_view(self._members, self._now(), leaving=self.leaving)

    def tick(self, servers: Iterable[BackendServer]) -> None:
        """Let time pass for all leases, and send the heartbeats that are due."""
        for server in servers:
            if server.name not in self._lease_by_server:
                self._begin(server)
        close = frozenset(self._close_peers())
        self._members = handle_members(self._members, MembersTick(close), self._now())
        peers = self.peers()
        self._lost_by_peer = {
            name: lost
            for name, lost in self._lost_by_peer.items()
            if name in peers.alive_by_name
        }
        for name in self._lease_by_server:
            self.take(name, lm.Tick(peers))
            self._give_away(name)
        self._send_heartbeats()

    def take(self, server: str, event: lm.Event) -> None:
        """Take an event of one lease in."""
        lease = self._lease_by_server.get(server)
        if lease is None:
            return
        self._lease_by_server[server], effects = handle(lease, event, self._now())
        for effect in effects:
            self._perform(server, effect)

    def take_object(self, item: Versioned) -> None:
        """Follow a change of the replica."""
        record = _decoded(item)
        if record is not None:
            server = item.key.removeprefix(record_key(''))
            self.take(server, lm.RecordObserved(item.version, record))

    def take_vms(self, asked_at: float, vm_by_name: Mapping[str, VirtualMachine]) -> None:
        """Follow the platform's list."""
        vms = tuple(ListedVm(*vm) for vm in vm_by_name.values())
        self._members = handle_members(self._members, VmListRead(asked_at, vms), self._now())

    def take_heartbeat(self, stream: Stream, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat, and confirm what is asked for in it."""
        self._hear(heartbeat)
        self._lost_by_peer[heartbeat.name] = frozenset(heartbeat.lost)
        confirmed = []
        for server, version, value in heartbeat.asks:
            lease = self._lease_by_server.get(server)
            record = _decoded(Versioned('', version, value))
            if lease is None or record is None:
                continue
            asked = lm.ConfirmationRequested(version, record, heartbeat.sent_at)
            self._lease_by_server[server], effects = handle(lease, asked, self._now())
            for effect in effects:
                if isinstance(effect, lm.SendConfirmation):
                    confirmed.append((server, effect.version))
                else:
                    self._perform(server, effect)
        stream.send(
            HeartbeatReply(*self._parts.me, self.leaving, heartbeat.sent_at, confirmed)
        )

    def take_reply(self, reply: HeartbeatReply) -> None:
        """Take the answer to a heartbeat in."""
        self._hear(reply)
        for server, version in reply.confirmed:
            self.take(
                server,
                lm.ConfirmationReceived(reply.name, reply.incarnation, version, reply.sent_at),
            )

    def leave(self) -> None:
        """Take on nothing more, and give every lease to another daemon."""
        self.leaving = True

    def _begin(self, server: BackendServer) -> None:
        lease = Lease(server.name, server.data_centre, self._parts.me)
        self._lease_by_server[server.name] = lease
        self.take_object(self._parts.replica.get(record_key(server.name)))

    def _close_peers(self) -> set[str]:
        names: set[str] = set()
        for lease in self._lease_by_server.values():
            if lease.record is None:
                continue
            if is_coordinator(lease):
                names.add(lease.record.standby)
            elif is_standby(lease):
                names.add(lease.record.coordinator)
        return names - {''}

    def _give_away(self, server: str) -> None:
        """Hand a lease over that another daemon is to have; the store must be seen up."""
        lease = self._lease_by_server[server]
        if not lease.coordinating_epoch or lease.successor is not None:
            self._home_since.pop(server, None)
            return
        successor = self._successor(lease)
        if successor is None:
            return
        if self._now() - lease.store_read_at > STORE_REACHABLE_S:
            if self._now() - self._read_at.get(server, -math.inf) >= STORE_REACHABLE_S:
                self._read_at[server] = self._now()
                self._parts.executor.submit(self._read, server, self._now())
            return
        self.take(server, lm.TransferRequested(successor))

    def _successor(self, lease: Lease) -> Candidate | None:
        """Return who is to have the lease in this daemon's place, if anyone."""
        home = local_candidate(lease)
        if self.leaving:
            record = lease.record
            standby = None if record is None else lease.peers.alive_by_name.get(record.standby)
            return home or standby
        if home is None or lease.own.data_centre == lease.data_centre:
            self._home_since.pop(lease.backend_server, None)
            return None
        since = self._home_since.setdefault(lease.backend_server, self._now())
        return home if self._now() - since >= HOME_AFTER_S else None

    def _perform(self, server: str, effect: lm.Effect) -> None:
        match effect:
            case lm.ReadRecord(asked_at):
                self._parts.executor.submit(self._read, server, asked_at)
            case lm.WriteRecord(record, expected):
                self._parts.executor.submit(self._write, server, record, expected)
            case lm.RequestConfirmation(version, record, _):
                ask = (server, version, encode_record(record))
                self._asks_by_peer[record.standby].append(ask)
            case lm.StartCoordinating(epoch):
                self._parts.gained(server, epoch)
            case lm.StopCoordinating():
                self._parts.lost(server)

    def _read(self, server: str, asked_at: float) -> None:
        event: lm.Event
        try:
            item = self._parts.store.get(record_key(server))
            event = lm.RecordRead(asked_at, item.version, _decoded(item))
            self._parts.replica.apply([item] if item.version else [])
        except StoreUnavailableError:
            event = lm.ReadFailed()
        self._parts.post(lambda: self.take(server, event))

    def _write(self, server: str, record: LeaseRecord, expected: int) -> None:
        event: lm.Event
        key, value = record_key(server), encode_record(record)
        try:
            version = self._parts.store.put(key, value, expected=expected)
            event = lm.WriteAccepted(record, expected, version)
            self._parts.replica.apply([Versioned(key, version, value)])
            logger.info('lease written', server=server, holder=record.coordinator)
        except StoreConflictError:
            event = lm.WriteConflicted(expected)
        except StoreUnavailableError:
            event = lm.WriteUnanswered(expected)
        self._parts.post(lambda: self.take(server, event))

    def _hear(self, message: Heartbeat | HeartbeatReply) -> None:
        candidate = lm.Candidate(message.name, message.incarnation, message.data_centre)
        heard = HeartbeatReceived(candidate, message.leaving)
        self._members = handle_members(self._members, heard, self._now())

    def _send_heartbeats(self) -> None:
        asks_by_peer, self._asks_by_peer = self._asks_by_peer, defaultdict(list)
        due = {peer.name for peer in peers_due_heartbeat(self._members, self._now())}
        for name in due | asks_by_peer.keys():
            self._send_heartbeat(name, asks_by_peer.get(name, []))

    def _send_heartbeat(self, name: str, asks: list[tuple[str, int, bytes]]) -> None:
        now = self._now()
        self._members = handle_members(self._members, HeartbeatSent(name), now)
        message: Message = Heartbeat(
            *self._parts.me, self.leaving, now, asks, sorted(self.lost_here)
        )
        stream = self._parts.hub.open_stream(name)
        if stream is not None:
            stream.send(message)
            return
        peer = self._members.peer_by_name.get(name)
        if peer is not None and peer.inner_address and name not in self._connecting:
            self._connecting.add(name)
            self._parts.executor.submit(self._connect, name, peer.inner_address)

    def _connect(self, name: str, address: str) -> None:
        asked_at = self._now()
        stream = self._parts.hub.stream_to(name, address)
        refused = stream is None and self._now() - asked_at < REFUSED_WITHIN_S
        self._parts.post(lambda: self._connected(name, refused=refused))

    def _connected(self, name: str, *, refused: bool) -> None:
        self._connecting.discard(name)
        if refused:
            self._members = handle_members(self._members, ConnectionRefused(name), self._now())

    def _now(self) -> float:
        return self._parts.clock.monotonic()


def _decoded(item: Versioned) -> LeaseRecord | None:
    if not item.value:
        return None
    try:
        return decode_record(item.value)
    except ProtocolError:
        logger.warning('lease record refused', key=item.key, version=item.version)
        return None
