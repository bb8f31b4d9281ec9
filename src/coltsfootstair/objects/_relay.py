"""State of the relay through which the keeper sends store changes to other daemons."""

from __future__ import annotations

import asyncio

__all__ = ['Relay']


class Relay:
    """Tracks whether the keeper relays changes to this daemon, and how far it has read.

    While the relay is active, this daemon's followers call the store only if a change that
    the keeper has read did not arrive.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._keeper_revision_by_kind: dict[str, int] = {}
        self._change_event = asyncio.Event()

    def set_active(self, is_active: bool) -> None:
        """Start or stop relying on the keeper for changes."""
        if is_active != self.is_active:
            self.is_active = is_active
            self._notify()

    def set_keeper_revisions(self, revision_by_kind: dict[str, int]) -> None:
        """Set the revision up to which the keeper has read each kind."""
        self._keeper_revision_by_kind = revision_by_kind
        self._notify()

    def keeper_revision(self, kind: str) -> int:
        """Return the revision up to which the keeper has read ``kind``; 0 if unknown."""
        return self._keeper_revision_by_kind.get(kind, 0)

    async def wait_for_change(self) -> None:
        """Wait until the relay starts or stops, or a revision of the keeper is set."""
        await self._change_event.wait()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()
