"""The events that one daemon remembers."""

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

DEFAULT_CAPACITY = 4096
MAX_FIELD_LENGTH = 2000

_PER_REQUEST = (EventName.REQUEST_REFUSED, EventName.REQUEST_BROKEN)


class Timeline:
    """A bounded memory of events; safe for several threads.

    Events of single requests have a ring of their own, so that a flood of refusals does
    not push out who owned what.

    :param capacity: how many events each of the two rings holds
    """

    def __init__(self, daemon: str, clock: Clock, capacity: int = DEFAULT_CAPACITY) -> None:
        self._daemon = daemon
        self._clock = clock
        self._hybrid = HybridClock()
        self._lock = threading.Lock()
        self._of_requests: deque[TimelineEvent] = deque(maxlen=capacity)
        self._others: deque[TimelineEvent] = deque(maxlen=capacity)

    def record(self, name: EventName, /, **fields: FieldValue) -> HybridTime:
        """Remember that ``name`` happened now; return its stamp."""
        short = {
            field: value[:MAX_FIELD_LENGTH] if isinstance(value, str) else value
            for field, value in fields.items()
        }
        ring = self._of_requests if name in _PER_REQUEST else self._others
        with self._lock:
            stamp = self._hybrid.tick(self._now_ms())
            ring.append(TimelineEvent(stamp, self._daemon, name, short))
        return stamp

    def stamp(self) -> HybridTime:
        """Return a stamp to put on a message to another daemon."""
        with self._lock:
            return self._hybrid.tick(self._now_ms())

    def latest(self) -> HybridTime:
        """Return the stamp of the last event noted here, or heard of."""
        with self._lock:
            return self._hybrid.latest

    def receive(self, remote: HybridTime) -> bool:
        """Take note of the stamp on a message; false if it is too far ahead to follow."""
        with self._lock:
            return self._hybrid.receive(remote, self._now_ms())

    def events(self) -> list[TimelineEvent]:
        """Return the events remembered, oldest first."""
        with self._lock:
            rings = [list(self._others), list(self._of_requests)]
        return merge(rings)

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)
