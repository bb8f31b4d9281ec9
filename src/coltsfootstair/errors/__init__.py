"""The hierarchy of errors that coltsfootstair raises."""

from __future__ import annotations

__all__ = [
    'BadInputError',
    'CallFailedError',
    'ColtsfootstairError',
    'ProtocolError',
    'RevisionTooOldError',
    'StoreConflictError',
    'StoreUnavailableError',
]


class ColtsfootstairError(Exception):
    """Base of all errors of this package; its text is fit to show to an operator."""


class BadInputError(ColtsfootstairError):
    """Input from a user is not allowed.

    :param source: the file, or the address, that held the input
    :param field: the field at fault, dotted, with a line number where known
    :param allowed: what would be accepted
    """

    def __init__(self, source: str, field: str, allowed: str) -> None:
        super().__init__(f'{source}: {field}: {allowed}')
        self.source = source
        self.field = field
        self.allowed = allowed


class ProtocolError(ColtsfootstairError):
    """A peer sent bytes that are not the inner protocol."""


class StoreUnavailableError(ColtsfootstairError):
    """The store did not answer; a change that was asked for may have taken effect."""


class StoreConflictError(ColtsfootstairError):
    """A conditional update was refused because the object has another version."""


class CallFailedError(ColtsfootstairError):
    """An exchange with a backend server broke off.

    :param dispatched: whether a byte of the request may have reached the server
    """

    def __init__(self, text: str, *, dispatched: bool) -> None:
        super().__init__(text)
        self.dispatched = dispatched


class RevisionTooOldError(StoreUnavailableError):
    """A watch asked for changes that the store no longer remembers; list again."""
