"""Finds the backend server of a request, and the coordinator of that server."""

from __future__ import annotations

from coltsfootstair.routing._router import Route, Router

__all__ = ['Route', 'Router']
