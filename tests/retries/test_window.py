"""Tests that retries stay within their bound over any window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.retries import WindowRetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 6.0

EVENTS = st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=200)


@given(EVENTS)
def test_no_window_has_more_retries_than_allowed(events: list[tuple[float, bool]]) -> None:
    budget = WindowRetryBudget(RATIO, WINDOW_S)
    now = 50.0
    requests: list[float] = []
    retries: list[float] = []
    for after_s, is_request in events:
        now += after_s
        if is_request:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now, SLACK):
            retries.append(now)
    for end in retries:
        within = sum(end - WINDOW_S < at <= end for at in retries)
        # By the platform's rule the requests of the preceding window count as well.
        counted_requests = sum(end - 2 * WINDOW_S < at <= end for at in requests)
        assert within <= RATIO * counted_requests + SLACK


def test_the_slack_is_available_again_after_a_window() -> None:
    budget = WindowRetryBudget(RATIO, WINDOW_S)
    assert sum(budget.try_spend(10.0, SLACK) for _ in range(20)) == 6
    assert sum(budget.try_spend(15.0, SLACK) for _ in range(20)) == 0
    assert sum(budget.try_spend(22.0, SLACK) for _ in range(20)) == 6
