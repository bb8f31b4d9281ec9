"""Explains from log lines alone what happened to a request."""

from __future__ import annotations

from coltsfootstair.explain._explain import explain
from coltsfootstair.explain._lines import LogLine, read_lines

__all__ = ['LogLine', 'explain', 'read_lines']
