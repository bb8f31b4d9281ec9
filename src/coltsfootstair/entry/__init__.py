"""Serves callers: takes requests over HTTP and relays them to coordinators."""

from __future__ import annotations

from coltsfootstair.entry._pending import PendingAnswers
from coltsfootstair.entry._relay import CoordinatorLink, Relay, RelayParts
from coltsfootstair.entry._server import CallerServer

__all__ = ['CallerServer', 'CoordinatorLink', 'PendingAnswers', 'Relay', 'RelayParts']
