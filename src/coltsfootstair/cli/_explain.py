"""The command that explains the outcome of a request from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from coltsfootstair.cli._app import app
from coltsfootstair.explain import explain as explain_request
from coltsfootstair.explain import read_lines

__all__ = ['explain']

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


@app.command
def explain(
    request_id: Annotated[str, Parameter(help='id of the request')],
    *logs: Annotated[Path, Parameter(help='log files of all daemons')],
) -> int:
    """Print the path of a request and the cause of its outcome, from the daemons' logs."""
    lines: list[str] = []
    for path in logs:
        try:
            lines.extend(path.read_text(encoding='utf-8', errors='replace').splitlines())
        except OSError as error:
            print(f'{path}: must be a readable file: {error.strerror}', file=sys.stderr)
            return EXIT_BAD_INPUT
    if not logs:
        print('LOG: no file given; must be at least one log file', file=sys.stderr)
        return EXIT_BAD_INPUT
    explanation = explain_request(request_id, read_lines(lines))
    if not explanation:
        print(
            f'{request_id}: no log line of this request in {len(logs)} files: it was answered'
            ' in time, was counted in a summary, or reached a daemon whose log is missing',
            file=sys.stderr,
        )
        return EXIT_FAILED
    print('\n'.join(explanation))
    return EXIT_DONE
