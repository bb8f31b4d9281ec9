"""Tells which daemons answer, from heartbeats and the platform's lagging VM list."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from coltsfootstair.leases import SUSPECT_S, Candidate, PeerView

__all__ = [
    'GONE_AFTER_S',
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

GONE_AFTER_S = 2.0
"""How long a VM is to be missing from the list before it counts as ended, in seconds."""

NEVER_LISTED_GONE_AFTER_S = 15.0
"""The same for one that this daemon never saw listed: the list may lag."""

FAST_HEARTBEAT_S = 0.1
"""Between daemons that share a lease, in seconds."""

PAUSE_S = 0.2
"""Time between two ticks from which this process counts as paused, in seconds."""

SLOW_HEARTBEAT_S = 1.0
"""Between other daemons, in seconds."""


class HeartbeatSent(NamedTuple):
    """A heartbeat was sent to a daemon."""

    name: str


class ConnectionRefused(NamedTuple):
    """A daemon's address refused a connection: its process has most likely ended."""

    name: str


class HeartbeatReceived(NamedTuple):
    """A daemon was heard from, directly."""

    candidate: Candidate
    leaving: bool


class ListedVm(NamedTuple):
    """A VM as the platform lists it."""

    name: str
    data_centre: str
    inner_address: str
    leaving: bool


class VmListRead(NamedTuple):
    """The platform's list was read; it was asked for at ``asked_at``."""

    asked_at: float
    vms: tuple[ListedVm, ...]


class Tick(NamedTuple):
    """Time has passed; these daemons share a lease with this one."""

    close: frozenset[str]


Event = HeartbeatSent | ConnectionRefused | HeartbeatReceived | VmListRead | Tick


class Peer(NamedTuple):
    """Another daemon.

    :param incarnation: of its newest known process; empty before it was heard from
    :param heard_at: when it was last heard from
    :param spoken_at: when it was last sent a heartbeat
    :param unanswered_since: when the oldest heartbeat that got no answer was sent
    :param missing_since: when the list first lacked it, if it lacks it now
    """

    name: str
    data_centre: str
    inner_address: str = ''
    incarnation: str = ''
    listed: bool = False
    was_listed: bool = False
    leaving: bool = False
    heard_at: float = -math.inf
    spoken_at: float = -math.inf
    unanswered_since: float = math.inf
    missing_since: float = math.inf


class MembershipState(NamedTuple):
    """What a daemon knows of all others."""

    me: str
    peer_by_name: Mapping[str, Peer] = {}
    close: frozenset[str] = frozenset()
    listed_at: float = -math.inf
    ticked_at: float = math.inf


def handle(members: MembershipState, event: Event, now: float) -> MembershipState:
    """Take one event in and return the new state."""
    match event:
        case Tick(close):
            if now - members.ticked_at >= PAUSE_S:
                members = _resumed(members)
            return _named(members, close, now)._replace(ticked_at=now)
        case HeartbeatSent(name):
            return _spoken(members, name, now)
        case ConnectionRefused(name):
            return _refused(members, name)
        case HeartbeatReceived(candidate, leaving):
            return _heard(members, candidate, leaving, now)
        case VmListRead(asked_at, vms):
            return _listed(members, asked_at, vms, now)


def _resumed(members: MembershipState) -> MembershipState:
    """Give every peer the time to answer anew: this process itself was paused."""
    peers = {
        name: peer._replace(unanswered_since=math.inf)
        for name, peer in members.peer_by_name.items()
    }
    return members._replace(peer_by_name=peers)


def _named(members: MembershipState, close: frozenset[str], now: float) -> MembershipState:
    """Take in who shares a lease; one never heard of may have ended before this start."""
    new = close - members.peer_by_name.keys() - {members.me}
    peers = {name: Peer(name, '', missing_since=now) for name in new}
    return members._replace(close=close, peer_by_name={**members.peer_by_name, **peers})


def _spoken(members: MembershipState, name: str, now: float) -> MembershipState:
    peer = members.peer_by_name.get(name)
    if peer is None:
        return members
    since = min(peer.unanswered_since, now)
    return _with(members, peer._replace(spoken_at=now, unanswered_since=since))


def _refused(members: MembershipState, name: str) -> MembershipState:
    peer = members.peer_by_name.get(name)
    if peer is None:
        return members
    return _with(members, peer._replace(unanswered_since=-math.inf))


def _heard(
    members: MembershipState, candidate: Candidate, leaving: bool, now: float
) -> MembershipState:
    name, incarnation, data_centre = candidate
    peer = members.peer_by_name.get(name, Peer(name, data_centre))
    if name == members.me or incarnation < peer.incarnation:
        return members
    return _with(
        members,
        peer._replace(
            data_centre=data_centre,
            incarnation=incarnation,
            leaving=leaving,
            heard_at=now,
            unanswered_since=math.inf,
        ),
    )


def _listed(
    members: MembershipState, asked_at: float, vms: tuple[ListedVm, ...], now: float
) -> MembershipState:
    if asked_at <= members.listed_at:
        return members
    peers = dict(members.peer_by_name)
    listed = {vm.name: vm for vm in vms if vm.name != members.me}
    for name, vm in listed.items():
        peer = peers.get(name, Peer(name, vm.data_centre))
        peers[name] = peer._replace(
            data_centre=vm.data_centre,
            inner_address=vm.inner_address,
            leaving=peer.leaving or vm.leaving,
            listed=True,
            was_listed=True,
            missing_since=math.inf,
        )
    for name in peers.keys() - listed.keys():
        since = min(peers[name].missing_since, now)
        peers[name] = peers[name]._replace(listed=False, missing_since=since)
    return members._replace(peer_by_name=peers, listed_at=asked_at)


def _with(members: MembershipState, peer: Peer) -> MembershipState:
    return members._replace(peer_by_name={**members.peer_by_name, peer.name: peer})


def _heartbeat_s(members: MembershipState, name: str) -> float:
    return FAST_HEARTBEAT_S if name in members.close else SLOW_HEARTBEAT_S


def _answers(members: MembershipState, peer: Peer, now: float) -> bool:
    """Return whether a peer has not left a heartbeat without an answer for too long."""
    allowed_s = SUSPECT_S if peer.name in members.close else SUSPECT_S + SLOW_HEARTBEAT_S
    return now - peer.unanswered_since < allowed_s


def _is_gone(members: MembershipState, peer: Peer) -> bool:
    after_s = GONE_AFTER_S if peer.was_listed else NEVER_LISTED_GONE_AFTER_S
    # A daemon that is heard from is not gone, whatever the list says.
    return members.listed_at - max(peer.missing_since, peer.heard_at) >= after_s


def peers_due_heartbeat(members: MembershipState, now: float) -> list[Peer]:
    """Return the peers that a heartbeat is to be sent to now."""
    return [
        peer
        for peer in members.peer_by_name.values()
        if now - peer.spoken_at >= _heartbeat_s(members, peer.name)
        and not _is_gone(members, peer)
    ]


def peer_view(members: MembershipState, now: float, *, leaving: bool) -> PeerView:
    """Return how the others look to the lease decisions."""
    peers = members.peer_by_name.values()
    alive = {
        peer.name: Candidate(peer.name, peer.incarnation, peer.data_centre)
        for peer in peers
        if peer.incarnation and _answers(members, peer, now)
    }
    leaving_names = frozenset(peer.name for peer in peers if peer.leaving)
    gone = frozenset(peer.name for peer in peers if _is_gone(members, peer))
    return PeerView(alive, leaving_names, gone, leaving)
