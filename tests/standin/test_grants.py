"""Tests of the grants that a backend server stand-in records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.standin._grants import GrantBook, Range

TERM_S = 1.0
SLOTS = 4

one_range = st.builds(
    lambda first, more, token: Range(first, min(first + more, SLOTS - 1), token),
    st.integers(0, SLOTS - 1),
    st.integers(0, SLOTS - 1),
    st.integers(0, 3),
)
orders = st.lists(st.tuples(st.floats(0.01, 3.0), st.lists(one_range, max_size=2)), max_size=9)


@given(orders)
def test_history_says_what_was_allowed(given_orders: list[tuple[float, list[Range]]]) -> None:
    book, now = GrantBook(), 100.0
    allowed: list[tuple[float, int, int]] = []
    for after_s, ranges in given_orders:
        now += after_s
        book.apply(ranges, now + TERM_S, now)
        probe = now + TERM_S / 200
        allowed += [(probe, s, t) for s in range(SLOTS) for t in range(4)
                    if book.allows(s, t, probe)]  # fmt: skip
    truth = book.truth(now + TERM_S / 100)
    for at, slot, token in allowed:
        assert any(
            each['first'] <= slot <= each['last']
            and each['token'] == token
            and each['from'] <= at <= each['to']
            for each in truth
        )
    assert all(each['to'] - each['from'] >= 0 for each in truth)


def test_a_grant_ends_when_it_lapses_or_is_replaced() -> None:
    book = GrantBook()
    book.apply([Range(0, 9, 5)], 101.0, 100.0)
    book.apply([Range(0, 9, 5)], 102.0, 100.5)
    assert not book.allows(3, 5, 102.0)
    book.apply([Range(0, 4, 6)], 104.0, 103.0)
    book.apply([], 105.0, 103.5)
    assert [(g['from'], g['to'], g['in_force']) for g in book.truth(104.0)] == [
        (100.0, 102.0, False),
        (103.0, 103.5, False),
    ]


def test_an_order_whose_time_has_passed_grants_nothing() -> None:
    book = GrantBook()
    book.apply([Range(0, 9, 5)], 99.0, 100.0)
    assert book.truth(100.0) == []


def test_a_smaller_token_is_stale_only_where_it_overlaps() -> None:
    book = GrantBook()
    book.apply([Range(0, 9, 5)], 101.0, 100.0)
    book.apply([Range(4, 5, 7)], 102.0, 101.5)
    assert book.stale([Range(5, 6, 6)])
    assert not book.stale([Range(6, 9, 5)])
    assert not book.stale([Range(10, 12, 1)])
