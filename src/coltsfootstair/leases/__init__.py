"""Leases: the daemon that coordinates a backend server, and when it may do so."""

from __future__ import annotations

from coltsfootstair.leases._choice import local_candidate
from coltsfootstair.leases._decide import handle
from coltsfootstair.leases._messages import Candidate, PeerView
from coltsfootstair.leases._record import (
    LEASE_PREFIX,
    LeaseRecord,
    decode_record,
    encode_record,
    record_key,
)
from coltsfootstair.leases._state import (
    CONFIRMATION_INTERVAL_S,
    LEASE_DURATION_S,
    STORE_REACHABLE_S,
    SUSPECT_AFTER_S,
    TAKEOVER_WAIT_S,
    Lease,
    is_coordinator,
    is_standby,
    lease_expiry,
    may_coordinate,
)

__all__ = [
    'CONFIRMATION_INTERVAL_S',
    'LEASE_DURATION_S',
    'LEASE_PREFIX',
    'STORE_REACHABLE_S',
    'SUSPECT_AFTER_S',
    'TAKEOVER_WAIT_S',
    'Candidate',
    'Lease',
    'LeaseRecord',
    'PeerView',
    'decode_record',
    'encode_record',
    'handle',
    'is_coordinator',
    'is_standby',
    'lease_expiry',
    'local_candidate',
    'may_coordinate',
    'record_key',
]
