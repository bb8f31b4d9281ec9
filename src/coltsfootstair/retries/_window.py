"""A bound on repeats over any span of some seconds."""

from __future__ import annotations

from collections import deque

__all__ = ['WindowBudget']

STEPS = 20
"""Parts of a window that are counted together; an old part leaves as a whole."""


class WindowBudget:
    """Counts requests and repeats over the last ``window_s`` seconds.

    :param ratio: repeats for each request
    """

    __slots__ = ('_parts', '_repeats', '_requests', '_step_s', 'ratio')

    def __init__(self, ratio: float, window_s: float) -> None:
        self.ratio = ratio
        self._step_s = window_s / STEPS
        self._parts: deque[list[int]] = deque()
        self._requests = 0
        self._repeats = 0

    def requested(self, now: float) -> None:
        """Count a request of a caller."""
        self._part(now)[1] += 1
        self._requests += 1

    def take(self, now: float, slack: float) -> bool:
        """Count a repeat if it is within the bound; false if it is not.

        :param slack: repeats in a window beyond the ratio
        """
        part = self._part(now)
        if self._repeats + 1 > self.ratio * self._requests + slack:
            return False
        part[2] += 1
        self._repeats += 1
        return True

    def _part(self, now: float) -> list[int]:
        step = int(now / self._step_s)
        while self._parts and self._parts[0][0] < step - STEPS:
            _, requests, repeats = self._parts.popleft()
            self._requests -= requests
            self._repeats -= repeats
        if not self._parts or self._parts[-1][0] != step:
            self._parts.append([step, 0, 0])
        return self._parts[-1]
