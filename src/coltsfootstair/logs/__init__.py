"""Structured logs: one JSON object per line."""

from __future__ import annotations

from coltsfootstair.logs._setup import configure
from coltsfootstair.logs._stream import DroppingStream

__all__ = ['DroppingStream', 'configure']
