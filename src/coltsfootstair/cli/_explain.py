"""The command that explains a request from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from coltsfootstair.cli._app import app
from coltsfootstair.explain import explain as explained
from coltsfootstair.explain import read_lines

__all__ = ['explain']

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


@app.command
def explain(
    request_id: Annotated[str, Parameter(help="The request's id")],
    *logs: Annotated[Path, Parameter(help='Log files of the daemons')],
) -> int:
    """Print a request's path and the cause of its end, from the logs of all daemons."""
    texts: list[str] = []
    for path in logs:
        try:
            texts.extend(path.read_text(encoding='utf-8', errors='replace').splitlines())
        except OSError as error:
            print(f'{path}: must be a readable file: {error.strerror}', file=sys.stderr)
            return EXIT_BAD_INPUT
    if not logs:
        print('LOG: at least one log file must be named', file=sys.stderr)
        return EXIT_BAD_INPUT
    text = explained(request_id, read_lines(texts))
    if not text:
        print(
            f'{request_id}: no line of its own in {len(logs)} files: it was answered in time,'
            ' was merged into a count, or came to a daemon whose log is missing',
            file=sys.stderr,
        )
        return EXIT_FAILED
    print('\n'.join(text))
    return EXIT_DONE
