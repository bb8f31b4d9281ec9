"""The exceptions that coltsfootstair raises."""

from __future__ import annotations

from typing import Any

__all__ = [
    'AnswerTooLargeError',
    'BadInputError',
    'CallFailedError',
    'ColtsfootstairError',
    'ProtocolError',
    'RevisionTooOldError',
    'StoreConflictError',
    'StoreUnavailableError',
    'UnusableAnswerError',
    'shorten',
]

_SHOWN_CHARACTERS = 60


def shorten(value: Any) -> str:
    """Return ``value``, whatever it is, as it is shown in an error: in ASCII and not long."""
    try:
        text = ascii(value)
    except ValueError:
        return 'a number with thousands of digits'
    except RecursionError:
        return 'a value that is nested very deeply'
    return text if len(text) <= _SHOWN_CHARACTERS else f'{text[:_SHOWN_CHARACTERS]}...'


class ColtsfootstairError(Exception):
    """Base of all errors of this package; the message can be shown to an operator."""


class BadInputError(ColtsfootstairError):
    """Input from a user is not allowed.

    :param source: the file or address that the input came from
    :param field: dotted name of the field, with its line number if known
    :param allowed: what is allowed there
    """

    def __init__(self, source: str, field: str, allowed: str) -> None:
        super().__init__(f'{source}: {field}: {allowed}')
        self.source = source
        self.field = field
        self.allowed = allowed


class ProtocolError(ColtsfootstairError):
    """A peer sent bytes that do not follow the inner protocol."""


class StoreUnavailableError(ColtsfootstairError):
    """The store gave no usable answer; a requested change may have taken effect."""


class StoreConflictError(ColtsfootstairError):
    """A conditional update was refused because the object has another version."""


class CallFailedError(ColtsfootstairError):
    """A call to a backend server failed before its answer was complete.

    :param dispatched: whether any byte of the request may have reached the server
    """

    def __init__(self, text: str, *, dispatched: bool) -> None:
        super().__init__(text)
        self.dispatched = dispatched


class RevisionTooOldError(StoreUnavailableError):
    """A watch asked for changes that the store no longer has; list the objects again."""


class AnswerTooLargeError(StoreUnavailableError):
    """The answer to a call is larger than the caller was ready to read."""


class UnusableAnswerError(StoreUnavailableError):
    """The store can be reached and answered, but with bytes that can't be read as a whole."""
