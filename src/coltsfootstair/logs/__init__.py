"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

from coltsfootstair.logs._setup import configure

__all__ = ['configure']
