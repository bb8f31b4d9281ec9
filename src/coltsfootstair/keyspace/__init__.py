"""Exclusive ownership of keys: the table of key ranges, its planner and its keeper."""

from __future__ import annotations

from coltsfootstair.keyspace._demand import KeyDemand
from coltsfootstair.keyspace._dependencies import KeeperDependencies
from coltsfootstair.keyspace._grant_client import (
    GrantClient,
    StaleFenceError,
    WrongServerError,
)
from coltsfootstair.keyspace._keeper import Keeper
from coltsfootstair.keyspace._move_times import MoveTimes
from coltsfootstair.keyspace._planner import KeyRates, OwnerCandidate, plan_table
from coltsfootstair.keyspace._table import (
    KEY_COUNT,
    KeyRange,
    KeyTable,
    decode_table,
    encode_table,
)
from coltsfootstair.keyspace._view import OWNERSHIP_KIND, OwnershipView

__all__ = [
    'KEY_COUNT',
    'OWNERSHIP_KIND',
    'GrantClient',
    'Keeper',
    'KeeperDependencies',
    'KeyDemand',
    'KeyRange',
    'KeyRates',
    'KeyTable',
    'MoveTimes',
    'OwnerCandidate',
    'OwnershipView',
    'StaleFenceError',
    'WrongServerError',
    'decode_table',
    'encode_table',
    'plan_table',
]
