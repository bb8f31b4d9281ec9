"""Manages the leases of a daemon: executes the effects of the lease decisions."""

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
    find_local_candidate,
    handle,
    is_coordinator,
    is_standby,
    record_key,
)
from coltsfootstair.leases import _messages as lease_messages
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
from coltsfootstair.membership import Tick as MembershipTick
from coltsfootstair.membership import handle as handle_membership
from coltsfootstair.store import Replica, Store, VersionedObject

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coltsfootstair.document import BackendServer
    from coltsfootstair.inner import Message, Stream
    from coltsfootstair.leases import PeerView
    from coltsfootstair.store import VirtualMachine

__all__ = ['LeaseDependencies', 'LeaseManager']

logger = structlog.get_logger()

CONNECTION_REFUSED_WITHIN_S = 0.3
"""A connection attempt that fails within this time counts as refused, in seconds."""

LOCAL_CANDIDATE_RESPONSIVE_S = 3.0
"""How long a daemon must have answered before it gets the lease of a server, in seconds.

This concerns a daemon in the data centre of the server.
"""


class LeaseDependencies(NamedTuple):
    """What a lease manager works with.

    :param own: name, incarnation and data centre of this process
    :param post: runs a callable on the ownership task
    :param on_coordination_started: called with the backend server and epoch of a lease under
        which this daemon may coordinate from now on
    :param on_coordination_stopped: called with the backend server of a lease under which this
        daemon may no longer coordinate
    """

    own: Candidate
    clock: Clock
    store: Store
    replica: Replica
    hub: Hub
    executor: Executor
    post: Callable[[Callable[[], None]], None]
    on_coordination_started: Callable[[str, int], None]
    on_coordination_stopped: Callable[[str], None]


class LeaseManager:
    """Has all leases as this daemon knows them; used on the ownership task's thread only.

    ``unresponsive_here`` has the backend servers that do not answer this daemon as their
    coordinator; ``is_shutting_down`` is set when this daemon is shutting down.
    """

    def __init__(self, dependencies: LeaseDependencies) -> None:
        self._dependencies = dependencies
        self._lease_by_server: dict[str, Lease] = {}
        self._membership = MembershipState(dependencies.own.name)
        self._confirmation_requests_by_peer: dict[str, list[tuple[str, int, bytes]]] = (
            defaultdict(list)
        )
        self._connecting_peers: set[str] = set()
        self._local_responsive_since_by_server: dict[str, float] = {}
        self._transfer_read_sent_at_by_server: dict[str, float] = {}
        self._unresponsive_by_peer: dict[str, frozenset[str]] = {}
        self.unresponsive_here: frozenset[str] = frozenset()
        self.is_shutting_down = False

    def lease(self, server: str) -> Lease | None:
        """Return the lease of a backend server."""
        return self._lease_by_server.get(server)

    def coordinated_servers(self) -> list[str]:
        """Return the backend servers that this daemon may coordinate."""
        return [
            name for name, item in self._lease_by_server.items() if item.coordinating_epoch
        ]

    def unresponsive_servers(self) -> frozenset[str]:
        """Return the backend servers that do not answer their coordinators."""
        return self.unresponsive_here.union(*self._unresponsive_by_peer.values())

    def peers(self) -> PeerView:
        """Return the present view of the other daemons."""
        return peer_view(self._membership, self._now(), leaving=self.is_shutting_down)

    def tick(self, servers: Iterable[BackendServer]) -> None:
        """Apply the passing of time to all leases, and send the heartbeats that are due."""
        for server in servers:
            if server.name not in self._lease_by_server:
                self._add_lease(server)
        partners = frozenset(self._find_lease_partners())
        self._membership = handle_membership(
            self._membership, MembershipTick(partners), self._now()
        )
        peers = self.peers()
        self._unresponsive_by_peer = {
            name: unresponsive
            for name, unresponsive in self._unresponsive_by_peer.items()
            if name in peers.alive_by_name
        }
        for name in self._lease_by_server:
            self.apply_event(name, lease_messages.Tick(peers))
            self._transfer_if_due(name)
        self._send_heartbeats()

    def apply_event(self, server: str, event: lease_messages.Event) -> None:
        """Apply an event to one lease, and execute the effects."""
        lease = self._lease_by_server.get(server)
        if lease is None:
            return
        self._lease_by_server[server], effects = handle(lease, event, self._now())
        for effect in effects:
            self._execute(server, effect)

    def apply_object(self, item: VersionedObject) -> None:
        """Apply a lease record that has changed in the replica."""
        record = _decode_record(item)
        if record is not None:
            server = item.key.removeprefix(record_key(''))
            self.apply_event(server, lease_messages.RecordObserved(item.version, record))

    def apply_vm_list(
        self, polled_at: float, vm_by_name: Mapping[str, VirtualMachine]
    ) -> None:
        """Apply the platform's VM list.

        :param polled_at: when the read of the list was sent, in monotonic seconds
        """
        vms = tuple(ListedVm(*vm) for vm in vm_by_name.values())
        self._membership = handle_membership(
            self._membership, VmListRead(polled_at, vms), self._now()
        )

    def apply_heartbeat(self, stream: Stream, heartbeat: Heartbeat) -> None:
        """Answer a heartbeat, and confirm the leases that it requests to be confirmed."""
        self._record_heartbeat(heartbeat)
        self._unresponsive_by_peer[heartbeat.name] = frozenset(heartbeat.unresponsive_servers)
        confirmed = []
        for server, version, value in heartbeat.leases_to_confirm:
            lease = self._lease_by_server.get(server)
            record = _decode_record(VersionedObject('', version, value))
            if lease is None or record is None:
                continue
            request = lease_messages.ConfirmationRequested(version, record, heartbeat.sent_at)
            self._lease_by_server[server], effects = handle(lease, request, self._now())
            for effect in effects:
                if isinstance(effect, lease_messages.SendConfirmation):
                    confirmed.append((server, effect.version))
                else:
                    self._execute(server, effect)
        stream.send(
            HeartbeatReply(
                *self._dependencies.own, self.is_shutting_down, heartbeat.sent_at, confirmed
            )
        )

    def apply_heartbeat_reply(self, reply: HeartbeatReply) -> None:
        """Apply the answer to a heartbeat, with the leases that it confirms."""
        self._record_heartbeat(reply)
        for server, version in reply.confirmed:
            self.apply_event(
                server,
                lease_messages.ConfirmationReceived(
                    reply.name, reply.incarnation, version, reply.sent_at
                ),
            )

    def start_shutdown(self) -> None:
        """Accept no further lease, and transfer every lease to another daemon."""
        self.is_shutting_down = True

    def _add_lease(self, server: BackendServer) -> None:
        lease = Lease(server.name, server.data_centre, self._dependencies.own)
        self._lease_by_server[server.name] = lease
        self.apply_object(self._dependencies.replica.get(record_key(server.name)))

    def _find_lease_partners(self) -> set[str]:
        partner_names: set[str] = set()
        for lease in self._lease_by_server.values():
            if lease.record is None:
                continue
            if is_coordinator(lease):
                partner_names.add(lease.record.standby)
            elif is_standby(lease):
                partner_names.add(lease.record.coordinator)
        return partner_names - {''}

    def _transfer_if_due(self, server: str) -> None:
        """Transfer a lease that another daemon should have.

        The transfer waits until the record was read within the last ``STORE_REACHABLE_S``,
        which shows that the store is reachable.
        """
        lease = self._lease_by_server[server]
        if not lease.coordinating_epoch or lease.successor is not None:
            self._local_responsive_since_by_server.pop(server, None)
            return
        successor = self._choose_successor(lease)
        if successor is None:
            return
        if self._now() - lease.store_read_at > STORE_REACHABLE_S:
            if (
                self._now() - self._transfer_read_sent_at_by_server.get(server, -math.inf)
                >= STORE_REACHABLE_S
            ):
                self._transfer_read_sent_at_by_server[server] = self._now()
                self._dependencies.executor.submit(self._read_record, server, self._now())
            return
        self.apply_event(server, lease_messages.TransferRequested(successor))

    def _choose_successor(self, lease: Lease) -> Candidate | None:
        """Return the daemon that should have the lease in place of this one, if any."""
        candidate = find_local_candidate(lease)
        if self.is_shutting_down:
            record = lease.record
            standby = None if record is None else lease.peers.alive_by_name.get(record.standby)
            return candidate or standby
        if candidate is None or lease.own.data_centre == lease.data_centre:
            self._local_responsive_since_by_server.pop(lease.backend_server, None)
            return None
        responsive_since = self._local_responsive_since_by_server.setdefault(
            lease.backend_server, self._now()
        )
        return (
            candidate
            if self._now() - responsive_since >= LOCAL_CANDIDATE_RESPONSIVE_S
            else None
        )

    def _execute(self, server: str, effect: lease_messages.Effect) -> None:
        match effect:
            case lease_messages.ReadRecord(sent_at):
                self._dependencies.executor.submit(self._read_record, server, sent_at)
            case lease_messages.WriteRecord(record, expected):
                self._dependencies.executor.submit(
                    self._write_record, server, record, expected
                )
            case lease_messages.RequestConfirmation(version, record, _):
                confirmation_request = (server, version, encode_record(record))
                self._confirmation_requests_by_peer[record.standby].append(
                    confirmation_request
                )
            case lease_messages.StartCoordinating(epoch):
                self._dependencies.on_coordination_started(server, epoch)
            case lease_messages.StopCoordinating():
                self._dependencies.on_coordination_stopped(server)

    def _read_record(self, server: str, sent_at: float) -> None:
        event: lease_messages.Event
        try:
            item = self._dependencies.store.get(record_key(server))
            event = lease_messages.RecordRead(sent_at, item.version, _decode_record(item))
            self._dependencies.replica.apply([item] if item.version else [])
        except StoreUnavailableError:
            event = lease_messages.ReadUnanswered()
        self._dependencies.post(lambda: self.apply_event(server, event))

    def _write_record(self, server: str, record: LeaseRecord, expected: int) -> None:
        event: lease_messages.Event
        key, value = record_key(server), encode_record(record)
        try:
            version = self._dependencies.store.put(key, value, expected_version=expected)
            event = lease_messages.WriteAccepted(record, expected, version)
            self._dependencies.replica.apply([VersionedObject(key, version, value)])
            logger.info('lease written', server=server, holder=record.coordinator)
        except StoreConflictError:
            event = lease_messages.WriteConflicted(expected)
        except StoreUnavailableError:
            event = lease_messages.WriteUnanswered(expected)
        self._dependencies.post(lambda: self.apply_event(server, event))

    def _record_heartbeat(self, message: Heartbeat | HeartbeatReply) -> None:
        candidate = lease_messages.Candidate(
            message.name, message.incarnation, message.data_centre
        )
        heartbeat_received = HeartbeatReceived(candidate, message.leaving)
        self._membership = handle_membership(self._membership, heartbeat_received, self._now())

    def _send_heartbeats(self) -> None:
        confirmation_requests_by_peer, self._confirmation_requests_by_peer = (
            self._confirmation_requests_by_peer,
            defaultdict(list),
        )
        due = {peer.name for peer in peers_due_heartbeat(self._membership, self._now())}
        for name in due | confirmation_requests_by_peer.keys():
            self._send_heartbeat(name, confirmation_requests_by_peer.get(name, []))

    def _send_heartbeat(
        self, name: str, confirmation_requests: list[tuple[str, int, bytes]]
    ) -> None:
        now = self._now()
        self._membership = handle_membership(self._membership, HeartbeatSent(name), now)
        message: Message = Heartbeat(
            *self._dependencies.own,
            self.is_shutting_down,
            now,
            confirmation_requests,
            sorted(self.unresponsive_here),
        )
        stream = self._dependencies.hub.find_open_stream(name)
        if stream is not None:
            stream.send(message)
            return
        peer = self._membership.peer_by_name.get(name)
        if peer is not None and peer.inner_address and name not in self._connecting_peers:
            self._connecting_peers.add(name)
            self._dependencies.executor.submit(self._connect, name, peer.inner_address)

    def _connect(self, name: str, address: str) -> None:
        started_at = self._now()
        stream = self._dependencies.hub.get_or_connect(name, address)
        refused = stream is None and self._now() - started_at < CONNECTION_REFUSED_WITHIN_S
        self._dependencies.post(lambda: self._on_connect_finished(name, refused=refused))

    def _on_connect_finished(self, name: str, *, refused: bool) -> None:
        self._connecting_peers.discard(name)
        if refused:
            self._membership = handle_membership(
                self._membership, ConnectionRefused(name), self._now()
            )

    def _now(self) -> float:
        return self._dependencies.clock.monotonic()


def _decode_record(item: VersionedObject) -> LeaseRecord | None:
    if not item.value:
        return None
    try:
        return decode_record(item.value)
    except ProtocolError:
        logger.warning('lease record can not be decoded', key=item.key, version=item.version)
        return None
