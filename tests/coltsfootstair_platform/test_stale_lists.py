"""Tests of a daemon's first list of the store, whose pages are of different age."""

from __future__ import annotations

import asyncio
import random

from coltsfootstair.clock import SystemClock
from coltsfootstair.http1 import Address
from coltsfootstair.objects import Change, Follower, Listing, Relay, StoreHealth
from coltsfootstair_platform import HttpObjectStore
from tests.coltsfootstair_platform.standin import StoreStandin

MAX_AGE_S = 0.8
SETTLING_TIME_S = 0.8
PLAY_COUNT = 32


class _View:
    """Keeps what a follower has passed on, by name.

    :ivar undone: names of objects of which an earlier state was passed on after a later one
    """

    def __init__(self) -> None:
        self.revision_by_name: dict[str, int] = {}
        self.undone: list[str] = []

    def apply_listing(
        self, listing: Listing, *, after_outage: bool, is_restored: bool
    ) -> None:
        self.revision_by_name = {item.name: item.revision for item in listing.objects}

    def apply_change(self, change: Change, *, after_outage: bool) -> bool:
        name, revision = change.object.name, change.object.revision
        known = self.revision_by_name.get(name)
        if known is not None and revision < known:
            self.undone.append(name)
        if change.deleted:
            self.revision_by_name.pop(name, None)
        else:
            self.revision_by_name[name] = revision
        return True


async def _change_once(standin: StoreStandin, source: random.Random) -> None:
    name = f's{source.randrange(14)}'
    if standin.get('servers', name) is not None and source.random() < 0.4:
        await standin.delete('servers', name)
    else:
        await standin.put('servers', name, {'n': source.random()})


async def _play(seed: int) -> tuple[set[tuple[str, int]], list[str]]:
    """Let a daemon begin to follow amid changes.

    :return: names and revisions in which its view differs from the store, and undone states
    """
    source = random.Random(seed)
    standin = StoreStandin()
    standin.draw_stale_age_s = lambda: source.uniform(0.0, MAX_AGE_S)
    await standin.start()
    for number in range(0, 14, 2):
        await standin.put('servers', f's{number}', {})
    await asyncio.sleep(MAX_AGE_S)
    for _ in range(source.randrange(3, 40)):
        await _change_once(standin, source)
        await asyncio.sleep(MAX_AGE_S / 40)
    view = _View()
    store = HttpObjectStore(Address('127.0.0.1', standin.port), SystemClock())
    follower = Follower(
        store,
        'servers',
        view,
        SystemClock(),
        source,
        StoreHealth(),
        Relay(),
        0.05,
        20.0,
        max_watch_s=0.6,
    )
    task = asyncio.create_task(follower.run())
    for _ in range(source.randrange(4)):
        await _change_once(standin, source)
        await asyncio.sleep(0.002)
    await asyncio.sleep(SETTLING_TIME_S)
    task.cancel()
    listing = await store.list('servers')
    standin.stop()
    stored = {(item.name, item.revision) for item in listing.objects}
    return stored ^ set(view.revision_by_name.items()), view.undone


def test_a_list_whose_pages_differ_in_age_hides_no_change() -> None:
    """Servers that had left were used by a daemon that had listed an old page of them."""

    async def work() -> list[tuple[set[tuple[str, int]], list[str]]]:
        return await asyncio.gather(*(_play(seed) for seed in range(PLAY_COUNT)))

    plays = asyncio.run(work())
    assert {seed: differing for seed, (differing, _) in enumerate(plays) if differing} == {}
    assert {seed: undone for seed, (_, undone) in enumerate(plays) if undone} == {}
