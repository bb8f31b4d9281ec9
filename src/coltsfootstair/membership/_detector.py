"""Detects which daemons answer and which have ended, by heartbeats and the list of VMs."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.leases import SUSPECT_AFTER_S, Candidate, PeerView

__all__ = [
    'ENDED_AFTER_UNLISTED_S',
    'ConnectionRefused',
    'HeartbeatReceived',
    'HeartbeatSent',
    'ListedVm',
    'MembershipState',
    'Peer',
    'Tick',
    'VmListRead',
    'handle',
    'peer_view',
    'peers_due_heartbeat',
]

ENDED_AFTER_UNLISTED_S = 2.0
"""Time missing from the platform's list after which a VM counts as ended, in seconds."""

ENDED_AFTER_NEVER_LISTED_S = 15.0
"""The same, in seconds, for a VM that this daemon never found in the list, which may lag."""

PARTNER_HEARTBEAT_INTERVAL_S = 0.1
"""Time between two heartbeats to a daemon that shares a lease with this one, in seconds."""

PAUSE_THRESHOLD_S = 0.2
"""Time between two ticks from which this process counts as paused, in seconds."""

HEARTBEAT_INTERVAL_S = 1.0
"""Time between two heartbeats to any other daemon, in seconds."""


class HeartbeatSent(NamedTuple):
    """A heartbeat was sent to a daemon."""

    name: str


class ConnectionRefused(NamedTuple):
    """A daemon's address refused a connection: its process has most likely ended."""

    name: str


class HeartbeatReceived(NamedTuple):
    """A heartbeat, or the reply to one, arrived from a daemon.

    :param candidate: process of the daemon
    :param leaving: whether the daemon is shutting down
    """

    candidate: Candidate
    leaving: bool


class ListedVm(NamedTuple):
    """A VM in the platform's list.

    :param inner_address: ``IP:PORT`` at which its daemon accepts other daemons
    :param leaving: whether the platform has announced the end of the VM
    """

    name: str
    data_centre: str
    inner_address: str
    leaving: bool


class VmListRead(NamedTuple):
    """The platform's list of VMs was read.

    :param sent_at: when the read was sent, in monotonic seconds
    """

    sent_at: float
    vms: tuple[ListedVm, ...]


class Tick(NamedTuple):
    """Time has passed.

    :param lease_partners: names of the daemons that share a lease with this one
    """

    lease_partners: frozenset[str]


Event = HeartbeatSent | ConnectionRefused | HeartbeatReceived | VmListRead | Tick


class Peer(NamedTuple):
    """Another daemon. Times are in monotonic seconds.

    :param inner_address: ``IP:PORT`` at which it accepts other daemons
    :param incarnation: its newest known process; empty before the first heartbeat from it
    :param is_listed: whether its VM is in the newest list
    :param was_listed: whether its VM has been in any list
    :param leaving: whether it is shutting down, or the end of its VM is announced
    :param heartbeat_received_at: when the last heartbeat or reply arrived from it
    :param heartbeat_sent_at: when the last heartbeat was sent to it
    :param unanswered_since: when the oldest unanswered heartbeat was sent
    :param unlisted_since: when the list first lacked its VM, if it lacks it now
    """

    name: str
    data_centre: str
    inner_address: str = ''
    incarnation: str = ''
    is_listed: bool = False
    was_listed: bool = False
    leaving: bool = False
    heartbeat_received_at: float = -math.inf
    heartbeat_sent_at: float = -math.inf
    unanswered_since: float = math.inf
    unlisted_since: float = math.inf


class MembershipState(NamedTuple):
    """The other daemons as known to this one.

    :param own_name: name of this daemon
    :param lease_partners: names of the daemons that share a lease with this one
    :param list_sent_at: when the read of the newest list was sent, in monotonic seconds
    :param last_tick_at: when the last tick came, in monotonic seconds
    """

    own_name: str
    peer_by_name: Mapping[str, Peer] = {}
    lease_partners: frozenset[str] = frozenset()
    list_sent_at: float = -math.inf
    last_tick_at: float = math.inf


def handle(state: MembershipState, event: Event, now: float) -> MembershipState:
    """Apply one event and return the new state."""
    match event:
        case Tick(lease_partners):
            if now - state.last_tick_at >= PAUSE_THRESHOLD_S:
                state = _forget_unanswered_heartbeats(state)
            return _apply_lease_partners(state, lease_partners, now)._replace(last_tick_at=now)
        case HeartbeatSent(name):
            return _apply_heartbeat_sent(state, name, now)
        case ConnectionRefused(name):
            return _apply_connection_refused(state, name)
        case HeartbeatReceived(candidate, leaving):
            return _apply_heartbeat_received(state, candidate, leaving, now)
        case VmListRead(sent_at, vms):
            return _apply_vm_list(state, sent_at, vms, now)


def _forget_unanswered_heartbeats(state: MembershipState) -> MembershipState:
    """Give every peer the full time to answer again, because this process was paused."""
    peers = {
        name: peer._replace(unanswered_since=math.inf)
        for name, peer in state.peer_by_name.items()
    }
    return state._replace(peer_by_name=peers)


def _apply_lease_partners(
    state: MembershipState, lease_partners: frozenset[str], now: float
) -> MembershipState:
    """Set the lease partners; an unknown one may have ended before this process started."""
    new = lease_partners - state.peer_by_name.keys() - {state.own_name}
    peers = {name: Peer(name, '', unlisted_since=now) for name in new}
    return state._replace(
        lease_partners=lease_partners, peer_by_name={**state.peer_by_name, **peers}
    )


def _apply_heartbeat_sent(state: MembershipState, name: str, now: float) -> MembershipState:
    peer = state.peer_by_name.get(name)
    if peer is None:
        return state
    since = min(peer.unanswered_since, now)
    return _replace_peer(state, peer._replace(heartbeat_sent_at=now, unanswered_since=since))


def _apply_connection_refused(state: MembershipState, name: str) -> MembershipState:
    """Make a peer unresponsive at once, as its process has most likely ended."""
    peer = state.peer_by_name.get(name)
    if peer is None:
        return state
    return _replace_peer(state, peer._replace(unanswered_since=-math.inf))


def _apply_heartbeat_received(
    state: MembershipState, candidate: Candidate, leaving: bool, now: float
) -> MembershipState:
    """Mark a peer as answering; heartbeats from older processes of it are ignored."""
    name, incarnation, data_centre = candidate
    peer = state.peer_by_name.get(name, Peer(name, data_centre))
    if name == state.own_name or incarnation < peer.incarnation:
        return state
    return _replace_peer(
        state,
        peer._replace(
            data_centre=data_centre,
            incarnation=incarnation,
            leaving=leaving,
            heartbeat_received_at=now,
            unanswered_since=math.inf,
        ),
    )


def _apply_vm_list(
    state: MembershipState, sent_at: float, vms: tuple[ListedVm, ...], now: float
) -> MembershipState:
    """Apply a list of VMs unless a newer read has been applied."""
    if sent_at <= state.list_sent_at:
        return state
    peers = dict(state.peer_by_name)
    vm_by_name = {vm.name: vm for vm in vms if vm.name != state.own_name}
    for name, vm in vm_by_name.items():
        peer = peers.get(name, Peer(name, vm.data_centre))
        peers[name] = peer._replace(
            data_centre=vm.data_centre,
            inner_address=vm.inner_address,
            leaving=peer.leaving or vm.leaving,
            is_listed=True,
            was_listed=True,
            unlisted_since=math.inf,
        )
    for name in peers.keys() - vm_by_name.keys():
        since = min(peers[name].unlisted_since, now)
        peers[name] = peers[name]._replace(is_listed=False, unlisted_since=since)
    return state._replace(peer_by_name=peers, list_sent_at=sent_at)


def _replace_peer(state: MembershipState, peer: Peer) -> MembershipState:
    return state._replace(peer_by_name={**state.peer_by_name, peer.name: peer})


def _heartbeat_interval_s(state: MembershipState, name: str) -> float:
    return (
        PARTNER_HEARTBEAT_INTERVAL_S if name in state.lease_partners else HEARTBEAT_INTERVAL_S
    )


def _is_responsive(state: MembershipState, peer: Peer, now: float) -> bool:
    """Return whether no heartbeat to a peer has been unanswered for too long."""
    allowed_s = (
        SUSPECT_AFTER_S
        if peer.name in state.lease_partners
        else SUSPECT_AFTER_S + HEARTBEAT_INTERVAL_S
    )
    return now - peer.unanswered_since < allowed_s


def _has_ended(state: MembershipState, peer: Peer) -> bool:
    """Return whether a peer's VM counts as ended, according to the newest list."""
    after_s = ENDED_AFTER_UNLISTED_S if peer.was_listed else ENDED_AFTER_NEVER_LISTED_S
    # A daemon that sends heartbeats has not ended, whatever the list contains.
    return state.list_sent_at - max(peer.unlisted_since, peer.heartbeat_received_at) >= after_s


def peers_due_heartbeat(state: MembershipState, now: float) -> list[Peer]:
    """Return the peers that the next heartbeat is due for."""
    return [
        peer
        for peer in state.peer_by_name.values()
        if now - peer.heartbeat_sent_at >= _heartbeat_interval_s(state, peer.name)
        and not _has_ended(state, peer)
    ]


def peer_view(state: MembershipState, now: float, *, leaving: bool) -> PeerView:
    """Return the other daemons as the lease decisions need them.

    :param leaving: whether this daemon is shutting down
    """
    peers = state.peer_by_name.values()
    alive = {
        peer.name: Candidate(peer.name, peer.incarnation, peer.data_centre)
        for peer in peers
        if peer.incarnation and _is_responsive(state, peer, now)
    }
    leaving_names = frozenset(peer.name for peer in peers if peer.leaving)
    ended_names = frozenset(peer.name for peer in peers if _has_ended(state, peer))
    return PeerView(alive, leaving_names, ended_names, leaving)
