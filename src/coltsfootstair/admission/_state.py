"""Decides when a backend server is given which waiting request."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.admission._messages import (
    Abandoned,
    Cancelled,
    Dispatch,
    DrainChanged,
    Effect,
    Event,
    Finished,
    InheritedWork,
    LimitsChanged,
    Observed,
    Outcome,
    Refuse,
    RightsChanged,
    Submitted,
    Tick,
)
from coltsfootstair.admission._policy import AdmissionPolicy
from coltsfootstair.admission._queue import FairQueue
from coltsfootstair.admission._ramp import Ramp
from coltsfootstair.admission._service_time import ServiceTime
from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['AdmissionState', 'handle', 'new_state']

PROBE_CONNECTIONS = 1
RIGHTS_RETRY_S = 0.5
SHED_PAUSE_S = 0.02
RETRY_MIN_S = 0.02
RETRY_MAX_S = 30.0


class _Flight(NamedTuple):
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
        self.in_flight_by_id: dict[str, _Flight] = {}
        self.inherited: list[InheritedWork] = []
        self.ramp = Ramp(policy)
        self.service_time = ServiceTime(now)

    @property
    def limit(self) -> int:
        """Return how many requests may be at the server now, all coordinators counted."""
        connections = max(self.connections - PROBE_CONNECTIONS, min(self.connections, 1))
        return min(self.ramp.window, self.slots, connections)

    @property
    def occupied(self) -> int:
        """Return how many requests may be running at the server."""
        running = len(self.in_flight_by_id)
        if not self.inherited:
            return running
        return running + sum(work.requests for work in self.inherited)

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


def handle(
    state: AdmissionState, event: Event, now: float
) -> tuple[AdmissionState, list[Effect]]:
    """Take ``event`` in at ``now``; return the same state, changed, and what to do."""
    effects: list[Effect] = []
    if state.inherited:
        state.inherited = [work for work in state.inherited if work.until > now]
    match event:
        case Submitted():
            _submitted(state, event, now, effects)
            return state, effects
        case Finished():
            _finished(state, event, now, effects)
        case Cancelled(request_id):
            if request_id in state.waiting:
                state.waiting.remove(request_id)
        case Abandoned(request_id, until):
            _abandoned(state, request_id, until)
        case Observed():
            state.ramp.observed(event, now)
        case LimitsChanged(slots, connections):
            state.slots = slots
            state.connections = connections
        case InheritedWork():
            if event.until > now and event.requests > 0:
                state.inherited.append(event)
        case RightsChanged(may_act):
            state.may_act = may_act
            _refuse_all_if_closed(state, effects)
        case DrainChanged(draining):
            state.draining = draining
            _refuse_all_if_closed(state, effects)
        case Tick():
            _expire(state, now, effects)
    _dispatch(state, now, effects)
    return state, effects


def _submitted(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    if request.request_id in state.in_flight_by_id or request.request_id in state.waiting:
        return
    closed = _closed_refusal(state)
    if closed is not None:
        effects.append(Refuse(request.request_id, closed))
        return
    if now + state.service_s(request) > request.deadline:
        effects.append(_refuse(state, request, ResultCode.QUEUE_DEADLINE))
        return
    if not state.waiting and state.occupied < state.limit and now >= state.pause_until:
        _send(state, request, now, effects)
        return
    if state.finish_at(request, now) > request.deadline:
        effects.append(_refuse(state, request, ResultCode.QUEUE_DEADLINE))
        return
    if _make_room(state, request, effects):
        state.waiting.push(request)
        _dispatch(state, now, effects)


def _make_room(state: AdmissionState, request: Submitted, effects: list[Effect]) -> bool:
    waiting = state.waiting
    if len(waiting) < state.policy.waiting_per_slot * state.slots:
        return True
    if not waiting:
        effects.append(_refuse(state, request, ResultCode.OVERLOADED))
        return False
    leaver = waiting.over_share(request)
    if leaver is None:
        own_fault = waiting.leads(request)
        code = ResultCode.CALLER_OVER_SHARE if own_fault else ResultCode.OVERLOADED
        effects.append(_refuse(state, request, code))
        return False
    own_fault = waiting.leads(leaver)
    waiting.remove(leaver.request_id)
    code = ResultCode.CALLER_OVER_SHARE if own_fault else ResultCode.OVERLOADED
    effects.append(_refuse(state, leaver, code))
    return True


def _finished(
    state: AdmissionState, event: Finished, now: float, effects: list[Effect]
) -> None:
    flight = state.in_flight_by_id.get(event.request_id)
    if flight is None:
        return
    in_flight = len(state.in_flight_by_id)
    del state.in_flight_by_id[event.request_id]
    if flight.until is not None:
        return
    match event.outcome:
        case Outcome.ANSWERED:
            _answered(state, event, flight, now)
            state.ramp.answered(flight.stage, in_flight, state.slots, now)
        case Outcome.FAILED:
            state.ramp.failed(flight.stage)
        case Outcome.SHED:
            state.ramp.failed(flight.stage)
            _shed(state, flight.request, now, effects)
        case Outcome.NOT_SENT:
            pass


def _answered(state: AdmissionState, event: Finished, flight: _Flight, now: float) -> None:
    long = flight.request.long
    if not long:
        state.ramp.timed(event.seconds, state.service_time.usual_s)
    state.service_time.add(event.seconds, now, long=long)


def _shed(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    state.pause_until = now + SHED_PAUSE_S
    closed = _closed_refusal(state)
    again = request.idempotent and not request.shed_before
    if closed is not None:
        effects.append(Refuse(request.request_id, closed))
    elif again and state.finish_at(request, now) + SHED_PAUSE_S <= request.deadline:
        state.waiting.push(request._replace(shed_before=True))
    else:
        effects.append(_refuse(state, request, ResultCode.SHED))


def _abandoned(state: AdmissionState, request_id: str, until: float) -> None:
    flight = state.in_flight_by_id.get(request_id)
    if flight is None:
        return
    if flight.until is None:
        state.ramp.failed(flight.stage)
    state.in_flight_by_id[request_id] = flight._replace(until=until)


def _expire(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    ended = [
        i for i, f in state.in_flight_by_id.items() if f.until is not None and f.until <= now
    ]
    for request_id in ended:
        del state.in_flight_by_id[request_id]
    oldest = next(iter(state.in_flight_by_id.values()), None)
    if oldest is None or oldest.request.long or oldest.until is not None:
        state.service_time.tick(now, 0.0)
    else:
        state.service_time.tick(now, now - oldest.sent_at)
    late = [r for r in state.waiting if now + state.service_s(r) > r.deadline]
    for request in late:
        state.waiting.remove(request.request_id)
        effects.append(_refuse(state, request, ResultCode.QUEUE_DEADLINE))


def _dispatch(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    waiting = state.waiting
    if not waiting or not state.may_act or state.draining or now < state.pause_until:
        return
    room = state.limit - state.occupied
    while room > 0 and waiting:
        request = waiting.pop()
        if now + state.service_s(request) > request.deadline:
            effects.append(_refuse(state, request, ResultCode.QUEUE_DEADLINE))
            continue
        _send(state, request, now, effects)
        room -= 1


def _send(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    state.in_flight_by_id[request.request_id] = _Flight(request, state.ramp.stage, now)
    effects.append(Dispatch(request.request_id))


def _refuse_all_if_closed(state: AdmissionState, effects: list[Effect]) -> None:
    closed = _closed_refusal(state)
    if closed is None:
        return
    effects.extend(Refuse(r.request_id, closed) for r in state.waiting.clear())


def _closed_refusal(state: AdmissionState) -> Refusal | None:
    if not state.may_act:
        text = 'this daemon does not coordinate the backend server at present'
        return Refusal(ResultCode.NOT_COORDINATOR, Ran.NO, text, RIGHTS_RETRY_S)
    if state.draining:
        text = 'the backend server is being taken out'
        return Refusal(ResultCode.BACKEND_SERVER_OUT, Ran.NO, text, RIGHTS_RETRY_S)
    return None


def _refuse(state: AdmissionState, request: Submitted, code: ResultCode) -> Refuse:
    retry_s = min(max(state.drain_s, RETRY_MIN_S), RETRY_MAX_S)
    text = f'{len(state.waiting)} waiting and {state.occupied} at the backend server'
    return Refuse(request.request_id, Refusal(code, Ran.NO, text, retry_s))
