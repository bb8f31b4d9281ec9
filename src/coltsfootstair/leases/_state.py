"""What a daemon knows of the lease of one backend server."""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootstair.leases._messages import Candidate, PeerView
from coltsfootstair.leases._record import LeaseRecord
from coltsfootstair.ownership import MAX_CLOCK_DRIFT_SHARE

__all__ = [
    'HEARTBEAT_S',
    'LEASE_S',
    'STANDBY_COPY_S',
    'STANDBY_LOST_S',
    'STORE_REACHABLE_S',
    'STORE_RETRY_S',
    'SUSPECT_S',
    'TAKEOVER_WAIT_S',
    'Lease',
    'Pending',
    'is_coordinator',
    'is_standby',
    'lease_expiry',
    'may_coordinate',
]

HEARTBEAT_S = 0.1
"""How often a coordinator asks its standby to confirm, in seconds."""

SUSPECT_S = 0.3
"""Silence after which a peer is suspected, in seconds."""

LEASE_S = 0.4
"""How long a confirmation lets a coordinator act, in seconds from asking for it."""

TAKEOVER_WAIT_S = LEASE_S * (1 + MAX_CLOCK_DRIFT_SHARE) / (1 - MAX_CLOCK_DRIFT_SHARE)
"""How long a new coordinator waits for the rights of the old one to end, in seconds."""

STANDBY_LOST_S = 1.0
"""Silence after which a coordinator names another standby, in seconds."""

STANDBY_COPY_S = 1.0
"""How long a standby that was just named waits before it replaces a silent coordinator, in
seconds: it has not been sent yet what it needs to know. As long as a coordinator waits before
it names another standby."""

STORE_RETRY_S = 0.1
"""Pause between two calls to the store about one record, in seconds."""

STORE_REACHABLE_S = 0.5
"""How long an answer of the store speaks for its being up, in seconds."""


class Pending(NamedTuple):
    """A conditional update whose effect is not known.

    :param wait_s: how long to wait after it is known before acting on it, in seconds
    :param unsure: whether the store failed to answer
    """

    record: LeaseRecord
    expected: int
    sent_at: float
    wait_s: float
    unsure: bool = False


class Lease(NamedTuple):
    """The lease of one backend server as one daemon knows it.

    :param me: this daemon's process
    :param data_centre: the backend server's data centre
    :param version: the newest version of the record known to be true at some time
    :param confirmed_at: when the newest confirmation was asked for
    :param standby_confirmed_at: likewise, of the standby's alone
    :param standby_since: when the present record became known
    :param asked_standby_at: when the standby was last asked
    :param read_at: when the newest answered read was asked for
    :param called_store_at: when the store was last called
    :param reading: whether a read is under way
    :param act_after: before this the rights of an earlier coordinator may last
    :param acting_epoch: the epoch under which it last had the right to act, or 0
    :param successor: to whom the lease is being handed over
    :param stopped: whether nothing acts under the lease any more, so it can be handed over
    """

    backend_server: str
    data_centre: str
    own: Candidate
    peers: PeerView = PeerView()
    record: LeaseRecord | None = None
    version: int = 0
    confirmed_at: float = -math.inf
    standby_confirmed_at: float = -math.inf
    standby_since: float = -math.inf
    asked_standby_at: float = -math.inf
    store_read_at: float = -math.inf
    called_store_at: float = -math.inf
    reading: bool = False
    act_after: float = math.inf
    coordinating_epoch: int = 0
    pending: Pending | None = None
    successor: Candidate | None = None
    work_stopped: bool = False


def is_coordinator(lease: Lease) -> bool:
    """Return whether the record, as far as known, names this process as coordinator."""
    record = lease.record
    return record is not None and (record.coordinator, record.incarnation) == lease.own[:2]


def is_standby(lease: Lease) -> bool:
    """Return whether the record, as far as known, names this process as standby."""
    record = lease.record
    return record is not None and (record.standby, record.standby_incarnation) == lease.own[:2]


def lease_expiry(lease: Lease) -> float:
    """Return the monotonic seconds at which the right to act ends."""
    if not is_coordinator(lease) or lease.successor is not None:
        return -math.inf
    return lease.confirmed_at + LEASE_S


def may_coordinate(lease: Lease, now: float) -> bool:
    """Return whether this process may act as coordinator at ``now``."""
    return lease.act_after <= now < lease_expiry(lease)
