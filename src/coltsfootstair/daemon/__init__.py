"""The daemon: one process of the router."""

from __future__ import annotations

from coltsfootstair.daemon._application import Daemon

__all__ = ['Daemon']
