"""The requests that wait for messages from coordinators."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.inner import Stream

if TYPE_CHECKING:
    from coltsfootstair.inner import AnswerMessage

__all__ = ['LinkLost', 'Mailbox', 'PendingAnswers']


class LinkLost(NamedTuple):
    """The way to the coordinator broke while a request was out."""


Mailbox = queue.SimpleQueue['AnswerMessage | LinkLost']


class _Pending(NamedTuple):
    mailbox: Mailbox
    stream: Stream | None


class PendingAnswers:
    """Mailboxes by request id; an answer that nobody waits for any more is dropped."""

    def __init__(self) -> None:
        self._pending_by_id: dict[str, _Pending] = {}
        self._lock = threading.Lock()

    def register(self, request_id: str, mailbox: Mailbox, stream: Stream | None) -> None:
        """Bring messages on ``request_id`` to ``mailbox``; ``None`` is this daemon itself."""
        with self._lock:
            self._pending_by_id[request_id] = _Pending(mailbox, stream)

    def unregister(self, request_id: str) -> None:
        """Drop whatever still comes for ``request_id``."""
        with self._lock:
            self._pending_by_id.pop(request_id, None)

    def deliver(self, stream: Stream | None, message: AnswerMessage) -> None:
        """Give a message to the one who waits for it on this very stream."""
        pending = self._pending_by_id.get(message.request_id)
        if pending is not None and pending.stream is stream:
            pending.mailbox.put(message)

    def on_stream_lost(self, stream: Stream) -> None:
        """Tell all that wait on ``stream`` that it is gone."""
        with self._lock:
            waiting = [item for item in self._pending_by_id.values() if item.stream is stream]
        for pending in waiting:
            pending.mailbox.put(LinkLost())

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._pending_by_id)
