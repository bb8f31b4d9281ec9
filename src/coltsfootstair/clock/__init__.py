"""Clocks that are passed to all components, which never read the time directly."""

from __future__ import annotations

from coltsfootstair.clock._clock import Clock, ManualClock, SuspensionAwareClock, SystemClock

__all__ = ['Clock', 'ManualClock', 'SuspensionAwareClock', 'SystemClock']
