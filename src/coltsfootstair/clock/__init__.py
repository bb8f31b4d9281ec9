"""The clock interface that every part is given instead of reading the time itself."""

from __future__ import annotations

from coltsfootstair.clock._clock import Clock, ManualClock, SystemClock

__all__ = ['Clock', 'ManualClock', 'SystemClock']
