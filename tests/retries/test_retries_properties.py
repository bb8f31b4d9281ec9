"""Tests of properties of retries and the upload budget; broken variants must fail them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.retries import (
    AttemptFacts,
    RetryBudget,
    RetryDecision,
    UploadBudget,
    _decision,
    decide_retry,
    mask_unverified_outcome,
    may_hedge,
    retry_delay_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ATTEMPTS = st.builds(AttemptFacts, st.booleans(), st.booleans(), st.booleans(), st.booleans())
REFUSALS = st.builds(Refusal, st.sampled_from(ResultCode), st.sampled_from(Ran), st.just(''))


@settings(max_examples=1000)
@given(attempt=ATTEMPTS, refusal=REFUSALS)
def check_retries(attempt: AttemptFacts, refusal: Refusal) -> None:
    decision = decide_retry(attempt, refusal)
    could_run_twice = not attempt.is_idempotent and not attempt.is_deduplicated
    if decision is not RetryDecision.NO:
        assert attempt.is_body_replayable
        assert refusal.ran is Ran.NO or not could_run_twice
    if refusal.code in (ResultCode.OVERLOADED, ResultCode.SHED):
        assert decision is not RetryDecision.ROUTE_AGAIN


@settings(max_examples=1000)
@given(
    attempt=ATTEMPTS,
    divided=st.booleans(),
    waited_s=st.floats(0, 9),
    is_overloaded=st.booleans(),
)
def check_hedges(
    attempt: AttemptFacts, divided: bool, waited_s: float, is_overloaded: bool
) -> None:
    hedged = may_hedge(
        attempt,
        divided_by_key=divided,
        waited_s=waited_s,
        typical_answer_s=1.0,
        is_overloaded=is_overloaded,
    )
    alone = divided or not attempt.has_alternative_server
    assert not (
        hedged and (alone or is_overloaded or not attempt.is_idempotent or waited_s <= 1.0)
    )


@given(steps=st.lists(st.tuples(st.integers(0, 5), st.integers(0, 60))))
def check_upload_bound(steps: list[tuple[int, int]]) -> None:
    budget = UploadBudget(100)
    held: dict[str, int] = {}
    for number, size in steps:
        request_id = str(number)
        if size == 0:
            budget.release(request_id)
            held.pop(request_id, None)
            continue
        refusal = budget.reserve(request_id, size)
        if refusal is None:
            held.setdefault(request_id, size)
        else:
            assert sum(held.values()) + size > 100
            assert refusal.ran is Ran.NO
            assert refusal.retry_after_s
        assert sum(held.values()) <= 100


@given(wanted=st.lists(st.booleans(), max_size=300))
def check_retry_budget(wanted: list[bool]) -> None:
    budget = RetryBudget(0.1, 5.0)
    spent = 0
    for is_retry_wanted in wanted:
        budget.record_request()
        spent += is_retry_wanted and budget.try_spend()
    assert spent <= 5 + 0.1 * len(wanted)


CHECKS = [check_retries, check_hedges, check_upload_bound, check_retry_budget]


@pytest.mark.parametrize('check', CHECKS)
def test_property(check: Callable[[], None]) -> None:
    check()


BROKEN = [
    (check_retries, _decision.AttemptFacts, 'is_body_replayable', True),
    (check_retries, _decision.AttemptFacts, 'is_deduplicated', True),
    (check_hedges, _decision.AttemptFacts, 'is_idempotent', True),
    (check_hedges, _decision.AttemptFacts, 'has_alternative_server', True),
    (check_upload_bound, UploadBudget, 'used_bytes', property(lambda budget: 0)),
    (check_retry_budget, RetryBudget, 'try_spend', lambda budget: True),
]


@pytest.mark.parametrize(('check', 'owner', 'name', 'variant'), BROKEN)
def test_broken_variant_is_caught(
    check: Callable[[], None],
    owner: type,
    name: str,
    variant: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if owner is _decision.AttemptFacts:
        _fix_fact(monkeypatch, name, variant)
    else:
        monkeypatch.setattr(owner, name, variant)
    with pytest.raises((AssertionError, ExceptionGroup)):
        check()


def _fix_fact(monkeypatch: pytest.MonkeyPatch, field: str, value: object) -> None:
    """Make both decisions see ``value`` in ``field`` of each attempt."""
    real_decide_retry, real_may_hedge = decide_retry, may_hedge

    def decide(attempt: AttemptFacts, refusal: Refusal) -> RetryDecision:
        return real_decide_retry(attempt._replace(**{field: value}), refusal)  # type: ignore[arg-type]

    def hedge(attempt: AttemptFacts, **known: object) -> bool:
        return real_may_hedge(attempt._replace(**{field: value}), **known)  # type: ignore[arg-type]

    monkeypatch.setitem(globals(), 'decide_retry', decide)
    monkeypatch.setitem(globals(), 'may_hedge', hedge)


@given(attempts=st.integers(1, 50), jitter=st.floats(0, 1))
def test_the_retry_delay_stays_within_its_bounds(attempts: int, jitter: float) -> None:
    assert 0.01 <= retry_delay_s(attempts, jitter) <= 0.25


def test_not_run_is_not_claimed_for_an_operation_that_was_not_looked_up() -> None:
    refusal = Refusal(ResultCode.COORDINATOR_UNREACHABLE, Ran.NO, '', 1.0)
    assert mask_unverified_outcome(refusal, has_operation_id=False).ran is Ran.NO
    assert mask_unverified_outcome(refusal, has_operation_id=True).ran is Ran.UNKNOWN
