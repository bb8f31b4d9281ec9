"""Property tests of admission: its limits hold whatever the order of events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from coltsfootstair.admission import (
    Abandoned,
    AdmissionState,
    Cancelled,
    CoordinationChanged,
    Dispatch,
    DrainChanged,
    Event,
    Finished,
    InheritedRequests,
    LimitsChanged,
    Outcome,
    ProbeResult,
    Submitted,
    Tick,
    _decide,
    handle,
    new_state,
)
from coltsfootstair.admission._ramp import Ramp
from coltsfootstair.results import Ran

if TYPE_CHECKING:
    from collections.abc import Callable

IDS = st.integers(0, 11).map(str)
MAX_WAIT_S = 3.0


class AdmissionMachine(RuleBasedStateMachine):
    """Sends events in any order and models what may run at the backend server.

    The model is independent of admission, so that a request that admission forgets is seen
    when another one is dispatched beyond the limit.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.state = new_state(4, 50, self.now)
        self.running_until: dict[str, float] = {}
        self.inherited: list[InheritedRequests] = []
        self.waiting: set[str] = set()
        self.may_coordinate = self.draining = self.cold = False
        self.slots = 4
        self.instance = 'a'

    def inherited_count(self) -> int:
        return sum(batch.request_count for batch in self.inherited if batch.until > self.now)

    def send(self, event: Event) -> None:
        self.state, effects = handle(self.state, event, self.now)
        for effect in effects:
            assert effect.request_id in self.waiting
            self.waiting.remove(effect.request_id)
            if not isinstance(effect, Dispatch):
                assert effect.refusal.ran is Ran.NO
                assert (effect.refusal.retry_after_s or 0) > 0
                continue
            assert self.may_coordinate
            assert not self.draining
            running = [i for i, until in self.running_until.items() if until > self.now]
            assert len(running) + self.inherited_count() < (1 if self.cold else self.slots)
            self.running_until[effect.request_id] = float('inf')

    @initialize()
    def start(self) -> None:
        self.change_coordination(may_coordinate=True)
        self.send(ProbeResult(ok=True, instance='a'))

    @rule(request_id=IDS, caller=st.sampled_from('abc'), wait_s=st.floats(0, MAX_WAIT_S))
    def submit(self, request_id: str, caller: str, wait_s: float) -> None:
        if request_id not in self.running_until:
            self.waiting.add(request_id)
        deadline = self.now + wait_s
        self.send(Submitted(request_id, caller, 'k', deadline, idempotent=caller != 'c'))

    @rule(request_id=IDS, outcome=st.sampled_from(Outcome), repeat=st.booleans())
    def finish(self, request_id: str, outcome: Outcome, repeat: bool) -> None:
        until = self.running_until.pop(request_id, None)
        if until == float('inf') and outcome is Outcome.SHED:
            self.waiting.add(request_id)
        self.send(Finished(request_id, outcome, 0.01))
        if repeat and request_id not in self.running_until:
            self.send(Finished(request_id, outcome, 0.01))

    @rule(answers=st.sampled_from([1, 40, 80]), pause_s=st.sampled_from([0, MAX_WAIT_S]))
    def serve(self, answers: int, pause_s: float) -> None:
        self.pass_time(pause_s)
        self.change_coordination(may_coordinate=True)
        self.drain(draining=False)
        self.probe(self.instance, self.cold, ok=True)
        for number in range(answers):
            self.submit(str(number % 12), 'a', MAX_WAIT_S)
            self.submit(str((number + 6) % 12), 'a', MAX_WAIT_S)
            running = [i for i, until in self.running_until.items() if until == float('inf')]
            if self.waiting and running:
                self.finish(running[0], Outcome.ANSWERED, repeat=False)

    @rule(until_s=st.floats(0.5, MAX_WAIT_S))
    def abandon(self, until_s: float) -> None:
        for request_id in list(self.running_until):
            self.running_until[request_id] = self.now + until_s
            self.send(Abandoned(request_id, self.now + until_s))

    @rule(request_id=IDS)
    def cancel(self, request_id: str) -> None:
        self.waiting.discard(request_id)
        self.send(Cancelled(request_id))

    @rule(seconds=st.floats(0, 2))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        ended = [i for i, until in self.running_until.items() if until <= self.now]
        for request_id in ended:
            del self.running_until[request_id]
        self.send(Tick())

    @rule(instance=st.sampled_from('ab'), cold=st.booleans(), ok=st.booleans())
    def probe(self, instance: str, cold: bool, ok: bool) -> None:
        if ok and instance != self.instance:
            ended = [i for i, until in self.running_until.items() if until < float('inf')]
            for request_id in ended:
                del self.running_until[request_id]
        self.cold = cold if ok else self.cold
        self.instance = instance if ok else self.instance
        self.send(ProbeResult(ok, instance, cold))

    @rule(may_coordinate=st.booleans())
    def change_coordination(self, may_coordinate: bool) -> None:
        self.may_coordinate = may_coordinate
        self.send(CoordinationChanged(may_coordinate))
        assert may_coordinate or not self.waiting

    @rule(draining=st.booleans())
    def drain(self, draining: bool) -> None:
        self.draining = draining
        self.send(DrainChanged(draining))
        assert not draining or not self.waiting

    @rule(slots=st.integers(1, 5))
    def limits(self, slots: int) -> None:
        self.slots = slots
        self.send(LimitsChanged(slots, 50))

    @rule(requests=st.integers(1, 3), seconds=st.floats(0, 2))
    def inherit(self, requests: int, seconds: float) -> None:
        batch = InheritedRequests(requests, self.now + seconds)
        self.inherited.append(batch)
        self.send(batch)

    @invariant()
    def state_agrees_with_model(self) -> None:
        assert {r.request_id for r in self.state.waiting} == self.waiting
        assert set(self.state.in_flight_by_id) == set(self.running_until)


RUNS = settings(max_examples=150, stateful_step_count=30, phases=[Phase.generate])

# Hypothesis generates other examples depending on which modules are loaded, so the search
# for a fault may try far more examples than it usually needs.
SEARCH = settings(RUNS, max_examples=20_000)


def test_limits_hold_in_any_order() -> None:
    run_state_machine_as_test(AdmissionMachine, settings=RUNS)


def _count_without_inherited(state: AdmissionState) -> int:
    return len(state.in_flight_by_id)


def _count_without_abandoned(state: AdmissionState) -> int:
    inherited_count = sum(batch.request_count for batch in state.inherited)
    return inherited_count + sum(
        each.abandoned_until is None for each in state.in_flight_by_id.values()
    )


def _refuse_nothing(state: AdmissionState, effects: list[Any]) -> None:
    return None


def _grow_despite_cold(ramp: Ramp, now: float) -> bool:
    return True


BROKEN_VARIANTS: list[tuple[object, str, Callable[..., Any] | property]] = [
    (AdmissionState, 'occupied', property(_count_without_inherited)),
    (AdmissionState, 'occupied', property(_count_without_abandoned)),
    (_decide, '_refuse_all_if_closed', _refuse_nothing),
    (Ramp, '_may_grow', _grow_despite_cold),
    (Ramp, 'apply_probe', lambda ramp, probe, now: setattr(ramp, '_probe_answered', True)),
]


@pytest.mark.parametrize(('owner', 'name', 'variant'), BROKEN_VARIANTS)
def test_broken_variant_is_caught(
    owner: object, name: str, variant: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, variant)
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_state_machine_as_test(AdmissionMachine, settings=SEARCH)
