"""The command that runs one daemon."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

import structlog
from cyclopts import Parameter

from coltsfootstair.cli._app import app
from coltsfootstair.clock import SuspensionAwareClock
from coltsfootstair.errors import BadInputError
from coltsfootstair.logs import configure
from coltsfootstair.settings import load

__all__ = ['daemon']

logger = structlog.get_logger()

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


@app.command
def daemon(
    *, settings: Annotated[Path, Parameter(help='settings file of the daemon, in TOML')]
) -> int:
    """Run one daemon until it receives SIGTERM or SIGINT."""
    # Imported here because the import is slow and other commands do not need it.
    from coltsfootstair.daemon import Daemon

    try:
        daemon_settings = load(settings)
    except (BadInputError, ExceptionGroup) as error:
        _print_faults(error)
        return EXIT_BAD_INPUT
    configure(daemon=daemon_settings.name)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    try:
        running_daemon = Daemon(daemon_settings, SuspensionAwareClock())
        running_daemon.start()
    except OSError as error:
        print(f'coltsfootstair: cannot listen on an address: {error}', file=sys.stderr)
        return EXIT_FAILED
    stop_requested.wait()
    return EXIT_DONE if running_daemon.stop() else EXIT_FAILED


def _print_faults(error: BaseException) -> None:
    faults = error.exceptions if isinstance(error, BaseExceptionGroup) else (error,)
    for fault in faults:
        print(fault, file=sys.stderr)
