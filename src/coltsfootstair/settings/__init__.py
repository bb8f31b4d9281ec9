"""The settings of one daemon."""

from __future__ import annotations

from coltsfootstair.settings._settings import DaemonSettings, load, parse, read_text

__all__ = ['DaemonSettings', 'load', 'parse', 'read_text']
