"""Where a request goes: its row, its backend server, and that server's coordinator."""

from __future__ import annotations

from coltsfootstair.routing._router import Route, Router

__all__ = ['Route', 'Router']
