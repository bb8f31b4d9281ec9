"""Monotonic and calendar time, real or set by hand."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(Protocol):
    """What a part may know of time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def now(self) -> datetime:
        """Return the calendar time in UTC; for people and logs only."""


class SystemClock:
    """The machine's own clock."""

    def monotonic(self) -> float:
        """Return the machine's monotonic seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the machine's calendar time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when asked to, for tests."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self._seconds = start_s

    def monotonic(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def now(self) -> datetime:
        """Return a calendar time that moves with the monotonic one."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._seconds += seconds
