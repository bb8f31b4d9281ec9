"""An event loop whose time passes only while nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

__all__ = ['LoopClock', 'VirtualTimeLoop', 'run']

T = TypeVar('T')


class _Selector(selectors.SelectSelector):
    """Skips waits, and reports them to its loop."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now += max(0.0, timeout)
        elif not ready and timeout is None:
            raise RuntimeError('nothing is left that could happen')
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in an instant, and in the same order each time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the seconds that have been skipped so far."""
        return self._virtual.now


class LoopClock:
    """The clock interface on the running loop's time."""

    def monotonic(self) -> float:
        """Return the loop's seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        """Return a calendar time that moves with it."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run ``work`` in a loop of its own."""
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
