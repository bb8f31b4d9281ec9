"""Tests of the grants that a stand-in of a backend server records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.standin._grants import GrantedRange, ReceivedGrants

GRANT_DURATION_S = 1.0
ROW_COUNT = 4

granted_ranges = st.builds(
    lambda first, extra_rows, token: GrantedRange(
        first, min(first + extra_rows, ROW_COUNT - 1), token
    ),
    st.integers(0, ROW_COUNT - 1),
    st.integers(0, ROW_COUNT - 1),
    st.integers(0, 3),
)
grant_calls = st.lists(
    st.tuples(st.floats(0.01, 3.0), st.lists(granted_ranges, max_size=2)), max_size=9
)


@given(grant_calls)
def test_history_contains_every_grant_that_was_in_force(
    calls: list[tuple[float, list[GrantedRange]]],
) -> None:
    grants, now = ReceivedGrants(), 100.0
    allowed: list[tuple[float, int, int]] = []
    for after_s, ranges in calls:
        now += after_s
        grants.apply(ranges, now + GRANT_DURATION_S, now)
        # Shortly after the call, and before the end of the history.
        probed_at = now + GRANT_DURATION_S / 200
        allowed += [(probed_at, row, token) for row in range(ROW_COUNT) for token in range(4)
                    if grants.is_granted(row, token, probed_at)]  # fmt: skip
    truth = grants.get_truth(now + GRANT_DURATION_S / 100)
    for at, row, token in allowed:
        assert any(
            each['first'] <= row <= each['last']
            and each['token'] == token
            and each['from'] <= at <= each['to']
            for each in truth
        )
    assert all(each['to'] - each['from'] >= 0 for each in truth)


def test_a_grant_ends_when_it_expires_or_is_replaced() -> None:
    grants = ReceivedGrants()
    grants.apply([GrantedRange(0, 9, 5)], 101.0, 100.0)
    grants.apply([GrantedRange(0, 9, 5)], 102.0, 100.5)
    assert not grants.is_granted(3, 5, 102.0)
    grants.apply([GrantedRange(0, 4, 6)], 104.0, 103.0)
    grants.apply([], 105.0, 103.5)
    assert [(g['from'], g['to'], g['in_force']) for g in grants.get_truth(104.0)] == [
        (100.0, 102.0, False),
        (103.0, 103.5, False),
    ]


def test_a_call_that_has_expired_grants_nothing() -> None:
    grants = ReceivedGrants()
    grants.apply([GrantedRange(0, 9, 5)], 99.0, 100.0)
    assert grants.get_truth(100.0) == []


def test_a_smaller_token_is_stale_only_where_it_overlaps() -> None:
    grants = ReceivedGrants()
    grants.apply([GrantedRange(0, 9, 5)], 101.0, 100.0)
    grants.apply([GrantedRange(4, 5, 7)], 102.0, 101.5)
    assert grants.is_stale([GrantedRange(5, 6, 6)])
    assert not grants.is_stale([GrantedRange(6, 9, 5)])
    assert not grants.is_stale([GrantedRange(10, 12, 1)])
