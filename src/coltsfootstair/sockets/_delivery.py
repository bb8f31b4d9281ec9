"""Decides how long a connection is kept for a caller that receives answers or still sends."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['LINGER_S', 'MAX_LINGER_S', 'Delivery']

LINGER_S = 2.0
"""How long an ended connection is read after bytes last went either way, in seconds. Closing a
socket at which the caller's bytes arrive resets the connection."""

MAX_LINGER_S = 30.0
"""How long an ended connection is read after bytes of answers were last delivered, in seconds,
for callers that send without end."""


class Delivery(NamedTuple):
    """What a caller has received of what was sent to it; times are monotonic seconds.

    Bytes are delivered once the caller's TCP has acknowledged them. The transport and the
    kernel may have taken megabytes that the caller has not begun to receive.

    :param undelivered_bytes: bytes that were sent and are not known to be delivered
    :param delivered_at: when bytes were last delivered, or first sent after all others were
    :param progress_at: when bytes were last sent, delivered, or received from the caller
    """

    undelivered_bytes: int
    delivered_at: float
    progress_at: float

    def send(self, size: int, now: float) -> Delivery:
        """Return the state after ``size`` more bytes were sent."""
        delivered_at = self.delivered_at if self.undelivered_bytes else now
        return Delivery(self.undelivered_bytes + size, delivered_at, now)

    def measure(self, undelivered_bytes: int, now: float) -> Delivery:
        """Return the state after ``undelivered_bytes`` were found to be left."""
        if undelivered_bytes >= self.undelivered_bytes:
            return self
        return Delivery(undelivered_bytes, now, now)

    def receive(self, now: float) -> Delivery:
        """Return the state after bytes came from the caller."""
        return self._replace(progress_at=now)

    def is_awaited(self, now: float) -> bool:
        """Whether closing an ended connection could cost its caller an answer."""
        return self.undelivered_bytes > 0 or now - self.progress_at < LINGER_S

    def is_stalled(self, max_pause_s: float, now: float) -> bool:
        """Whether the caller does not read.

        :param max_pause_s: longest time without a delivered byte, in seconds
        """
        pause_s = now - self.delivered_at
        return self.undelivered_bytes > 0 and pause_s >= max(LINGER_S, max_pause_s)

    def may_close(self, ended_at: float, max_pause_s: float, now: float) -> bool:
        """Whether an ended connection is no longer worth keeping.

        :param ended_at: when the end was sent, after the last answer
        :param max_pause_s: longest time without a byte either way while answers are not
            delivered, in seconds
        """
        if now - max(ended_at, self.delivered_at) >= MAX_LINGER_S:
            return True
        pause_s = now - max(ended_at, self.progress_at)
        if self.undelivered_bytes > 0:
            return pause_s >= max(LINGER_S, max_pause_s)
        return pause_s >= LINGER_S
