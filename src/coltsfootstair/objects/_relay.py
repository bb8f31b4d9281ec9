"""State of the relay through which the keeper sends store changes to other daemons."""

from __future__ import annotations

import asyncio
import contextlib
import math

__all__ = ['Relay']


class Relay:
    """Tracks whether the keeper relays changes to this daemon, and how far it has read.

    While the relay is active, this daemon's followers call the store only if a change that
    the keeper has read did not arrive, or if what the keeper has proved is too old.

    :ivar is_source: whether this daemon is the keeper, on whose evidence others rely
    """

    def __init__(self) -> None:
        self.is_active = False
        self.is_source = False
        self._keeper_revision_by_kind: dict[str, int] = {}
        self._state_changed = asyncio.Event()

    def set_active(self, is_active: bool) -> None:
        """Start or stop relying on the keeper for changes."""
        if is_active != self.is_active:
            self.is_active = is_active
            self._notify()

    def set_keeper_revisions(self, revision_by_kind: dict[str, int]) -> None:
        """Set the revision up to which the keeper has read each kind."""
        self._keeper_revision_by_kind = revision_by_kind
        self._notify()

    def get_keeper_revision(self, kind: str) -> int:
        """Return the revision up to which the keeper has read ``kind``; 0 if unknown."""
        return self._keeper_revision_by_kind.get(kind, 0)

    async def wait_for_state_change(self, max_wait_s: float) -> None:
        """Wait until the relay starts or stops, or a revision of the keeper is set.

        :param max_wait_s: longest wait, in seconds; may be infinite
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if math.isinf(max_wait_s) else max_wait_s):
                await self._state_changed.wait()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()
