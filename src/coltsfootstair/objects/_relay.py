"""What one daemon that watches the store passes on to the others."""

from __future__ import annotations

import asyncio

__all__ = ['Relay']


class Relay:
    """Whether the keeper passes changes on at present, and how far it has read.

    While it does, this daemon's followers do not call the store unless a change that the
    keeper has seen did not arrive.
    """

    def __init__(self) -> None:
        self.is_active = False
        self._keeper_revision_by_kind: dict[str, int] = {}
        self._change_event = asyncio.Event()

    def set_active(self, is_active: bool) -> None:
        """Begin or cease to rely on the keeper."""
        if is_active != self.is_active:
            self.is_active = is_active
            self._notify()

    def set_keeper_revisions(self, revision_by_kind: dict[str, int]) -> None:
        """Note up to which revision the keeper has read each kind."""
        self._keeper_revision_by_kind = revision_by_kind
        self._notify()

    def keeper_revision(self, kind: str) -> int:
        """Return up to which revision the keeper has read ``kind``."""
        return self._keeper_revision_by_kind.get(kind, 0)

    async def wait_for_change(self) -> None:
        """Wait until something of this changes."""
        await self._change_event.wait()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()
