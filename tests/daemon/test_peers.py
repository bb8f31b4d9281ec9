"""Tests of the interval at which the VM list is read."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.daemon._peers import (
    MAX_LIST_READS_PER_S,
    MIN_POLL_INTERVAL_S,
    poll_interval_s,
)


@given(st.integers(0, 100_000))
def test_all_daemons_together_stay_within_the_rate(daemon_count: int) -> None:
    assert daemon_count / poll_interval_s(daemon_count) <= MAX_LIST_READS_PER_S * (1 + 1e-9)
    assert poll_interval_s(daemon_count) >= MIN_POLL_INTERVAL_S


def test_a_small_fleet_reads_each_second() -> None:
    assert [poll_interval_s(daemon_count) for daemon_count in (0, 1, 9, 500)] == [
        MIN_POLL_INTERVAL_S
    ] * 4
    assert poll_interval_s(4600) == 9.2
