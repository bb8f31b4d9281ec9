"""The command-line interface of coltsfootstair."""

from __future__ import annotations

from coltsfootstair.cli import _daemon as _daemon
from coltsfootstair.cli import _demo as _demo
from coltsfootstair.cli import _explain as _explain
from coltsfootstair.cli import _operators as _operators
from coltsfootstair.cli import _settings as _settings
from coltsfootstair.cli import _standin as _standin
from coltsfootstair.cli._app import app, main

__all__ = ['app', 'main']
