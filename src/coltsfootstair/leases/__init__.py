"""Leases: which daemon coordinates a backend server, and when it may act."""

from __future__ import annotations

from coltsfootstair.leases._record import (
    LEASE_PREFIX,
    LeaseRecord,
    decode_record,
    encode_record,
    record_key,
)

__all__ = ['LEASE_PREFIX', 'LeaseRecord', 'decode_record', 'encode_record', 'record_key']
