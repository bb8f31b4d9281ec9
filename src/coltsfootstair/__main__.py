"""Runs the command line as ``python -m coltsfootstair``."""

from __future__ import annotations

from coltsfootstair.cli import main

if __name__ == '__main__':
    main()
