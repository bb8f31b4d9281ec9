"""Serves callers: receives requests over HTTP and relays them to coordinators."""

from __future__ import annotations

from coltsfootstair.entry._pending import PendingAnswers
from coltsfootstair.entry._relay import Relay
from coltsfootstair.entry._server import CallerServer
from coltsfootstair.entry._types import CoordinatorConnector, RelayDependencies

__all__ = [
    'CallerServer',
    'CoordinatorConnector',
    'PendingAnswers',
    'Relay',
    'RelayDependencies',
]
