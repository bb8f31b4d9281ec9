"""Tests of the bounds on the expiry of grants."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.ownership._grants import (
    apply_clock_reading,
    build_grant_call,
    build_initial_grants,
    may_be_granted,
)

ROW = 7
ZERO_TO_ONE = st.floats(0.0, 1.0, allow_nan=False)


def _find_uncovered_moments(
    earlier_s: float, answer_share: float, call_share: float, later_share: float
) -> list[float]:
    """Return times at which a predecessor's grant may hold but the successor rules it out.

    :param earlier_s: how long before the takeover the predecessor read the server's clock
    :param answer_share: share of that time after which the server's answer arrived
    :param call_share: share of the rest after which the grant call was made
    :param later_share: share of the time that the grant has left at the takeover, after which
        to check
    """
    takeover_at = 100.0
    sent_at = takeover_at - earlier_s
    answer_at = sent_at + answer_share * earlier_s
    call_at = answer_at + call_share * (takeover_at - answer_at)
    predecessor = apply_clock_reading(
        build_initial_grants(0.0), 'i1', 5000.0, sent_at, answer_at
    )
    state_and_call = build_grant_call(predecessor, {ROW: 1}, call_at)
    if state_and_call is None:
        return []
    _, call = state_and_call
    successor = build_initial_grants(takeover_at)
    moment = takeover_at + later_share * max(0.0, call.latest_expiry - takeover_at)
    if moment >= call.latest_expiry or may_be_granted(successor, ROW, moment):
        return []
    return [moment]


@given(ZERO_TO_ONE, ZERO_TO_ONE, ZERO_TO_ONE, ZERO_TO_ONE)
def test_new_coordinator_waits_for_grants_of_its_predecessor_to_expire(
    earlier_s: float, answer_share: float, call_share: float, later_share: float
) -> None:
    """Without that wait rows moved early, which the simulation of moves did not reveal."""
    assert _find_uncovered_moments(earlier_s, answer_share, call_share, later_share) == []


def test_inherited_grants_expire() -> None:
    grants = build_initial_grants(100.0)
    assert may_be_granted(grants, ROW, 100.0)
    assert not may_be_granted(grants, ROW, grants.inherited_expiry)
