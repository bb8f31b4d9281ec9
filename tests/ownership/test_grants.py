"""What a coordinator may take for granted of the orders given to a backend server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.ownership._grants import (
    may_hold,
    new_book,
    next_order,
    note_clock,
)

ROW = 7
SECONDS = st.floats(0.0, 1.0, allow_nan=False)


def _unguarded(
    earlier_s: float, answer_s: float, order_s: float, later_s: float
) -> list[float]:
    """Return moments at which a predecessor's order may hold but a new book says it can't.

    :param earlier_s: how long before the take-over the predecessor asked for the clock
    :param answer_s: part of that time in which the server's answer came
    :param order_s: part of the rest after which the order was given
    :param later_s: part of the order's time, after the take-over, that is looked at
    """
    taken_over_at = 100.0
    asked_at = taken_over_at - earlier_s
    read_at = asked_at + answer_s * earlier_s
    ordered_at = read_at + order_s * (taken_over_at - read_at)
    old = note_clock(new_book(0.0), 'i1', 5000.0, asked_at, read_at)
    step = next_order(old, {ROW: 1}, ordered_at)
    if step is None:
        return []
    _, order = step
    book = new_book(taken_over_at)
    moment = taken_over_at + later_s * max(0.0, order.latest_expiry - taken_over_at)
    if moment >= order.latest_expiry or may_hold(book, ROW, moment):
        return []
    return [moment]


@given(SECONDS, SECONDS, SECONDS, SECONDS)
def test_a_new_coordinator_waits_for_the_orders_of_its_predecessor(
    earlier_s: float, answer_s: float, order_s: float, later_s: float
) -> None:
    """A book that forgot them moved rows at once; the model of moves did not see it."""
    assert _unguarded(earlier_s, answer_s, order_s, later_s) == []


def test_what_was_inherited_lapses() -> None:
    book = new_book(100.0)
    assert may_hold(book, ROW, 100.0)
    assert not may_hold(book, ROW, book.inherited_until)
