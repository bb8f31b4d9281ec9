"""How often the VM list is read."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.daemon._peers import LIST_READS_PER_S, POLL_S, poll_pause_s


@given(st.integers(0, 100_000))
def test_all_daemons_together_stay_within_the_rate(daemons: int) -> None:
    assert daemons / poll_pause_s(daemons) <= LIST_READS_PER_S * (1 + 1e-9)
    assert poll_pause_s(daemons) >= POLL_S


def test_a_small_fleet_reads_each_second() -> None:
    assert [poll_pause_s(daemons) for daemons in (0, 1, 9, 500)] == [POLL_S] * 4
    assert poll_pause_s(4600) == 9.2
