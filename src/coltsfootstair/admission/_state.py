"""State of admission for one backend server."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.admission._messages import InheritedRequests, Submitted
from coltsfootstair.admission._policy import AdmissionPolicy
from coltsfootstair.admission._queue import FairQueue
from coltsfootstair.admission._ramp import Ramp
from coltsfootstair.admission._service_time import ServiceTime

__all__ = ['AdmissionState', 'InFlightRequest', 'new_state']

PROBE_CONNECTION_COUNT = 1
"""Connections of a backend server that are reserved for probes."""


class InFlightRequest(NamedTuple):
    """A request that was dispatched and may still run.

    :param generation: the generation of the ramp's window when it was sent
    :param sent_at: monotonic seconds
    :param abandoned_until: monotonic seconds until which it may still run; ``None`` if it
        is not abandoned
    """

    request: Submitted
    generation: int
    sent_at: float
    abandoned_until: float | None = None


class AdmissionState:
    """What one coordinator knows of one backend server's load.

    It is changed in place by ``handle`` and belongs to a single task. At first the
    daemon may not coordinate, so requests are refused until ``CoordinationChanged``.
    """

    __slots__ = (
        'connections',
        'draining',
        'in_flight_by_id',
        'inherited',
        'may_coordinate',
        'paused_until',
        'policy',
        'ramp',
        'service_time',
        'slots',
        'waiting',
    )

    def __init__(
        self, slots: int, connections: int, now: float, policy: AdmissionPolicy
    ) -> None:
        self.slots = slots
        self.connections = connections
        self.policy = policy
        self.may_coordinate = False
        self.paused_until = now
        self.draining = False
        self.waiting = FairQueue()
        self.in_flight_by_id: dict[str, InFlightRequest] = {}
        self.inherited: list[InheritedRequests] = []
        self.ramp = Ramp(policy, now)
        self.service_time = ServiceTime(now)

    @property
    def limit(self) -> int:
        """How many requests of all coordinators may run at the server at once.

        Requests inherited from an earlier coordinator occupy slots. They do not count
        against the window of a server that seems warm, because the window starts at one
        with each new coordinator.
        """
        connections = max(self.connections - PROBE_CONNECTION_COUNT, min(self.connections, 1))
        inherited_count = self.inherited_count if self.ramp.seems_warm else 0
        return min(self.ramp.window + inherited_count, self.slots, connections)

    @property
    def occupied(self) -> int:
        """How many requests may be running at the server."""
        return len(self.in_flight_by_id) + self.inherited_count

    @property
    def inherited_count(self) -> int:
        """How many requests of an earlier coordinator may still run at the server."""
        return sum(batch.request_count for batch in self.inherited) if self.inherited else 0

    @property
    def is_idle(self) -> bool:
        """Whether no request waits here or may still run at the server."""
        return not self.waiting and not self.occupied

    @property
    def queue_drain_s(self) -> float:
        """The seconds after which all requests that wait now should have been dispatched."""
        return self._expected_queue_s(len(self.waiting))

    def _expected_queue_s(self, request_count: int) -> float:
        times = self.service_time
        uploads = min(self.waiting.upload_count, request_count)
        work_s = uploads * times.upload_s + (request_count - uploads) * times.recent_s
        return work_s / max(self.limit, 1)

    def expected_service_s(self, request: Submitted) -> float:
        """Return the seconds that ``request`` is expected to take once it is sent."""
        return self.service_time.upload_s if request.is_upload else self.service_time.recent_s

    def expected_finish_at(self, request: Submitted, now: float) -> float:
        """Return when ``request`` should be answered if it is queued at ``now``."""
        wait_s = self._expected_queue_s(self.waiting.count_ahead_of(request.caller) + 1)
        return now + wait_s + self.expected_service_s(request)


def new_state(
    slots: int, connections: int, now: float, policy: AdmissionPolicy | None = None
) -> AdmissionState:
    """Return the state of a backend server about which nothing is known at ``now``."""
    return AdmissionState(slots, connections, now, policy or AdmissionPolicy())
