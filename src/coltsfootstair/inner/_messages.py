"""The messages that daemons send each other, and the number of each on the wire."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.results import Ran, ResultCode

__all__ = [
    'NUMBER_BY_TYPE',
    'PROTOCOL_VERSION',
    'TYPE_BY_NUMBER',
    'AnswerChunk',
    'AnswerHead',
    'AnswerMessage',
    'BodyAborted',
    'BodyChunk',
    'BodyMessage',
    'CancelRequest',
    'Credit',
    'Hello',
    'Message',
    'RequestHead',
    'RequestRefused',
    'StampReported',
    'register',
]

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """The first message in each direction of a stream."""

    protocol: int
    name: str
    data_centre: str
    incarnation: str


class StampReported(NamedTuple):
    """Comes before a message when events have been noted since the last one sent.

    :param stamp: the sender's latest hybrid time, packed
    """

    stamp: int


class RequestHead(NamedTuple):
    """A caller's request on its way to the coordinator of its backend server.

    :param row: the row of the service's table, or -1 if the service is not divided
    :param row_epoch: the epoch of that row as the entry daemon knows it
    :param timeout_ms: time left for the answer
    :param body: the first bytes of the body
    :param complete: whether ``body`` is all of it
    :param body_length: the announced length in bytes, or -1 if it is not known
    """

    request_id: str
    operation_id: str
    service: str
    backend_server: str
    key: str
    row: int
    row_epoch: int
    caller: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    timeout_ms: int
    body: bytes
    complete: bool
    body_length: int


class BodyChunk(NamedTuple):
    """A further part of a request's body."""

    request_id: str
    data: bytes
    last: bool


class BodyAborted(NamedTuple):
    """The caller cut its body off; the request must not be taken as whole."""

    request_id: str


class Credit(NamedTuple):
    """The receiver of a body or answer can take ``size`` more bytes."""

    request_id: str
    size: int


class CancelRequest(NamedTuple):
    """The caller has gone; the answer is no longer wanted."""

    request_id: str


class AnswerHead(NamedTuple):
    """Status, headers and first bytes of a backend server's answer.

    :param length: the length of the whole body in bytes, or -1 if it is not known
    """

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool
    length: int


class AnswerChunk(NamedTuple):
    """A further part of an answer's body."""

    request_id: str
    data: bytes
    last: bool


class RequestRefused(NamedTuple):
    """An honest refusal in place of an answer, or of the rest of one.

    :param retry_after_ms: when to come back, or -1 if that would not help
    """

    request_id: str
    code: ResultCode
    ran: Ran
    detail: str
    retry_after_ms: int


Message = tuple[object, ...]
"""Any registered message; each is a ``NamedTuple``."""

AnswerMessage = AnswerHead | AnswerChunk | RequestRefused | Credit
BodyMessage = BodyChunk | BodyAborted | Credit

TYPE_BY_NUMBER: dict[int, type] = {}
NUMBER_BY_TYPE: dict[type, int] = {}


def register(number: int, message_type: type) -> None:
    """Give a message type its number on the wire; numbers are never used again."""
    if number in TYPE_BY_NUMBER:
        raise ValueError(f'message number {number} is taken')
    TYPE_BY_NUMBER[number] = message_type
    NUMBER_BY_TYPE[message_type] = number


register(0, Hello)
register(1, RequestHead)
register(2, BodyChunk)
register(3, BodyAborted)
register(4, Credit)
register(5, CancelRequest)
register(6, AnswerHead)
register(7, AnswerChunk)
register(8, RequestRefused)
register(9, StampReported)
