"""What a relayed request is made of, and the ways it goes."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.clock import Clock
from coltsfootstair.entry._body import CallerBody
from coltsfootstair.entry._pending import PendingAnswers
from coltsfootstair.inner import AnswerHead
from coltsfootstair.routing import Router

if TYPE_CHECKING:
    from coltsfootstair.inner import Message, Stream

__all__ = [
    'AnswerTruncatedError',
    'CallerRequest',
    'CoordinatorConnector',
    'CoordinatorLink',
    'RelayDependencies',
    'RelayedAnswer',
]


class CallerRequest(NamedTuple):
    """A caller's request as it came in.

    :param timeout_s: how long the caller waits for its answer
    """

    request_id: str
    operation_id: str
    service: str
    key: str
    caller: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    timeout_s: float
    body: CallerBody


class RelayedAnswer(NamedTuple):
    """A backend server's answer on its way to the caller.

    :param chunks: the body; raises ``AnswerTruncatedError`` if the rest can't be had
    """

    head: AnswerHead
    chunks: Iterator[bytes]


class AnswerTruncatedError(Exception):
    """The rest of an answer that has begun is lost; the caller must see it as cut."""


class CoordinatorConnector(Protocol):
    """Opens the way to a coordinator, which may be this daemon itself."""

    def connect(self, coordinator: str) -> CoordinatorLink | None:
        """Return the way to ``coordinator``, or ``None`` if it can't be reached."""


class CoordinatorLink(Protocol):
    """The sending end of the way to one coordinator."""

    @property
    def stream(self) -> Stream | None:
        """The inner stream that answers come in on; ``None`` within this daemon."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the way is closed and nothing was sent."""


class RelayDependencies(NamedTuple):
    """The parts of the daemon that a relayed request needs."""

    clock: Clock
    router: Router
    connector: CoordinatorConnector
    pending: PendingAnswers
    random: random.Random
