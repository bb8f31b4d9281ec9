"""Record of the time since which each component of a run has been without faults."""

from __future__ import annotations

import math
from collections.abc import Callable

__all__ = ['STORE', 'FaultLog']

STORE = 'store'
"""Name of the component under which faults of the store are recorded."""


class FaultLog:
    """Records faults by the component that they affect: daemon, backend server or store.

    :param now: returns the current time in monotonic seconds
    :param fault_free_s: how long a component must have been without faults to count as
        fault-free
    :ivar last_thaw_or_heal_at: when a paused process last went on or a disturbed link last
        became whole, in monotonic seconds
    """

    def __init__(self, now: Callable[[], float], fault_free_s: float) -> None:
        self._now = now
        self._fault_free_s = fault_free_s
        self._active_count_by_component: dict[str, int] = {}
        self._ended_at_by_component: dict[str, float] = {}
        self.last_thaw_or_heal_at = -math.inf

    def record_start(self, *components: str) -> None:
        """Record that a fault begins to affect ``components``."""
        for component in components:
            self._active_count_by_component[component] = (
                self._active_count_by_component.get(component, 0) + 1
            )

    def record_end(self, *components: str, is_thaw_or_heal: bool = False) -> None:
        """Record that a fault that affected ``components`` has ended.

        :param is_thaw_or_heal: whether a process was paused or a link was disturbed
        """
        now = self._now()
        if is_thaw_or_heal:
            self.last_thaw_or_heal_at = now
        for component in components:
            self._active_count_by_component[component] -= 1
            self._ended_at_by_component[component] = now

    def is_fault_free(self, *components: str, since: float | None = None) -> bool:
        """Whether ``components`` have been without faults long enough to check time limits.

        They must have no fault at present.

        :param since: time at which they must already have been without faults for
            ``fault_free_s``, in monotonic seconds; the present if not given
        """
        checked_at = self._now() if since is None else since
        return all(
            not self._active_count_by_component.get(component)
            and checked_at - self._ended_at_by_component.get(component, -math.inf)
            >= self._fault_free_s
            for component in components
        )
