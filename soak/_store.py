"""The store of a run, which comes back from an older copy of itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tests.coltsfootstair_platform.standin import StoreStandin

if TYPE_CHECKING:
    import random

__all__ = ['RestorableStore']

MAX_REWRITE_DELAY_S = 2.0
"""Time after the return of the store within which servers, and operators except for the
configuration, write again what it has lost."""

CONFIGURATION_DELAY_RANGE_S = (1.0, 4.0)
"""Time after which operators write the configuration again."""

CONFIGURATION_KIND = 'config'


class RestorableStore(StoreStandin):
    """A store that loses what was written after its copy, until it is written again.

    ``write`` and ``remove`` are for operators and backend servers. They wait while the store
    is away, and what they did is done again after its return.
    """

    def __init__(self, random_source: random.Random) -> None:
        super().__init__()
        self._random = random_source
        self._spec_by_object: dict[tuple[str, str], Any] = {}
        self._is_back = asyncio.Event()
        self._is_back.set()

    async def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object once the store is there."""
        await self._is_back.wait()
        self._spec_by_object[kind, name] = spec
        await self.put(kind, name, spec)

    async def write_raw(self, kind: str, name: str, spec: bytes, encoded_name: bytes) -> None:
        """Write an object as given bytes once the store is there; nobody writes it again."""
        await self._is_back.wait()
        await self.put_raw(kind, name, spec, encoded_name)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists, once the store is there."""
        await self._is_back.wait()
        self._spec_by_object[kind, name] = None
        if name in self._objects.get(kind, {}):
            await self.delete(kind, name)

    def go_away(self) -> None:
        """Accept no ``write`` and ``remove`` until ``come_back``; links do the rest."""
        self._is_back.clear()

    async def come_back(self) -> None:
        """Come back from the copy."""
        await self.restore()
        self._is_back.set()

    async def write_again(self) -> None:
        """Let operators and servers write again what differs from what they wrote last."""
        await asyncio.gather(*(self._write_again(*key) for key in self._spec_by_object))

    async def _write_again(self, kind: str, name: str) -> None:
        delay_range_s = (0.0, MAX_REWRITE_DELAY_S)
        if kind == CONFIGURATION_KIND:
            delay_range_s = CONFIGURATION_DELAY_RANGE_S
        await asyncio.sleep(self._random.uniform(*delay_range_s))
        spec = self._spec_by_object[kind, name]
        stored = self._objects.get(kind, {}).get(name)
        if spec is None:
            await self.remove(kind, name)
        elif stored is None or stored['spec'] != spec:
            await self.write(kind, name, spec)
