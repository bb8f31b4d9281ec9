"""Decides which requests are dispatched to a backend server, queued or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.admission._messages import (
    Abandoned,
    Cancelled,
    CoordinationChanged,
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
    Submitted,
    Tick,
)
from coltsfootstair.admission._state import InFlightRequest
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from coltsfootstair.admission._state import AdmissionState

__all__ = ['handle']

CLOSED_RETRY_AFTER_S = 0.5
"""Retry time for callers while the server drains or has another coordinator, in seconds."""

SHED_PAUSE_S = 0.02
"""How long nothing is dispatched after the backend server has shed a request, in seconds."""

RETRY_AFTER_MIN_S = 0.02
"""Shortest retry time for callers that are refused because of load, in seconds."""

RETRY_AFTER_MAX_S = 30.0
"""Longest retry time for callers that are refused because of load, in seconds."""


def handle(
    state: AdmissionState, event: Event, now: float
) -> tuple[AdmissionState, list[Effect]]:
    """Apply ``event`` to ``state`` and return the state and the effects to execute.

    :param state: changed in place, and returned
    :param now: monotonic seconds
    """
    effects: list[Effect] = []
    if state.inherited:
        state.inherited = [batch for batch in state.inherited if batch.until > now]
    match event:
        case Submitted():
            _handle_submitted(state, event, now, effects)
            return state, effects
        case Finished():
            _handle_finished(state, event, now, effects)
        case Cancelled(request_id):
            if request_id in state.waiting:
                state.waiting.remove(request_id)
        case Abandoned(request_id, until):
            _handle_abandoned(state, request_id, until, now)
        case ProbeResult():
            if state.ramp.apply_probe(event, now):
                _free_abandoned(state)
        case LimitsChanged(slots, connections):
            state.slots = slots
            state.connections = connections
        case InheritedRequests():
            if event.until > now and event.request_count > 0:
                state.inherited.append(event)
        case CoordinationChanged(may_coordinate):
            state.may_coordinate = may_coordinate
            _refuse_all_if_closed(state, effects)
        case DrainChanged(draining):
            state.draining = draining
            _refuse_all_if_closed(state, effects)
        case Tick():
            _handle_tick(state, now, effects)
    _dispatch_waiting(state, now, effects)
    return state, effects


def _handle_submitted(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    if request.request_id in state.in_flight_by_id or request.request_id in state.waiting:
        return
    closed = _refusal_if_closed(state)
    if closed is not None:
        effects.append(Refuse(request.request_id, closed))
        return
    if now + state.expected_service_s(request) > request.deadline:
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
        return
    if not state.waiting and state.occupied < state.limit and now >= state.paused_until:
        _dispatch_request(state, request, now, effects)
        return
    if state.expected_finish_at(request, now) > request.deadline:
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
        return
    if _make_room(state, request, effects):
        state.waiting.push(request)
        _dispatch_waiting(state, now, effects)


def _make_room(state: AdmissionState, request: Submitted, effects: list[Effect]) -> bool:
    """Return whether ``request`` may wait; refuse it, or another one for it, if needed."""
    waiting = state.waiting
    if len(waiting) < state.policy.max_waiting_per_slot * state.slots:
        return True
    if not waiting:
        effects.append(_refuse(state, request, ResultCode.OVERLOADED))
        return False
    evicted = waiting.choose_eviction(request)
    if evicted is None:
        is_over_share = waiting.is_from_largest_caller(request)
        code = ResultCode.CALLER_OVER_SHARE if is_over_share else ResultCode.OVERLOADED
        effects.append(_refuse(state, request, code))
        return False
    is_over_share = waiting.is_from_largest_caller(evicted)
    waiting.remove(evicted.request_id)
    code = ResultCode.CALLER_OVER_SHARE if is_over_share else ResultCode.OVERLOADED
    effects.append(_refuse(state, evicted, code))
    return True


def _handle_finished(
    state: AdmissionState, event: Finished, now: float, effects: list[Effect]
) -> None:
    in_flight = state.in_flight_by_id.get(event.request_id)
    if in_flight is None:
        return
    in_flight_count = len(state.in_flight_by_id)
    del state.in_flight_by_id[event.request_id]
    if in_flight.abandoned_until is not None:
        return
    match event.outcome:
        case Outcome.ANSWERED:
            _record_service_time(state, event, in_flight, now)
            state.ramp.count_answer(in_flight.generation, in_flight_count, state.slots, now)
        case Outcome.FAILED:
            state.ramp.count_failure(in_flight.generation, now)
        case Outcome.SHED:
            state.ramp.count_failure(in_flight.generation, now)
            _handle_shed(state, in_flight.request, now, effects)
        case Outcome.NOT_SENT:
            pass


def _record_service_time(
    state: AdmissionState, event: Finished, in_flight: InFlightRequest, now: float
) -> None:
    is_upload = in_flight.request.is_upload
    if not is_upload:
        state.ramp.check_latency(event.duration_s, state.service_time.usual_s, now)
    state.service_time.add(event.duration_s, now, is_upload=is_upload)


def _handle_shed(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    state.paused_until = now + SHED_PAUSE_S
    closed = _refusal_if_closed(state)
    may_retry = request.idempotent and not request.was_shed
    if closed is not None:
        effects.append(Refuse(request.request_id, closed))
    elif (
        may_retry and state.expected_finish_at(request, now) + SHED_PAUSE_S <= request.deadline
    ):
        state.waiting.push(request._replace(was_shed=True))
    else:
        effects.append(_refuse(state, request, ResultCode.SHED))


def _handle_abandoned(
    state: AdmissionState, request_id: str, until: float, now: float
) -> None:
    in_flight = state.in_flight_by_id.get(request_id)
    if in_flight is None:
        return
    if in_flight.abandoned_until is None:
        state.ramp.count_failure(in_flight.generation, now)
    state.in_flight_by_id[request_id] = in_flight._replace(abandoned_until=until)


def _free_abandoned(state: AdmissionState) -> None:
    """Free the slots of abandoned requests, which ended when their server restarted."""
    ended = [
        request_id
        for request_id, in_flight in state.in_flight_by_id.items()
        if in_flight.abandoned_until is not None
    ]
    for request_id in ended:
        del state.in_flight_by_id[request_id]


def _handle_tick(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    ended = [
        request_id
        for request_id, in_flight in state.in_flight_by_id.items()
        if in_flight.abandoned_until is not None and in_flight.abandoned_until <= now
    ]
    for request_id in ended:
        del state.in_flight_by_id[request_id]
    running = state.in_flight_by_id.values()
    if state.waiting and running and all(each.request.is_upload for each in running):
        state.ramp.grow_on_uploads(state.slots, now)
    oldest = next(iter(state.in_flight_by_id.values()), None)
    if oldest is None or oldest.request.is_upload or oldest.abandoned_until is not None:
        state.service_time.tick(now, 0.0)
    else:
        state.service_time.tick(now, now - oldest.sent_at)
    overdue = [r for r in state.waiting if now + state.expected_service_s(r) > r.deadline]
    for request in overdue:
        state.waiting.remove(request.request_id)
        effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))


def _dispatch_waiting(state: AdmissionState, now: float, effects: list[Effect]) -> None:
    waiting = state.waiting
    if not waiting or not state.may_coordinate or state.draining or now < state.paused_until:
        return
    free_slots = state.limit - state.occupied
    while free_slots > 0 and waiting:
        request = waiting.pop()
        if now + state.expected_service_s(request) > request.deadline:
            effects.append(_refuse(state, request, ResultCode.DEADLINE_UNREACHABLE))
            continue
        _dispatch_request(state, request, now, effects)
        free_slots -= 1


def _dispatch_request(
    state: AdmissionState, request: Submitted, now: float, effects: list[Effect]
) -> None:
    state.in_flight_by_id[request.request_id] = InFlightRequest(
        request, state.ramp.generation, now
    )
    effects.append(Dispatch(request.request_id))


def _refuse_all_if_closed(state: AdmissionState, effects: list[Effect]) -> None:
    closed = _refusal_if_closed(state)
    if closed is None:
        return
    effects.extend(Refuse(r.request_id, closed) for r in state.waiting.clear())


def _refusal_if_closed(state: AdmissionState) -> Refusal | None:
    """Return the refusal for all requests if nothing may be dispatched at all."""
    if not state.may_coordinate:
        text = 'this daemon does not coordinate the backend server at present'
        return Refusal(ResultCode.NOT_COORDINATOR, Ran.NO, text, CLOSED_RETRY_AFTER_S)
    if state.draining:
        text = 'the backend server is being taken out'
        return Refusal(ResultCode.BACKEND_SERVER_DRAINING, Ran.NO, text, CLOSED_RETRY_AFTER_S)
    return None


def _refuse(state: AdmissionState, request: Submitted, code: ResultCode) -> Refuse:
    """Refuse ``request`` because of load; it may be retried once the queue has drained."""
    retry_after_s = min(max(state.queue_drain_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    text = f'{len(state.waiting)} waiting and {state.occupied} at the backend server'
    return Refuse(request.request_id, Refusal(code, Ran.NO, text, retry_after_s))
