"""What a coordinator knows of one backend server's load."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.admission._messages import InheritedRequests, Submitted
from coltsfootstair.admission._policy import AdmissionPolicy
from coltsfootstair.admission._queue import FairQueue
from coltsfootstair.admission._ramp import Ramp
from coltsfootstair.admission._service_time import ServiceTime

__all__ = ['AdmissionState', 'Flight', 'new_state']

PROBE_CONNECTIONS = 1


class Flight(NamedTuple):
    """A request that may be running; until ``until`` at most, once it was given up."""

    request: Submitted
    stage: int
    sent_at: float
    until: float | None = None


class AdmissionState:
    """What one coordinator knows of one backend server's load.

    It is changed in place by ``handle`` and belongs to a single task. The coordinator
    may not act at first; ``RightsChanged`` must come before any request is accepted.
    """

    __slots__ = (
        'connections',
        'draining',
        'in_flight_by_id',
        'inherited',
        'may_act',
        'pause_until',
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
        self.may_act = False
        self.pause_until = now
        self.draining = False
        self.waiting = FairQueue()
        self.in_flight_by_id: dict[str, Flight] = {}
        self.inherited: list[InheritedRequests] = []
        self.ramp = Ramp(policy, now)
        self.service_time = ServiceTime(now)

    @property
    def limit(self) -> int:
        """Return how many requests may be at the server now, all coordinators counted.

        What an earlier coordinator left running fills slots, but not the window of a
        server that does not look cold: its window begins at one with each coordinator.
        """
        connections = max(self.connections - PROBE_CONNECTIONS, min(self.connections, 1))
        left_running = self.left_running if self.ramp.seems_warm else 0
        return min(self.ramp.window + left_running, self.slots, connections)

    @property
    def occupied(self) -> int:
        """Return how many requests may be running at the server."""
        return len(self.in_flight_by_id) + self.left_running

    @property
    def left_running(self) -> int:
        """Return how many requests of an earlier coordinator may still run there."""
        return sum(work.requests for work in self.inherited) if self.inherited else 0

    @property
    def idle(self) -> bool:
        """Return whether no request waits here or may still run at the server."""
        return not self.waiting and not self.occupied

    @property
    def drain_s(self) -> float:
        """Return the seconds after which all that waits now will have been started."""
        return self._seconds_for(len(self.waiting))

    def _seconds_for(self, requests: int) -> float:
        times = self.service_time
        long = min(self.waiting.long_count, requests)
        work_s = long * times.long_s + (requests - long) * times.recent_s
        return work_s / max(self.limit, 1)

    def service_s(self, request: Submitted) -> float:
        """Return the seconds that ``request`` is expected to take once it is sent."""
        return self.service_time.long_s if request.long else self.service_time.recent_s

    def finish_at(self, request: Submitted, now: float) -> float:
        """Return when ``request`` would be answered if it began to wait at ``now``."""
        wait_s = self._seconds_for(self.waiting.ahead_of(request.caller) + 1)
        return now + wait_s + self.service_s(request)


def new_state(
    slots: int, connections: int, now: float, policy: AdmissionPolicy | None = None
) -> AdmissionState:
    """Return the state of a backend server that nothing is known of at ``now``."""
    return AdmissionState(slots, connections, now, policy or AdmissionPolicy())
