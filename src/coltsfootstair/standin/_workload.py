"""Counts what a backend server has in flight, and how it bears it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import RequestTruth

__all__ = ['WARM_AFTER_REQUESTS', 'Connections', 'Task', 'Workload']

WARM_AFTER_REQUESTS = 20
UNUSED_CONNECTION_S = 0.2


class Task:
    """One request in flight.

    :param truth: what is recorded of it
    """

    def __init__(self, truth: RequestTruth) -> None:
        self.truth = truth
        self.stopped = threading.Event()
        self.failure: int | None = None

    def stop(self, status: int) -> None:
        """Let the request end early with ``status``."""
        self.failure = status
        self.stopped.set()


class Workload:
    """The requests in flight, the slots they wait for, and the cold start.

    :param slots: requests worked on at once; more wait
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.max_in_flight = 0
        self.beyond_cold = 0
        self._changed = threading.Condition()
        self._tasks: set[Task] = set()
        self._running: set[Task] = set()
        self._warm_in = 0

    @property
    def cold(self) -> bool:
        """Whether it bears only one request."""
        return self._warm_in > 0

    @property
    def in_flight(self) -> int:
        """Requests received and not yet ended."""
        return len(self._tasks)

    def set_cold(self, cold: bool) -> None:
        """Begin a cold start, or end it."""
        self._warm_in = WARM_AFTER_REQUESTS if cold else 0

    def arrive(self, task: Task) -> None:
        """Count a request; beyond one while cold, all in flight fail."""
        with self._changed:
            self._tasks.add(task)
            self.max_in_flight = max(self.max_in_flight, len(self._tasks))
            if not self.cold or len(self._tasks) == 1:
                return
            self.beyond_cold += 1
            self._warm_in = WARM_AFTER_REQUESTS
            for failed in self._tasks:
                failed.stop(500)
            self._changed.notify_all()

    def take_slot(self, task: Task) -> None:
        """Wait for a slot, or until the request is stopped."""
        with self._changed:
            self._changed.wait_for(
                lambda: task.stopped.is_set() or len(self._running) < self.slots
            )
            if not task.stopped.is_set():
                self._running.add(task)

    def leave(self, task: Task) -> None:
        """Count the end of a request; one that was served warms the server."""
        with self._changed:
            self._tasks.discard(task)
            self._running.discard(task)
            if self.cold and task.failure is None:
                self._warm_in -= 1
            self._changed.notify_all()

    def cancel(self, request_id: str, status: int, wait_s: float) -> tuple[bool, bool]:
        """Stop a request; return whether it was found, and whether it still runs."""
        with self._changed:
            found = [t for t in self._tasks if t.truth['request_id'] == request_id]
            for task in found:
                task.stop(status)
            self._changed.notify_all()
            ended = self._changed.wait_for(lambda: self._tasks.isdisjoint(found), wait_s)
            return bool(found), not ended

    def stop_all(self, status: int) -> None:
        """Stop every request in flight."""
        with self._changed:
            for task in self._tasks:
                task.stop(status)
            self._changed.notify_all()


class Connections:
    """Counts connections; those that only ask for truth or faults stay out of it.

    :param limit: connections that are served
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.maximum = 0
        self._lock = threading.Lock()
        self._used: set[int] = set()
        self._unused_since: dict[int, float] = {}

    def opened(self, connection: int, now: float) -> None:
        """Note a connection whose use is not known yet."""
        with self._lock:
            self._unused_since[connection] = now

    def closed(self, connection: int) -> None:
        """Forget a connection."""
        with self._lock:
            self._used.discard(connection)
            self._unused_since.pop(connection, None)

    def exempt(self, connection: int) -> None:
        """Leave a connection out of the count."""
        with self._lock:
            self._unused_since.pop(connection, None)

    def use(self, connection: int, now: float) -> bool:
        """Count a connection; return whether it is within the limit."""
        with self._lock:
            if connection in self._used:
                return True
            self._unused_since.pop(connection, None)
            idle = sum(
                now - since > UNUSED_CONNECTION_S for since in self._unused_since.values()
            )
            total = len(self._used) + 1 + idle
            self.maximum = max(self.maximum, total)
            if total > self.limit:
                return False
            self._used.add(connection)
            return True
