"""Port through which a coordinator calls a backend server, and the types it uses."""

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
    """Permission to work on a range of rows, under one fencing token.

    :param first: number of the first row
    :param last: number of the last row, which is part of the range
    :param token: fencing token of the rows
    """

    first: int
    last: int
    token: int


class GrantReply(NamedTuple):
    """The server's answer to a grant call.

    :param accepted: false if the server is another instance or has seen a newer token
    :param instance: name of the running instance of the server
    :param clock: monotonic seconds of the server's own clock when it answered
    """

    accepted: bool
    instance: str
    clock: float


class Health(NamedTuple):
    """The server's answer to a probe.

    The server measures ``load`` and ``cold`` itself; they may lag or be wrong.

    :param instance: name of the running instance of the server
    :param clock: monotonic seconds of the server's own clock when it answered
    :param load: the load that the server reports
    :param cold: whether the server reports that it is in a cold start
    :param in_flight: requests that it is working on
    """

    instance: str
    clock: float
    load: float
    cold: bool
    in_flight: int


class BackendRequest(NamedTuple):
    """A request as it is sent to the server.

    :param body: chunks of the body
    :param body_length: length of the body in bytes, or -1 to send it with chunked encoding
    :param deadline_s: seconds that the server may take to answer
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: Iterator[bytes]
    body_length: int
    deadline_s: float


class BackendAnswer(NamedTuple):
    """Status and headers of the server's answer.

    :param length: length of the body in bytes, or -1 if it is not announced
    """

    status: int
    headers: list[tuple[str, str]]
    length: int


class AnswerSink(Protocol):
    """Receives an answer while it arrives."""

    def start(self, answer: BackendAnswer) -> None:
        """Receive status and headers."""

    def write(self, data: bytes, *, last: bool) -> None:
        """Receive a chunk of the body; blocks until there is room for it."""


class BackendServerPort(Protocol):
    """One backend server; its methods block and may be called from several threads."""

    def exchange(self, request: BackendRequest, sink: AnswerSink) -> None:
        """Send a request and pass its whole answer to ``sink``.

        :raises CallFailedError: the exchange broke off; its ``dispatched`` tells whether a
            byte of the request may have been sent
        """

    def probe(self, timeout_s: float) -> Health:
        """Return the server's health.

        :raises CallFailedError: there was no valid answer
        """

    def grant(
        self, grants: list[Grant], server_expiry: float, instance: str, timeout_s: float
    ) -> GrantReply:
        """Replace all grants of the server by ``grants``.

        :param server_expiry: when ``grants`` expire, in seconds on the server's own clock
        :param instance: the instance of the server that the grants are for
        :raises CallFailedError: there was no answer; the grants may be in force
        """

    def cancel(self, request_id: str, timeout_s: float) -> bool:
        """Ask the server to stop a request; return true if it is known to have stopped.

        :raises CallFailedError: there was no answer
        """

    def close(self) -> None:
        """Close all idle connections."""
