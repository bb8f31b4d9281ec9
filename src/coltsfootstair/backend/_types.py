"""What a coordinator may ask of a backend server."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple, Protocol

__all__ = [
    'AnswerSink',
    'BackendAnswer',
    'BackendRequest',
    'BackendServerPort',
    'Grant',
    'GrantReply',
    'Health',
]


class Grant(NamedTuple):
    """A range of slots, both ends included, under one fencing token."""

    first: int
    last: int
    token: int


class GrantReply(NamedTuple):
    """The server's word on a grant order.

    :param clock: the server's own monotonic seconds when it answered
    :param accepted: false if the server is another instance or has seen a newer token
    """

    accepted: bool
    instance: str
    clock: float


class Health(NamedTuple):
    """The server's answer to a probe; ``cold`` and ``load`` may lag or mislead."""

    instance: str
    clock: float
    load: float
    cold: bool
    in_flight: int


class BackendRequest(NamedTuple):
    """A request as it is sent to the server.

    :param body: portions of the body
    :param body_length: its length in bytes, or -1 for a chunked body
    :param deadline_s: seconds the server may take
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: Iterator[bytes]
    body_length: int
    deadline_s: float


class BackendAnswer(NamedTuple):
    """The head of the server's answer.

    :param length: the body's length in bytes, or -1 if it is not announced
    """

    status: int
    headers: list[tuple[str, str]]
    length: int


class AnswerSink(Protocol):
    """Takes an answer as it comes in."""

    def start(self, answer: BackendAnswer) -> None:
        """Take the head."""

    def write(self, data: bytes, *, last: bool) -> None:
        """Take a portion of the body; waits until there is room for it."""


class BackendServerPort(Protocol):
    """One backend server; calls block and may come from several threads."""

    def exchange(self, request: BackendRequest, sink: AnswerSink) -> None:
        """Send a request and pass its whole answer to ``sink``.

        :raises CallFailedError: it broke off; says whether a byte may have been sent
        """

    def probe(self, timeout_s: float) -> Health:
        """Ask for the server's health.

        :raises CallFailedError: there was no answer
        """

    def grant(
        self, grants: list[Grant], until: float, instance: str, timeout_s: float
    ) -> GrantReply:
        """Replace all grants of the server by ``grants``, which lapse at ``until``.

        :param until: on the server's own clock, in seconds
        :raises CallFailedError: there was no answer; the order may have taken effect
        """

    def cancel(self, request_id: str, timeout_s: float) -> bool:
        """Ask the server to stop a request; true if it is known not to run any more."""

    def close(self) -> None:
        """Close all idle connections."""
