"""Since when each part of a run has been free of faults."""

from __future__ import annotations

import math
from collections.abc import Callable

__all__ = ['STORE', 'Calm']

STORE = 'store'
"""The name under which faults of the store are noted."""


class Calm:
    """Notes faults by what they strike: a daemon, a backend server, or the store.

    :param now: returns the monotonic seconds
    """

    def __init__(self, now: Callable[[], float], touch_s: float) -> None:
        self._now = now
        self._touch_s = touch_s
        self._active: dict[str, int] = {}
        self._ended_at: dict[str, float] = {}
        self.healed_at = -math.inf

    def begin(self, *parts: str) -> None:
        """Note that a fault begins to strike ``parts``."""
        for part in parts:
            self._active[part] = self._active.get(part, 0) + 1

    def end(self, *parts: str) -> None:
        """Note that a fault that strikes ``parts`` has ended."""
        now = self._now()
        self.healed_at = now
        for part in parts:
            self._active[part] -= 1
            self._ended_at[part] = now

    def is_calm(self, *parts: str, since: float | None = None) -> bool:
        """Whether ``parts`` have had no fault for as long as bounds in time need.

        :param since: monotonic seconds before which that time must have begun; now if not
            given
        """
        asked_at = self._now() if since is None else since
        return all(
            not self._active.get(part)
            and asked_at - self._ended_at.get(part, -math.inf) >= self._touch_s
            for part in parts
        )
