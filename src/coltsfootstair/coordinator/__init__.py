"""The one daemon's work for each backend server that it coordinates."""

from __future__ import annotations

from coltsfootstair.coordinator._exchange import CREDIT_WINDOW_BYTES, Exchange
from coltsfootstair.coordinator._messages import (
    CoordinatorEvent,
    NotesReceived,
    RightsGiven,
    RightsTaken,
    RowReceived,
    RowsGranted,
    RowsOwned,
    ServerLoad,
    ServerObserved,
    StandbySeen,
    StreamClosed,
)
from coltsfootstair.coordinator._task import Coordinator

__all__ = [
    'CREDIT_WINDOW_BYTES',
    'Coordinator',
    'CoordinatorEvent',
    'Exchange',
    'NotesReceived',
    'RightsGiven',
    'RightsTaken',
    'RowReceived',
    'RowsGranted',
    'RowsOwned',
    'ServerLoad',
    'ServerObserved',
    'StandbySeen',
    'StreamClosed',
]
