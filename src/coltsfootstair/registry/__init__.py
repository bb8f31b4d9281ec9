"""Backend servers that are known, and which of them may be sent requests."""

from __future__ import annotations

from coltsfootstair.registry._types import BackendServer, ServerState
from coltsfootstair.registry._view import Registry

__all__ = ['BackendServer', 'Registry', 'ServerState']
