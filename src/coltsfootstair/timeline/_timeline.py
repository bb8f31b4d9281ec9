"""The events that one daemon has recorded."""

from __future__ import annotations

import threading
from collections import deque
from typing import TYPE_CHECKING

from coltsfootstair.timeline._clock import HybridClock, HybridTime
from coltsfootstair.timeline._events import EventName, FieldValue, TimelineEvent
from coltsfootstair.timeline._merge import merge

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['Timeline']

DEFAULT_EVENT_COUNT = 4096
"""Default number of events that each ring buffer of a time line keeps."""

MAX_FIELD_LENGTH = 2000
"""Characters to which a text in an event is truncated."""

_REQUEST_EVENTS = (EventName.REQUEST_REFUSED, EventName.REQUEST_BROKEN)


class Timeline:
    """A bounded record of events; thread-safe.

    Events of single requests are kept in a separate ring buffer, so that a flood of refusals
    does not displace the events that tell who owned which rows.

    :param daemon: name of this daemon
    :param capacity: number of events that each of the two ring buffers keeps
    """

    def __init__(self, daemon: str, clock: Clock, capacity: int = DEFAULT_EVENT_COUNT) -> None:
        self._daemon = daemon
        self._clock = clock
        self._hybrid_clock = HybridClock()
        self._lock = threading.Lock()
        self._request_events: deque[TimelineEvent] = deque(maxlen=capacity)
        self._other_events: deque[TimelineEvent] = deque(maxlen=capacity)

    def record(self, name: EventName, /, **fields: FieldValue) -> HybridTime:
        """Record an event that happens now, and return its stamp."""
        truncated_fields = {
            field: value[:MAX_FIELD_LENGTH] if isinstance(value, str) else value
            for field, value in fields.items()
        }
        ring_buffer = self._request_events if name in _REQUEST_EVENTS else self._other_events
        with self._lock:
            stamp = self._hybrid_clock.tick(self._now_ms())
            ring_buffer.append(TimelineEvent(stamp, self._daemon, name, truncated_fields))
        return stamp

    def stamp(self) -> HybridTime:
        """Return a stamp to put on a message to another daemon."""
        with self._lock:
            return self._hybrid_clock.tick(self._now_ms())

    def latest(self) -> HybridTime:
        """Return the greatest stamp that was issued here or received from another daemon."""
        with self._lock:
            return self._hybrid_clock.latest

    def receive(self, remote: HybridTime) -> bool:
        """Advance the clock to the stamp of a received message.

        :return: false if the stamp is ignored because it is too far ahead
        """
        with self._lock:
            return self._hybrid_clock.receive(remote, self._now_ms())

    def events(self) -> list[TimelineEvent]:
        """Return the recorded events, oldest first."""
        with self._lock:
            ring_buffers = [list(self._other_events), list(self._request_events)]
        return merge(ring_buffers)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)
