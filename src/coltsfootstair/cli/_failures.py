"""Prints each error as one line on standard error and sets the exit code."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING

from coltsfootstair.errors import BadInputError, ColtsfootstairError

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ['EXIT_BAD_INPUT', 'EXIT_FAILED', 'exit_on_errors']

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


@contextmanager
def exit_on_errors() -> Iterator[None]:
    """Print errors of this package without a traceback; exit with the code of their kind."""
    try:
        yield
    except* BadInputError as group:
        _print_errors(group)
        sys.exit(EXIT_BAD_INPUT)
    except* ColtsfootstairError as group:
        _print_errors(group)
        sys.exit(EXIT_FAILED)


def _print_errors(group: BaseExceptionGroup[ColtsfootstairError]) -> None:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            _print_errors(error)
        else:
            print(' '.join(str(error).split()), file=sys.stderr)
