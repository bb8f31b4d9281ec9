"""An event loop with virtual time, which advances only while no callback is ready."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

__all__ = ['LoopClock', 'VirtualTimeLoop', 'run']

T = TypeVar('T')


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        elif not ready and timeout is None:
            raise RuntimeError('deadlock: no callback is ready and no timer is scheduled')
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, and in the same order in every run."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual.now


class LoopClock:
    """Implements the clock interface on the time of the running loop."""

    def monotonic(self) -> float:
        """Return the time of the running loop, in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        """Return a calendar time that advances with the time of the loop."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run ``work`` in a new loop with virtual time; cancel the tasks that it leaves behind."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.wait(pending))
        loop.close()
