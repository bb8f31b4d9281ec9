"""A loud caller or a hot key keeps no other waiting."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.admission import (
    Dispatch,
    Finished,
    Outcome,
    Refuse,
    RightsChanged,
    Submitted,
    handle,
    new_state,
)
from coltsfootstair.admission._queue import FairQueue
from coltsfootstair.results import ResultCode

LONG_S = 60.0


def serve_beside_flood(loud: int, by_key: bool) -> tuple[int, list[ResultCode]]:
    """Return how many others are served before a quiet one, and the flood's refusals."""
    state, _ = handle(new_state(1, 50, 0.0), RightsChanged(True), 0.0)
    running, codes = '', []

    def submit(request_id: str, caller: str, key: str) -> None:
        nonlocal running
        event = Submitted(request_id, caller, key, LONG_S, idempotent=True)
        for effect in handle(state, event, 0.0)[1]:
            if isinstance(effect, Dispatch):
                running = effect.request_id
            else:
                assert effect.request_id != 'quiet'
                codes.append(effect.refusal.code)

    for number in range(loud):
        submit(str(number), str(number) if by_key else 'loud', 'hot')
    submit('quiet', 'quiet', 'cold')
    for turn in range(loud + 1):
        if running == 'quiet':
            return turn, codes
        finished = Finished(running, Outcome.ANSWERED, 0.001)
        effects = handle(state, finished, 0.0)[1]
        running = next(e.request_id for e in effects if not isinstance(e, Refuse))
    raise AssertionError('the quiet caller was never served')


@given(st.integers(1, 200))
def check_loud_caller(loud: int) -> None:
    turns, codes = serve_beside_flood(loud, by_key=False)
    assert turns <= 2
    assert Counter(codes).keys() <= {ResultCode.CALLER_OVER_SHARE, ResultCode.OVERLOADED}


@given(st.integers(1, 200))
def check_hot_key(loud: int) -> None:
    turns, _ = serve_beside_flood(loud, by_key=True)
    assert turns <= 17


@pytest.mark.parametrize('check', [check_loud_caller, check_hot_key])
def test_a_quiet_caller_is_served(check: object) -> None:
    assert callable(check)
    check()


def _first_come(queue: FairQueue) -> Submitted:
    return queue.remove(next(iter(queue._by_id)))


@pytest.mark.parametrize(
    ('name', 'variant', 'check'),
    [
        ('pop', _first_come, check_loud_caller),
        ('over_share', lambda queue, newcomer: None, check_hot_key),
    ],
)
def test_broken_variant_is_caught(
    name: str, variant: object, check: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(FairQueue, name, variant)
    assert callable(check)
    with pytest.raises((AssertionError, ExceptionGroup)):
        check()
