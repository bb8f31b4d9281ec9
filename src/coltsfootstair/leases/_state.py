"""State of the lease of one backend server, as known to one daemon."""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootstair.leases._messages import Candidate, PeerView
from coltsfootstair.leases._record import LeaseRecord
from coltsfootstair.ownership import MAX_CLOCK_DRIFT_SHARE

__all__ = [
    'CONFIRMATION_INTERVAL_S',
    'LEASE_DURATION_S',
    'STANDBY_REPLICATION_WAIT_S',
    'STANDBY_UNRESPONSIVE_AFTER_S',
    'STORE_REACHABLE_S',
    'STORE_RETRY_INTERVAL_S',
    'SUSPECT_AFTER_S',
    'TAKEOVER_WAIT_S',
    'Lease',
    'PendingWrite',
    'is_coordinator',
    'is_standby',
    'lease_expiry',
    'may_coordinate',
]

CONFIRMATION_INTERVAL_S = 0.1
"""Time between two requests of a coordinator to its standby for confirmation, in seconds."""

SUSPECT_AFTER_S = 0.3
"""Time without an answer after which a peer is suspected to be unresponsive, in seconds."""

LEASE_DURATION_S = 0.4
"""How long a confirmation keeps a lease valid, in seconds from the request for it."""

TAKEOVER_WAIT_S = LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT_SHARE) / (1 - MAX_CLOCK_DRIFT_SHARE)
"""How long a new coordinator waits for the lease of the old one to expire, in seconds."""

STANDBY_UNRESPONSIVE_AFTER_S = 1.0
"""Time without a confirmation after which a coordinator names another standby, in seconds."""

STANDBY_REPLICATION_WAIT_S = 1.0
"""How long a standby that was just named waits before it replaces an unresponsive coordinator,
in seconds: until then it may lack the operation records that the coordinator replicates to it.
As long as a coordinator waits before it names another standby."""

STORE_RETRY_INTERVAL_S = 0.1
"""Shortest time between two calls to the store about one record, in seconds."""

STORE_REACHABLE_S = 0.5
"""How long after an answered read the store counts as reachable, in seconds."""


class PendingWrite(NamedTuple):
    """A conditional write of the record whose effect is not known yet.

    :param expected_version: version of the record that the write expects
    :param sent_at: when the write was last sent, in monotonic seconds
    :param wait_s: how long this daemon waits before it coordinates, once the write has taken
        effect, in seconds
    :param is_uncertain: whether the store refused the write or did not answer it
    """

    record: LeaseRecord
    expected_version: int
    sent_at: float
    wait_s: float
    is_uncertain: bool = False


class Lease(NamedTuple):
    """The lease of one backend server as known to one daemon.

    Times are in monotonic seconds.

    :param data_centre: data centre of the backend server
    :param own: this daemon's process
    :param peers: the other daemons as they appear now
    :param record: newest known record
    :param version: version of that record
    :param confirmed_at: when the newest confirmation, by the standby or the store, was
        requested; the lease lasts from then
    :param standby_confirmed_at: when the newest confirmation by the standby was requested
    :param record_since: when the present record became known
    :param confirmation_requested_at: when the standby was last asked to confirm
    :param store_read_at: when the newest read that the store answered was sent
    :param store_called_at: when the store was last called
    :param is_reading: whether a read has no result yet
    :param coordinate_after: until then the lease of an earlier coordinator may be valid
    :param coordinating_epoch: epoch under which this daemon may coordinate, according to the
        effects returned so far, or 0
    :param pending_write: the write whose effect is not known yet, if any
    :param successor: daemon that the lease is being transferred to
    :param work_stopped: whether nothing acts under the lease any more, so that it can be
        transferred
    """

    backend_server: str
    data_centre: str
    own: Candidate
    peers: PeerView = PeerView()
    record: LeaseRecord | None = None
    version: int = 0
    confirmed_at: float = -math.inf
    standby_confirmed_at: float = -math.inf
    record_since: float = -math.inf
    confirmation_requested_at: float = -math.inf
    store_read_at: float = -math.inf
    store_called_at: float = -math.inf
    is_reading: bool = False
    coordinate_after: float = math.inf
    coordinating_epoch: int = 0
    pending_write: PendingWrite | None = None
    successor: Candidate | None = None
    work_stopped: bool = False


def is_coordinator(lease: Lease) -> bool:
    """Return whether the newest known record names this process as coordinator."""
    record = lease.record
    return record is not None and (record.coordinator, record.incarnation) == lease.own[:2]


def is_standby(lease: Lease) -> bool:
    """Return whether the newest known record names this process as standby."""
    record = lease.record
    return record is not None and (record.standby, record.standby_incarnation) == lease.own[:2]


def lease_expiry(lease: Lease) -> float:
    """Return when the lease expires unless it is confirmed again, in monotonic seconds.

    The result is in the past if this process does not hold the lease or is transferring it.
    """
    if not is_coordinator(lease) or lease.successor is not None:
        return -math.inf
    return lease.confirmed_at + LEASE_DURATION_S


def may_coordinate(lease: Lease, now: float) -> bool:
    """Return whether this process may act as coordinator at ``now``."""
    return lease.coordinate_after <= now < lease_expiry(lease)
