"""The command-line application, with which the commands are registered."""

from __future__ import annotations

import cyclopts

__all__ = ['app', 'main']

app = cyclopts.App(name='coltsfootstair', help='A router for backend servers that own keys.')


def main() -> None:
    """Run the command that the command line names."""
    app()
