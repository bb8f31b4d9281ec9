"""Tests that a caller or key with many requests does not delay the others for long."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.admission import (
    CoordinationChanged,
    Dispatch,
    Finished,
    Outcome,
    Refuse,
    Submitted,
    handle,
    new_state,
)
from coltsfootstair.admission._queue import FairQueue
from coltsfootstair.results import ResultCode

DEADLINE_S = 60.0


def serve_quiet_caller(request_count: int, by_key: bool) -> tuple[int, list[ResultCode]]:
    """Submit many requests and then one from a quiet caller to a server with one slot.

    :param by_key: whether the many have one key and different callers, not one caller
    :return: how many of them are served before the quiet caller's request, and the codes
        of their refusals
    """
    state, _ = handle(new_state(1, 50, 0.0), CoordinationChanged(True), 0.0)
    running, codes = '', []

    def submit(request_id: str, caller: str, key: str) -> None:
        nonlocal running
        event = Submitted(request_id, caller, key, DEADLINE_S, idempotent=True)
        for effect in handle(state, event, 0.0)[1]:
            if isinstance(effect, Dispatch):
                running = effect.request_id
            else:
                assert effect.request_id != 'quiet'
                codes.append(effect.refusal.code)

    for number in range(request_count):
        submit(str(number), str(number) if by_key else 'busy', 'hot')
    submit('quiet', 'quiet', 'cold')
    for served_count in range(request_count + 1):
        if running == 'quiet':
            return served_count, codes
        finished = Finished(running, Outcome.ANSWERED, 0.001)
        effects = handle(state, finished, 0.0)[1]
        running = next(e.request_id for e in effects if not isinstance(e, Refuse))
    raise AssertionError('the quiet caller was never served')


@given(st.integers(1, 200))
def check_busy_caller(request_count: int) -> None:
    served_count, codes = serve_quiet_caller(request_count, by_key=False)
    assert served_count <= 2
    assert Counter(codes).keys() <= {ResultCode.CALLER_OVER_SHARE, ResultCode.OVERLOADED}


@given(st.integers(1, 200))
def check_hot_key(request_count: int) -> None:
    served_count, _ = serve_quiet_caller(request_count, by_key=True)
    assert served_count <= 17


@pytest.mark.parametrize('check', [check_busy_caller, check_hot_key])
def test_a_quiet_caller_is_served(check: object) -> None:
    assert callable(check)
    check()


def _pop_oldest(queue: FairQueue) -> Submitted:
    return queue.remove(next(iter(queue._request_by_id)))


@pytest.mark.parametrize(
    ('name', 'variant', 'check'),
    [
        ('pop', _pop_oldest, check_busy_caller),
        ('choose_eviction', lambda queue, newcomer: None, check_hot_key),
    ],
)
def test_broken_variant_is_caught(
    name: str, variant: object, check: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(FairQueue, name, variant)
    assert callable(check)
    with pytest.raises((AssertionError, ExceptionGroup)):
        check()
