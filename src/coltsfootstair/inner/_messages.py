"""Messages between daemons, and the number of each on the wire."""

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
    """The first message in each direction of a stream.

    :param protocol: ``PROTOCOL_VERSION`` of the sender
    :param incarnation: identifies this start of the sender
    """

    protocol: int
    name: str
    data_centre: str
    incarnation: str


class StampReported(NamedTuple):
    """The sender's clock, sent before a message if it has advanced since the last one.

    :param stamp: the sender's latest hybrid time, packed
    """

    stamp: int


class RequestHead(NamedTuple):
    """A caller's request, sent to the coordinator of its backend server.

    :param row: number of the key's row in the service's table, or -1 if the service is not
        divided by key
    :param row_epoch: epoch of that row as the sender knows it
    :param timeout_ms: remaining time until the answer is due
    :param body: first bytes of the body
    :param complete: whether ``body`` is the whole body
    :param body_length: announced length of the whole body in bytes, or -1 if it is unknown
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
    """A further chunk of a request's body."""

    request_id: str
    data: bytes
    last: bool


class BodyAborted(NamedTuple):
    """The caller broke off the body; the request must not be treated as complete."""

    request_id: str


class Credit(NamedTuple):
    """Flow control: the receiver of a body or answer accepts ``size`` more bytes."""

    request_id: str
    size: int


class CancelRequest(NamedTuple):
    """The caller has left; its request is to be cancelled."""

    request_id: str


class AnswerHead(NamedTuple):
    """Status, headers and first bytes of a backend server's answer.

    :param complete: whether ``body`` is the whole body
    :param length: length of the whole body in bytes, or -1 if it is unknown
    """

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    complete: bool
    length: int


class AnswerChunk(NamedTuple):
    """A further chunk of an answer's body."""

    request_id: str
    data: bytes
    last: bool


class RequestRefused(NamedTuple):
    """A refusal, sent in place of an answer or of the rest of one.

    :param ran: whether the request has run
    :param retry_after_ms: time after which a retry may succeed, or -1 if it would not help
    """

    request_id: str
    code: ResultCode
    ran: Ran
    detail: str
    retry_after_ms: int


Message = tuple[object, ...]
"""Any registered message; every message type is a ``NamedTuple``."""

AnswerMessage = AnswerHead | AnswerChunk | RequestRefused | Credit
"""Messages to the daemon that forwarded a request; ``Credit`` is for the request's body."""

BodyMessage = BodyChunk | BodyAborted | Credit
"""Messages to the coordinator after a request's head; ``Credit`` is for the answer."""

TYPE_BY_NUMBER: dict[int, type] = {}
NUMBER_BY_TYPE: dict[type, int] = {}


def register(number: int, message_type: type) -> None:
    """Assign a message type its number on the wire; numbers are never reused.

    :raises ValueError: the number is already assigned
    """
    if number in TYPE_BY_NUMBER:
        raise ValueError(f'message number {number} is already assigned')
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
