"""Types of relayed requests and answers, and the links to coordinators."""

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
    """A caller's request as received.

    :param caller: address of the caller, from X-Forwarded-For if a load balancer set it
    :param timeout_s: how long the caller waits for its answer, in seconds
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
    """A backend server's answer that is relayed to the caller.

    :param chunks: the body; raises ``AnswerTruncatedError`` if the rest cannot be read
    """

    head: AnswerHead
    chunks: Iterator[bytes]


class AnswerTruncatedError(Exception):
    """An answer broke off after its head was relayed; the caller must see it as truncated."""


class CoordinatorConnector(Protocol):
    """Connects to coordinators, one of which may be this daemon itself."""

    def connect(self, coordinator: str) -> CoordinatorLink | None:
        """Return the link to ``coordinator``, or ``None`` if it is unreachable."""


class CoordinatorLink(Protocol):
    """The sending end of the connection to one coordinator."""

    @property
    def stream(self) -> Stream | None:
        """The inner stream that answers arrive on; ``None`` if this daemon is it."""

    def send(self, message: Message) -> bool:
        """Send a message; return false if the link is closed and nothing was sent."""


class RelayDependencies(NamedTuple):
    """The components of the daemon that are needed to relay requests."""

    clock: Clock
    router: Router
    connector: CoordinatorConnector
    pending: PendingAnswers
    random: random.Random
