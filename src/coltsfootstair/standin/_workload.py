"""Requests in flight, slots, cold start and connections of a backend server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import RequestTruth

__all__ = ['WARM_AFTER_REQUESTS', 'Connections', 'Task', 'Workload']

WARM_AFTER_REQUESTS = 20
"""Number of served requests after which a cold start ends."""

UNUSED_CONNECTION_COUNTS_AFTER_S = 0.2
"""Seconds after which a connection counts even if no request has arrived on it."""


class Task:
    """One request in flight.

    :param truth: the record of the request
    """

    def __init__(self, truth: RequestTruth) -> None:
        self.truth = truth
        self.stopped = threading.Event()
        self.failure_status: int | None = None

    def stop(self, status: int) -> None:
        """Make the request end early with ``status``."""
        self.failure_status = status
        self.stopped.set()


class Workload:
    """The requests in flight, the slots that they wait for, and the cold start.

    :param slots: number of requests that run at once; further ones wait
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.max_in_flight = 0
        self.beyond_cold = 0
        self._changed = threading.Condition()
        self._tasks: set[Task] = set()
        self._running: set[Task] = set()
        self._requests_until_warm = 0

    @property
    def is_cold(self) -> bool:
        """Whether the server has capacity for only one request at a time."""
        return self._requests_until_warm > 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have arrived and not yet ended."""
        return len(self._tasks)

    def set_cold(self, is_cold: bool) -> None:
        """Start a cold start, or end it."""
        self._requests_until_warm = WARM_AFTER_REQUESTS if is_cold else 0

    def add(self, task: Task) -> None:
        """Add a request; while the server is cold, a second one makes all in flight fail."""
        with self._changed:
            self._tasks.add(task)
            self.max_in_flight = max(self.max_in_flight, len(self._tasks))
            if not self.is_cold or len(self._tasks) == 1:
                return
            self.beyond_cold += 1
            self._requests_until_warm = WARM_AFTER_REQUESTS
            for each in self._tasks:
                each.stop(500)
            self._changed.notify_all()

    def acquire_slot(self, task: Task) -> None:
        """Wait for a slot, or until the request is stopped."""
        with self._changed:
            self._changed.wait_for(
                lambda: task.stopped.is_set() or len(self._running) < self.slots
            )
            if not task.stopped.is_set():
                self._running.add(task)

    def remove(self, task: Task) -> None:
        """Remove a request that has ended; if it was served, it shortens the cold start."""
        with self._changed:
            self._tasks.discard(task)
            self._running.discard(task)
            if self.is_cold and task.failure_status is None:
                self._requests_until_warm -= 1
            self._changed.notify_all()

    def cancel(self, request_id: str, status: int, wait_s: float) -> tuple[bool, bool]:
        """Stop a request.

        :param status: status with which the request ends
        :param wait_s: longest time to wait for its end, in seconds
        :returns: whether it was found, and whether it is still running
        """
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
    """Counts connections, except those that only read the truth or set faults.

    :param limit: maximum number of connections that are served
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.max_count = 0
        self._lock = threading.Lock()
        self._counted: set[int] = set()
        self._unused_since_by_connection: dict[int, float] = {}

    def on_opened(self, connection_number: int, now: float) -> None:
        """Register a connection on which no request has arrived yet."""
        with self._lock:
            self._unused_since_by_connection[connection_number] = now

    def on_closed(self, connection_number: int) -> None:
        """Remove a connection."""
        with self._lock:
            self._counted.discard(connection_number)
            self._unused_since_by_connection.pop(connection_number, None)

    def exempt(self, connection_number: int) -> None:
        """Exclude a connection that is not counted yet."""
        with self._lock:
            self._unused_since_by_connection.pop(connection_number, None)

    def try_use(self, connection_number: int, now: float) -> bool:
        """Count a connection on which a request arrived; return whether it may be served."""
        with self._lock:
            if connection_number in self._counted:
                return True
            self._unused_since_by_connection.pop(connection_number, None)
            unused_count = sum(
                now - unused_since > UNUSED_CONNECTION_COUNTS_AFTER_S
                for unused_since in self._unused_since_by_connection.values()
            )
            total = len(self._counted) + 1 + unused_count
            self.max_count = max(self.max_count, total)
            if total > self.limit:
                return False
            self._counted.add(connection_number)
            return True
