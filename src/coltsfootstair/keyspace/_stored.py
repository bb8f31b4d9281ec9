"""Checks of objects that daemons write for each other, and that others may have changed."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from coltsfootstair.errors import ProtocolError
from coltsfootstair.objects import UnreadableValue

__all__ = [
    'MAX_EPOCH',
    'MAX_FENCE',
    'MAX_START_MS',
    'convert_stored',
    'is_storable_text',
]

_T = TypeVar('_T')

MAX_EPOCH = 2**62
"""Highest epoch that is read; the next ones have 64 bits, too."""

MAX_FENCE = 2**62
"""Highest fencing token that is read; the next ones have 64 bits, too."""

MAX_START_MS = 2**53
"""Latest start of a backend server that is read, in Unix milliseconds."""

MAX_NAME_CHARACTERS = 1024
"""Longest name, in characters."""


def convert_stored(value: Any, expected: type[_T], what: str) -> _T:
    """Convert the value of an object to its format.

    :param what: what to name in errors
    :raises ProtocolError: it does not have this format
    """
    if isinstance(value, UnreadableValue):
        raise ProtocolError(f'stored {what} can not be read: {value.reason}')
    try:
        return msgspec.convert(value, expected)
    except (msgspec.ValidationError, RecursionError, ValueError, OverflowError) as error:
        raise ProtocolError(f'stored {what} is malformed: {error}') from None


def is_storable_text(text: str) -> bool:
    """Whether a name is short enough and can be encoded."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return len(text) <= MAX_NAME_CHARACTERS
