"""Finds out which lost paths to backend servers are back while a daemon is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from coltsfootstair.http1 import BrokenExchangeError

if TYPE_CHECKING:
    from coltsfootstair.http1 import ConnectionPool
    from coltsfootstair.placement import ServerPaths
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['PathProber']

PROBE_INTERVAL_S = 0.25
"""Time between rounds of connection attempts, in seconds."""

PROBES_PER_ROUND = 8
"""Connection attempts of one round; with hundreds of servers they are tried in turn."""

CONNECT_TIMEOUT_S = 0.4
"""Time limit for opening a connection, in seconds."""


class PathProber:
    """Opens connections to servers whose paths are lost, while most paths are.

    No caller's request goes there then, so nothing else would tell that a path is back. The
    idle connections of a path that was lost are closed: they may hang.
    """

    def __init__(self, registry: Registry, paths: ServerPaths, pool: ConnectionPool) -> None:
        self._registry = registry
        self._paths = paths
        self._pool = pool
        self._round_by_incarnation: dict[tuple[str, int], int] = {}
        self._round = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self._paths.is_cut_off:
                await asyncio.gather(*map(self._probe, self._choose_servers()))
            elif self._round_by_incarnation:
                self._round_by_incarnation.clear()

    def _choose_servers(self) -> list[BackendServer]:
        """Return the servers that have not been probed for longest."""
        self._round += 1
        lost = [
            server
            for incarnation in self._paths.list_lost()
            if (server := self._registry.get(incarnation[0])) is not None
            and server.incarnation == incarnation
        ]
        lost.sort(key=lambda server: self._round_by_incarnation.get(server.incarnation, 0))
        chosen = lost[:PROBES_PER_ROUND]
        for server in chosen:
            self._round_by_incarnation[server.incarnation] = self._round
        return chosen

    async def _probe(self, server: BackendServer) -> None:
        try:
            connection = await self._pool.open(server.address, CONNECT_TIMEOUT_S)
        except BrokenExchangeError:
            return
        self._pool.close_idle(server.address)
        self._pool.release(connection)
        self._paths.record_answer(server.incarnation)
