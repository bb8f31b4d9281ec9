"""The command that shows the whole system in one process."""

from __future__ import annotations

import logging

from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import EXIT_FAILED, reported_errors
from coltsfootstair.errors import BadInputError

__all__ = ['demo']

LEAST_SECONDS = 10.0
MOST_SECONDS = 3600.0


@app.command
def demo(*, seconds: float = 20.0) -> int:
    """Run the whole system on stand-ins, and judge what it promises.

    :param seconds: how long callers send requests
    """
    # Importing the servers takes a while that other commands need not spend.
    from coltsfootstair.clock import SystemClock
    from coltsfootstair.demo import judge, render_report
    from coltsfootstair.demo._scenario import run
    from coltsfootstair.logs import configure

    configure(logging.ERROR)
    with reported_errors():
        _check(seconds)
        observed = run(seconds, SystemClock())
    verdicts = judge(observed)
    print(render_report(observed, verdicts))
    return 0 if all(verdict.is_kept for verdict in verdicts) else EXIT_FAILED


def _check(seconds: float) -> None:
    if not LEAST_SECONDS <= seconds <= MOST_SECONDS:
        allowed = f'from {LEAST_SECONDS:g} to {MOST_SECONDS:g} is allowed'
        raise BadInputError('command line', '--seconds', allowed)
