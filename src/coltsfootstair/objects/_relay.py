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
        self.is_on = False
        self._revision_by_kind: dict[str, int] = {}
        self._changed = asyncio.Event()

    def turn(self, on: bool) -> None:
        """Begin or cease to rely on the keeper."""
        if on != self.is_on:
            self.is_on = on
            self._wake()

    def announce(self, revision_by_kind: dict[str, int]) -> None:
        """Note up to which revision the keeper has read each kind."""
        self._revision_by_kind = revision_by_kind
        self._wake()

    def revision(self, kind: str) -> int:
        """Return up to which revision the keeper has read ``kind``."""
        return self._revision_by_kind.get(kind, 0)

    async def change(self) -> None:
        """Wait until something of this changes."""
        await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
