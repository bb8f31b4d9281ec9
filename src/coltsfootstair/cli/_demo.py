"""The command that demonstrates the whole system in one process."""

from __future__ import annotations

import logging

from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import EXIT_FAILED, exit_on_errors
from coltsfootstair.errors import BadInputError

__all__ = ['demo']

MIN_DURATION_S = 10.0
MAX_DURATION_S = 3600.0


@app.command
def demo(*, seconds: float = 20.0) -> int:
    """Run the whole system with stand-ins of the platform, and check its promises.

    :param seconds: seconds for which callers send requests, from 10 to 3600
    """
    # Imported here because the import is slow and other commands do not need it.
    from coltsfootstair.clock import SystemClock
    from coltsfootstair.demo import judge, render_report
    from coltsfootstair.demo._scenario import run_demo
    from coltsfootstair.logs import configure

    configure(logging.ERROR)
    with exit_on_errors():
        _check_duration(seconds)
        record = run_demo(seconds, SystemClock())
    verdicts = judge(record)
    print(render_report(record, verdicts))
    return 0 if all(verdict.is_kept for verdict in verdicts) else EXIT_FAILED


def _check_duration(seconds: float) -> None:
    if not MIN_DURATION_S <= seconds <= MAX_DURATION_S:
        allowed = f'must be from {MIN_DURATION_S:g} to {MAX_DURATION_S:g} seconds'
        raise BadInputError('command line', '--seconds', allowed)
