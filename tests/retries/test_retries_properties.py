"""Properties of retries and of the upload budget, and variants that break them."""

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
def check_repeats(attempt: AttemptFacts, refusal: Refusal) -> None:
    repeat = decide_retry(attempt, refusal)
    might_run_twice = not attempt.is_idempotent and not attempt.is_deduplicated
    if repeat is not RetryDecision.NO:
        assert attempt.is_body_replayable
        assert refusal.ran is Ran.NO or not might_run_twice
    if refusal.code in (ResultCode.OVERLOADED, ResultCode.SHED):
        assert repeat is not RetryDecision.ROUTE_AGAIN


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


@given(outcomes=st.lists(st.booleans(), max_size=300))
def check_budget(outcomes: list[bool]) -> None:
    budget = RetryBudget(0.1, 5.0)
    spent = 0
    for wanted in outcomes:
        budget.record_request()
        spent += wanted and budget.try_spend()
    assert spent <= 5 + 0.1 * len(outcomes)


CHECKS = [check_repeats, check_hedges, check_upload_bound, check_budget]


@pytest.mark.parametrize('check', CHECKS)
def test_property(check: Callable[[], None]) -> None:
    check()


BROKEN = [
    (check_repeats, _decision.AttemptFacts, 'is_body_replayable', True),
    (check_repeats, _decision.AttemptFacts, 'is_deduplicated', True),
    (check_hedges, _decision.AttemptFacts, 'is_idempotent', True),
    (check_hedges, _decision.AttemptFacts, 'has_alternative_server', True),
    (check_upload_bound, UploadBudget, 'used_bytes', property(lambda budget: 0)),
    (check_budget, RetryBudget, 'try_spend', lambda budget: True),
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
        _pretend(monkeypatch, name, variant)
    else:
        monkeypatch.setattr(owner, name, variant)
    with pytest.raises((AssertionError, ExceptionGroup)):
        check()


def _pretend(monkeypatch: pytest.MonkeyPatch, field: str, value: object) -> None:
    """Let the decisions take ``field`` of each attempt for ``value``."""
    true_repeat, true_hedge = decide_retry, may_hedge

    def repeat(attempt: AttemptFacts, refusal: Refusal) -> RetryDecision:
        return true_repeat(attempt._replace(**{field: value}), refusal)  # type: ignore[arg-type]

    def hedge(attempt: AttemptFacts, **known: object) -> bool:
        return true_hedge(attempt._replace(**{field: value}), **known)  # type: ignore[arg-type]

    monkeypatch.setitem(globals(), 'decide_retry', repeat)
    monkeypatch.setitem(globals(), 'may_hedge', hedge)


@given(attempts=st.integers(1, 50), jitter=st.floats(0, 1))
def test_pause_grows_to_a_bound(attempts: int, jitter: float) -> None:
    assert 0.01 <= retry_delay_s(attempts, jitter) <= 0.25


def test_not_run_is_not_said_of_an_operation_unasked() -> None:
    refusal = Refusal(ResultCode.COORDINATOR_UNREACHABLE, Ran.NO, '', 1.0)
    assert mask_unverified_outcome(refusal, has_operation_id=False).ran is Ran.NO
    assert mask_unverified_outcome(refusal, has_operation_id=True).ran is Ran.UNKNOWN
