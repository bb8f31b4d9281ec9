"""The one daemon's work for each backend server that it coordinates."""

from __future__ import annotations

from coltsfootstair.coordinator._exchange import CREDIT_WINDOW_BYTES, Exchange
from coltsfootstair.coordinator._messages import (
    CoordinatorEvent,
    RightsGiven,
    RightsTaken,
    RowsGranted,
    ServerLoad,
    ServerObserved,
)
from coltsfootstair.coordinator._task import Coordinator

__all__ = [
    'CREDIT_WINDOW_BYTES',
    'Coordinator',
    'CoordinatorEvent',
    'Exchange',
    'RightsGiven',
    'RightsTaken',
    'RowsGranted',
    'ServerLoad',
    'ServerObserved',
]
