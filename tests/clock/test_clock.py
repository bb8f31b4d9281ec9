"""What the clock of a daemon counts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from coltsfootstair.clock import SuspensionAwareClock, SystemClock

if TYPE_CHECKING:
    import pytest


def test_the_clock_of_a_daemon_counts_the_time_for_which_its_vm_was_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended_s = 20.0
    real_clock_gettime = time.clock_gettime

    def clock_gettime_after_suspension(clock_id: int) -> float:
        added_s = suspended_s if clock_id == time.CLOCK_BOOTTIME else 0.0
        return real_clock_gettime(clock_id) + added_s

    clock = SuspensionAwareClock()
    before = clock.monotonic()
    before_by_system = SystemClock().monotonic()
    monkeypatch.setattr(time, 'clock_gettime', clock_gettime_after_suspension)
    assert clock.monotonic() - before >= suspended_s
    assert SystemClock().monotonic() - before_by_system < suspended_s
