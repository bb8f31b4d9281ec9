"""Bounds retries over a sliding window of time."""

from __future__ import annotations

from collections import deque

__all__ = ['WindowRetryBudget']

STEPS_PER_WINDOW = 20
"""Steps into which a window is divided; requests and retries leave it a step at a time."""


class WindowRetryBudget:
    """Bounds the retries of the last ``window_s`` seconds by the requests of that time.

    :param ratio: retries for each request
    """

    __slots__ = ('_request_count', '_retry_count', '_step_s', '_steps', 'ratio')

    def __init__(self, ratio: float, window_s: float) -> None:
        self.ratio = ratio
        self._step_s = window_s / STEPS_PER_WINDOW
        self._steps: deque[list[int]] = deque()
        self._request_count = 0
        self._retry_count = 0

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._current_step(now)[1] += 1
        self._request_count += 1

    def try_spend(self, now: float, slack: float) -> bool:
        """Count a retry if it is within the bound; return false if it is not.

        :param slack: retries that a window may have beyond the ratio
        """
        step = self._current_step(now)
        if self._retry_count + 1 > self.ratio * self._request_count + slack:
            return False
        step[2] += 1
        self._retry_count += 1
        return True

    def _current_step(self, now: float) -> list[int]:
        """Drop old steps; return number, requests and retries of the step at ``now``."""
        step_number = int(now / self._step_s)
        while self._steps and self._steps[0][0] < step_number - STEPS_PER_WINDOW:
            _, requests, retries = self._steps.popleft()
            self._request_count -= requests
            self._retry_count -= retries
        if not self._steps or self._steps[-1][0] != step_number:
            self._steps.append([step_number, 0, 0])
        return self._steps[-1]
