"""Delivers coordinators' messages to the requests that wait for them."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.inner import Stream

if TYPE_CHECKING:
    from coltsfootstair.inner import AnswerMessage

__all__ = ['LinkLost', 'Mailbox', 'PendingAnswers']


class LinkLost(NamedTuple):
    """The stream to the coordinator was lost while a request waited for its answer."""


Mailbox = queue.SimpleQueue['AnswerMessage | LinkLost']


class _PendingRequest(NamedTuple):
    mailbox: Mailbox
    stream: Stream | None


class PendingAnswers:
    """Holds mailboxes by request id; drops a message that no request waits for."""

    def __init__(self) -> None:
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._lock = threading.Lock()

    def register(self, request_id: str, mailbox: Mailbox, stream: Stream | None) -> None:
        """Deliver messages about ``request_id`` to ``mailbox``.

        :param stream: the stream that they arrive on; ``None`` if this daemon coordinates
        """
        with self._lock:
            self._pending_by_id[request_id] = _PendingRequest(mailbox, stream)

    def unregister(self, request_id: str) -> None:
        """Drop messages about ``request_id`` from now on."""
        with self._lock:
            self._pending_by_id.pop(request_id, None)

    def deliver(self, stream: Stream | None, message: AnswerMessage) -> None:
        """Put a message into the mailbox of the request that waits for it on ``stream``."""
        pending = self._pending_by_id.get(message.request_id)
        if pending is not None and pending.stream is stream:
            pending.mailbox.put(message)

    def on_stream_lost(self, stream: Stream) -> None:
        """Put ``LinkLost`` into the mailbox of each request that waits on ``stream``."""
        with self._lock:
            waiting_requests = [
                item for item in self._pending_by_id.values() if item.stream is stream
            ]
        for pending in waiting_requests:
            pending.mailbox.put(LinkLost())

    def count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._pending_by_id)
