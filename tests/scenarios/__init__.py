"""Scenarios that run daemons and stand-ins as separate processes."""

from __future__ import annotations
