"""Monotonic and calendar time, from the operating system or set by tests."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ['Clock', 'ManualClock', 'SuspensionAwareClock', 'SystemClock']


class Clock(Protocol):
    """Source of the time for a component."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def now(self) -> datetime:
        """Return the calendar time in UTC, for display, logs and ids; it may jump."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the system's calendar time in UTC."""
        return datetime.now(UTC)


class SuspensionAwareClock(SystemClock):
    """The clock of the operating system; it also runs while the VM is suspended.

    Daemons need it: what they knew before a suspension is as old for them as for others.
    """

    def monotonic(self) -> float:
        """Return the monotonic time with that of suspensions, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests, whose time changes only when ``advance`` is called."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def monotonic(self) -> float:
        """Return the manually set time in seconds."""
        return self._now_s

    def now(self) -> datetime:
        """Return a calendar time that advances with the monotonic time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._now_s)

    def advance(self, duration_s: float) -> None:
        """Move the clock forward by ``duration_s`` seconds."""
        self._now_s += duration_s
