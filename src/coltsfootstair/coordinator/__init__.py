"""Admits, sends and deduplicates the requests of the backend servers of a coordinator."""

from __future__ import annotations

from coltsfootstair.coordinator._exchange import CREDIT_WINDOW_BYTES, Exchange
from coltsfootstair.coordinator._messages import (
    CoordinationAllowed,
    CoordinationRevoked,
    CoordinatorEvent,
    ReplicationReceived,
    RowHandoverReceived,
    RowsGranted,
    RowsOwned,
    ServerLoad,
    ServerProbed,
    StandbyRoleEnded,
    StreamClosed,
)
from coltsfootstair.coordinator._task import Coordinator

__all__ = [
    'CREDIT_WINDOW_BYTES',
    'CoordinationAllowed',
    'CoordinationRevoked',
    'Coordinator',
    'CoordinatorEvent',
    'Exchange',
    'ReplicationReceived',
    'RowHandoverReceived',
    'RowsGranted',
    'RowsOwned',
    'ServerLoad',
    'ServerProbed',
    'StandbyRoleEnded',
    'StreamClosed',
]
