"""Tests of how long a removed backend server is used after the store was silent."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.gateway._subscribers import ServerSubscriber
from coltsfootstair.http1 import Address
from coltsfootstair.objects import (
    Change,
    Follower,
    Listing,
    Relay,
    StoredObject,
    StoreHealth,
    WatchAnswer,
)
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair.supervision import FailureLog
from tests.virtual_time import LoopClock, run

TOUCH_S = 3.0
"""Time without a fault of its own after which a daemon is bound by what the store says, in
seconds."""

CALL_TIMEOUT_S = 1.5

SERVER = BackendServer(
    's1', 1, 'calendar', Address('10.0.0.1', 1), 'north', 4, ServerState.READY, 0.0
)


class _SilentStore:
    """Answers no call that begins while it is silent."""

    era = 0

    def __init__(self) -> None:
        self.is_silent = False
        self.is_removed = False
        self._removed = asyncio.Event()

    def remove(self) -> None:
        self.is_removed = True
        self._removed.set()

    async def _simulate_call(self, wait_s: float) -> None:
        if self.is_silent:
            await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
            raise StoreUnavailableError('no answer')
        await asyncio.sleep(0.004)

    async def list(self, kind: str, **_: Any) -> Listing:
        await self._simulate_call(0.0)
        return Listing([] if self.is_removed else [StoredObject('s1', 1, SERVER)], 1)

    async def watch(self, kind: str, after: int, wait_s: float, **_: Any) -> WatchAnswer:
        await self._simulate_call(wait_s)
        if not self.is_removed and wait_s:
            await asyncio.wait([asyncio.ensure_future(self._removed.wait())], timeout=wait_s)
        if self.is_silent:
            await self._simulate_call(wait_s)
        if not self.is_removed or after >= 2:
            return WatchAnswer([], after)
        return WatchAnswer([Change(StoredObject('s1', 2, None), True)], 2)


class _Decoder:
    def decode_backend_server(self, item: StoredObject) -> BackendServer:
        server: BackendServer = item.value
        return server


@pytest.mark.parametrize('silent_s', [round(1.0 + 0.2 * number, 1) for number in range(16)])
def test_a_removal_is_not_deferred_beyond_the_time_in_which_it_binds(silent_s: float) -> None:
    """Guards against a grace for removals that comes on top of a late reading."""

    async def work() -> bool:
        store, clock = _SilentStore(), LoopClock()
        registry = Registry(clock)
        follower = Follower(
            store,  # type: ignore[arg-type]
            'servers',
            ServerSubscriber(_Decoder(), registry, FailureLog()),  # type: ignore[arg-type]
            clock,
            random.Random(1),
            StoreHealth(),
            Relay(),
            watch_pause_s=0.25,
            history_s=20.0,
            max_watch_s=0.6,
            max_evidence_age_s=1.2,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(2.0)
        assert registry.is_usable('s1')
        store.is_silent = True
        await asyncio.sleep(silent_s - 0.2)
        store.remove()
        await asyncio.sleep(0.2)
        store.is_silent = False
        await asyncio.sleep(TOUCH_S)
        registry.remove_expired()
        task.cancel()
        return registry.is_usable('s1')

    assert not run(work())
