"""Decides when a backend server is given which waiting request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.admission._messages import (
    Abandoned,
    Cancelled,
    Dispatch,
    DrainChanged,
    Effect,
    Event,
    Finished,
    InheritedRequests,
    LimitsChanged,
    Outcome,
    ProbeResult,
    Refuse,
    RightsChanged,
    Submitted,
    Tick,
)
from coltsfootstair.admission._state import Flight
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.admission._state import AdmissionState

__all__ = ['handle']

RIGHTS_RETRY_S = 0.5
SHED_PAUSE_S = 0.02
RETRY_MIN_S = 0.02
RETRY_MAX_S = 30.0


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
            _abandoned(state, request_id, until, now)
        case ProbeResult():
            if state.ramp.observed(event, now):
                _forget_given_up(state)
        case LimitsChanged(slots, connections):
            state.slots = slots
            state.connections = connections
        case InheritedRequests():
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
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
        return
    if not state.waiting and state.occupied < state.limit and now >= state.pause_until:
        _send(state, request, now, effects)
        return
    if state.finish_at(request, now) > request.deadline:
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
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
            state.ramp.failed(flight.stage, now)
        case Outcome.SHED:
            state.ramp.failed(flight.stage, now)
            _shed(state, flight.request, now, effects)
        case Outcome.NOT_SENT:
            pass


def _answered(state: AdmissionState, event: Finished, flight: Flight, now: float) -> None:
    long = flight.request.long
    if not long:
        state.ramp.timed(event.seconds, state.service_time.usual_s, now)
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


def _abandoned(state: AdmissionState, request_id: str, until: float, now: float) -> None:
    flight = state.in_flight_by_id.get(request_id)
    if flight is None:
        return
    if flight.until is None:
        state.ramp.failed(flight.stage, now)
    state.in_flight_by_id[request_id] = flight._replace(until=until)


def _forget_given_up(state: AdmissionState) -> None:
    """Free the slots of requests that ended with the process that ran them."""
    ended = [i for i, f in state.in_flight_by_id.items() if f.until is not None]
    for request_id in ended:
        del state.in_flight_by_id[request_id]


def _expire(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    ended = [
        i for i, f in state.in_flight_by_id.items() if f.until is not None and f.until <= now
    ]
    for request_id in ended:
        del state.in_flight_by_id[request_id]
    flights = state.in_flight_by_id.values()
    if state.waiting and flights and all(f.request.long for f in flights):
        state.ramp.filled(state.slots, now)
    oldest = next(iter(state.in_flight_by_id.values()), None)
    if oldest is None or oldest.request.long or oldest.until is not None:
        state.service_time.tick(now, 0.0)
    else:
        state.service_time.tick(now, now - oldest.sent_at)
    late = [r for r in state.waiting if now + state.service_s(r) > r.deadline]
    for request in late:
        state.waiting.remove(request.request_id)
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))


def _dispatch(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    waiting = state.waiting
    if not waiting or not state.may_act or state.draining or now < state.pause_until:
        return
    room = state.limit - state.occupied
    while room > 0 and waiting:
        request = waiting.pop()
        if now + state.service_s(request) > request.deadline:
            effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
            continue
        _send(state, request, now, effects)
        room -= 1


def _send(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    state.in_flight_by_id[request.request_id] = Flight(request, state.ramp.stage, now)
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
        return Refusal(ResultCode.BACKEND_SERVER_DRAINING, Ran.NO, text, RIGHTS_RETRY_S)
    return None


def _refuse(state: AdmissionState, request: Submitted, code: ResultCode) -> Refuse:
    retry_s = min(max(state.drain_s, RETRY_MIN_S), RETRY_MAX_S)
    text = f'{len(state.waiting)} waiting and {state.occupied} at the backend server'
    return Refuse(request.request_id, Refusal(code, Ran.NO, text, retry_s))
