"""Tests of how long an ended connection is kept."""

from __future__ import annotations

import pytest

from coltsfootstair.sockets._delivery import LINGER_S, MAX_LINGER_S, Delivery

IDLE_S = 15.0


def test_bytes_count_from_when_they_are_delivered_not_from_when_they_are_sent() -> None:
    """The time for which an ended connection was read began with the hand-over (review 11)."""
    delivery = Delivery(0, 0.0, 0.0).send(500_000, 1.0)
    for second in range(2, 60):
        delivery = delivery.measure(500_000 - 8000 * second, float(second))
        assert not delivery.may_close(1.0, IDLE_S, second + 0.9)
        assert delivery.is_awaited(second + 0.9)


def test_an_ended_connection_is_read_for_a_while_after_the_last_byte() -> None:
    delivery = Delivery(0, 0.0, 0.0).send(100, 1.0).measure(0, 5.0)
    assert not delivery.may_close(1.0, IDLE_S, 4.9 + LINGER_S)
    assert delivery.may_close(1.0, IDLE_S, 5.0 + LINGER_S)
    assert not delivery.is_awaited(5.0 + LINGER_S)


def test_an_idle_connection_is_read_for_a_while_after_its_end_and_not_awaited() -> None:
    delivery = Delivery(0, 0.0, 0.0)
    assert not delivery.may_close(60.0, IDLE_S, 59.9 + LINGER_S)
    assert delivery.may_close(60.0, IDLE_S, 60.0 + LINGER_S)
    assert not delivery.is_awaited(60.0)


@pytest.mark.parametrize('undelivered_bytes', [0, 50])
def test_a_caller_that_sends_on_is_read_for_a_limited_time(undelivered_bytes: int) -> None:
    delivery = Delivery(0, 0.0, 0.0).send(100, 1.0).measure(undelivered_bytes, 2.0)
    for tenth in range(20, int(10 * MAX_LINGER_S) + 19):
        delivery = delivery.receive(tenth / 10)
        assert not delivery.may_close(1.0, IDLE_S, tenth / 10)
    assert delivery.may_close(1.0, IDLE_S, 2.0 + MAX_LINGER_S)


@pytest.mark.parametrize(('idle_s', 'expected_s'), [(IDLE_S, IDLE_S), (0.0, LINGER_S)])
def test_a_caller_that_does_not_read_is_waited_for_as_long_as_an_idle_one(
    idle_s: float, expected_s: float
) -> None:
    delivery = Delivery(0, 0.0, 0.0).send(100, 1.0).measure(60, 2.0)
    for now, is_over in ((1.9 + expected_s, False), (2.0 + expected_s, True)):
        assert delivery.may_close(1.0, idle_s, now) is is_over
        assert delivery.is_stalled(idle_s, now) is is_over


def test_more_sent_bytes_do_not_count_as_progress_of_a_caller_that_does_not_read() -> None:
    delivery = Delivery(0, 0.0, 0.0).send(100, 1.0)
    for second in range(2, 20):
        delivery = delivery.send(100, float(second)).measure(100 * second, float(second))
    assert delivery.is_stalled(IDLE_S, 19.0)
