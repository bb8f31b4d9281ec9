"""Chooses the daemon that stands by for a lease and the one that may claim it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.ownership import rank_names

if TYPE_CHECKING:
    from coltsfootstair.leases._messages import Candidate, PeerView
    from coltsfootstair.leases._state import Lease

__all__ = [
    'choose_standby',
    'has_ended',
    'is_best_claimant',
    'is_unresponsive',
    'local_candidate',
]


def is_unresponsive(peers: PeerView, name: str, incarnation: str) -> bool:
    """Return whether a process of a daemon does not answer, so its standby may replace it."""
    peer = peers.alive_by_name.get(name)
    return peer is None or peer.incarnation > incarnation


def has_ended(peers: PeerView, name: str, incarnation: str) -> bool:
    """Return whether a process of a daemon has ended for certain.

    That is so if its VM is no longer listed, or if a later process of the same daemon, which
    has bound the same address, answers.
    """
    peer = peers.alive_by_name.get(name)
    return name in peers.ended_names or (peer is not None and peer.incarnation > incarnation)


def choose_standby(lease: Lease, successor: Candidate | None = None) -> Candidate | None:
    """Return the daemon that is best as standby, in another data centre if there is one.

    The choice depends on the coordinator's name alone, so that all leases of a daemon have
    the same standby and their confirmations share messages. Without a successor, the
    present standby is not chosen again.

    :param successor: the next coordinator, if that is not this daemon
    """
    coordinator = successor or lease.own
    present = lease.record.standby if lease.record is not None and successor is None else ''
    peers = [peer for peer in _available_peers(lease.peers) if peer.name != present]
    if successor is not None and not lease.peers.leaving:
        peers.append(lease.own)
    peers = [peer for peer in peers if peer.name != coordinator.name]
    remote = [peer for peer in peers if peer.data_centre != coordinator.data_centre]
    return _first_ranked(f'standby/{coordinator.name}', remote or peers)


def is_best_claimant(lease: Lease) -> bool:
    """Return whether this daemon is the one that may claim a lease without a holder."""
    peers = [*_available_peers(lease.peers), lease.own]
    local = [peer for peer in peers if peer.data_centre == lease.data_centre]
    return _first_ranked(f'coordinator/{lease.backend_server}', local or peers) == lease.own


def local_candidate(lease: Lease) -> Candidate | None:
    """Return the other daemon that is best as coordinator in the server's data centre."""
    local = [
        peer for peer in _available_peers(lease.peers) if peer.data_centre == lease.data_centre
    ]
    return _first_ranked(f'coordinator/{lease.backend_server}', local)


def _available_peers(peers: PeerView) -> list[Candidate]:
    """Return the other daemons that may take on leases."""
    return [
        peer for name, peer in peers.alive_by_name.items() if name not in peers.leaving_names
    ]


def _first_ranked(subject: str, peers: list[Candidate]) -> Candidate | None:
    by_name = {peer.name: peer for peer in peers}
    ranked = rank_names(subject, by_name)
    return by_name[ranked[0]] if ranked else None
