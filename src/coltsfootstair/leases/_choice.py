"""Chooses which daemon stands by for a lease and which may claim one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.ownership import rank_names

if TYPE_CHECKING:
    from coltsfootstair.leases._messages import Candidate, PeerView
    from coltsfootstair.leases._state import Lease

__all__ = ['best_claimant', 'is_gone', 'is_lost', 'local_candidate', 'other_standby']


def is_lost(peers: PeerView, name: str, incarnation: str) -> bool:
    """Return whether a process does not answer, so that its standby may replace it."""
    peer = peers.alive_by_name.get(name)
    return peer is None or peer.incarnation > incarnation


def is_gone(peers: PeerView, name: str, incarnation: str) -> bool:
    """Return whether a process has ended for certain.

    Its VM is no longer listed, or a later process of the same daemon, which has bound
    the same address, is heard from.
    """
    peer = peers.alive_by_name.get(name)
    return name in peers.ended_names or (peer is not None and peer.incarnation > incarnation)


def other_standby(lease: Lease, besides: Candidate | None = None) -> Candidate | None:
    """Return the daemon that is best to stand by, in another data centre if there is one.

    It depends on the coordinator's name alone, so that all leases of a daemon have the
    same standby and their confirmations share messages.

    :param besides: the coordinator to be, if that is not this daemon
    """
    coordinator = besides or lease.own
    old = lease.record.standby if lease.record is not None and besides is None else ''
    peers = [peer for peer in _fit(lease.peers) if peer.name != old]
    if besides is not None and not lease.peers.leaving:
        peers.append(lease.own)
    peers = [peer for peer in peers if peer.name != coordinator.name]
    far = [peer for peer in peers if peer.data_centre != coordinator.data_centre]
    return _best(f'standby/{coordinator.name}', far or peers)


def best_claimant(lease: Lease) -> bool:
    """Return whether this daemon is the one to claim a lease that nobody holds."""
    peers = [*_fit(lease.peers), lease.own]
    near = [peer for peer in peers if peer.data_centre == lease.data_centre]
    return _best(f'coordinator/{lease.backend_server}', near or peers) == lease.own


def local_candidate(lease: Lease) -> Candidate | None:
    """Return the daemon in the backend server's own data centre that is best to have it."""
    near = [peer for peer in _fit(lease.peers) if peer.data_centre == lease.data_centre]
    return _best(f'coordinator/{lease.backend_server}', near)


def _fit(peers: PeerView) -> list[Candidate]:
    """Return the daemons that may be given something to do."""
    return [
        peer for name, peer in peers.alive_by_name.items() if name not in peers.leaving_names
    ]


def _best(subject: str, peers: list[Candidate]) -> Candidate | None:
    by_name = {peer.name: peer for peer in peers}
    ranked = rank_names(subject, by_name)
    return by_name[ranked[0]] if ranked else None
