"""Incarnations of backend servers that have said in an answer that they are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from coltsfootstair.clock import Clock

__all__ = ['LeavingServers']

MEMORY_S = 3600.0
"""How long a leaving incarnation is remembered after its entry is gone, in seconds, in case it
comes back; many times the age of a list or of a copy of the store."""


class LeavingServers:
    """Remembers which incarnations are leaving; what a server has said is never undone.

    The store has no part in it: neither an entry nor an outage changes what is remembered.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_by_incarnation: dict[tuple[str, int], float] = {}
        self._last_needed_at_by_incarnation: dict[tuple[str, int], float] = {}

    def __contains__(self, incarnation: tuple[str, int]) -> bool:
        """Whether ``incarnation`` is leaving."""
        return incarnation in self._since_by_incarnation

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Iterate over the leaving incarnations, in the order in which they became known."""
        return iter(self._since_by_incarnation)

    def known_for_s(self, incarnation: tuple[str, int]) -> float:
        """Return for how long ``incarnation`` is known to be leaving, in seconds."""
        return self._clock.monotonic() - self._since_by_incarnation[incarnation]

    def add(self, incarnation: tuple[str, int]) -> bool:
        """Remember an incarnation as leaving; return false if it was already."""
        if incarnation in self._since_by_incarnation:
            return False
        self._since_by_incarnation[incarnation] = self._clock.monotonic()
        self._last_needed_at_by_incarnation[incarnation] = self._clock.monotonic()
        return True

    def forget_ended(self, is_known: Callable[[tuple[str, int]], bool]) -> None:
        """Forget the incarnations whose entries have been gone for ``MEMORY_S``.

        :param is_known: returns whether an incarnation has an entry
        """
        now = self._clock.monotonic()
        for incarnation, last_needed_at in list(self._last_needed_at_by_incarnation.items()):
            if is_known(incarnation):
                self._last_needed_at_by_incarnation[incarnation] = now
            elif now - last_needed_at >= MEMORY_S:
                del self._since_by_incarnation[incarnation]
                del self._last_needed_at_by_incarnation[incarnation]
