"""In-memory store whose lists have pages of different age."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from coltsfootstair.errors import (
    AnswerTooLargeError,
    RevisionTooOldError,
    StoreUnavailableError,
)
from coltsfootstair.objects import Change, Listing, StoredObject, WatchAnswer

PAGE_SIZE = 3
"""Objects in a page of a list."""

CALL_S = 0.004
"""Time that a call takes, in seconds; so does each page of a list."""

MAX_LARGE_CHANGE_COUNT = 4
"""Changes in an answer to a watch above which it is too large, for who limits its size."""

SILENT_CALL_S = 1.5
"""Time after which a call without an answer is given up, in seconds."""


class Write(NamedTuple):
    """One change of the store."""

    at: float
    change: Change
    revision: int


class ListedStore:
    """Objects of one kind, whose lists are read page by page.

    :param draw_age_s: age of the next page of a list that may be stale, in seconds
    :ivar calls: calls that were made
    :ivar errors: errors of the next calls
    :ivar oldest_watchable: lowest revision from which changes are known
    :ivar is_held: whether watches wait although there are changes
    :ivar is_silent: whether no call is answered that begins or waits now
    """

    era = 0

    def __init__(self, draw_age_s: Callable[[], float]) -> None:
        self._draw_age_s = draw_age_s
        self.writes: list[Write] = []
        self.calls: list[str] = []
        self.errors: list[Exception] = []
        self.oldest_watchable = 0
        self.is_held = False
        self.is_silent = False
        self._writers: list[ListedStore] = [self]
        self._written = asyncio.Event()

    @classmethod
    def sharing(cls, other: ListedStore, draw_age_s: Callable[[], float]) -> ListedStore:
        """Return the store with the objects of ``other``, as another daemon reaches it."""
        store = cls(draw_age_s)
        store.writes = other.writes
        other._writers.append(store)
        return store

    @property
    def revision(self) -> int:
        return len(self.writes)

    def put(self, name: str, value: Any = None) -> None:
        self._write(Change(StoredObject(name, self.revision + 1, value), False))

    def delete(self, name: str) -> None:
        """Delete an object; as in the platform's store, the change has its last state."""
        self._write(Change(self.read_state()[name], True))

    def _write(self, change: Change) -> None:
        now = asyncio.get_running_loop().time()
        self.writes.append(Write(now, change, self.revision + 1))
        for store in self._writers:
            store._written.set()
            store._written = asyncio.Event()

    def forget_history(self) -> None:
        """Answer no watch from before now, at all daemons."""
        for store in self._writers:
            store.oldest_watchable = self.revision

    def read_state(self, age_s: float = 0.0) -> dict[str, StoredObject]:
        """Return the objects as they were ``age_s`` seconds ago."""
        return self._read_page(age_s, '', None)[0]

    def _read_page(
        self, age_s: float, after: str, size: int | None
    ) -> tuple[dict[str, StoredObject], int]:
        """Return a page of the objects of a moment, by name, and its revision."""
        until = asyncio.get_running_loop().time() - age_s
        revision = 0
        by_name: dict[str, StoredObject] = {}
        for write in self.writes:
            if write.at > until:
                break
            revision = write.revision
            if write.change.deleted:
                by_name.pop(write.change.object.name, None)
            else:
                by_name[write.change.object.name] = write.change.object
        names = sorted(name for name in by_name if name > after)[:size]
        return {name: by_name[name] for name in names}, revision

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        """Read all pages, as the platform's client does."""
        self.calls.append('stale list' if may_be_stale else 'list')
        await self._fail_if_told()
        objects: list[StoredObject] = []
        revisions = []
        after = ''
        while True:
            await asyncio.sleep(CALL_S)
            age_s = self._draw_age_s() if may_be_stale else 0.0
            page, revision = self._read_page(age_s, after, PAGE_SIZE)
            revisions.append(revision)
            objects.extend(page.values())
            if len(page) < PAGE_SIZE:
                return Listing.of_pages(objects, revisions)
            after = objects[-1].name

    async def watch(
        self,
        kind: str,
        after_revision: int,
        wait_s: float,
        *,
        max_bytes: int | None = None,
        **_: Any,
    ) -> WatchAnswer:
        self.calls.append(f'watch {wait_s:g}')
        await asyncio.sleep(CALL_S)
        await self._fail_if_told()
        if after_revision < self.oldest_watchable:
            raise RevisionTooOldError('too old')
        if self.revision <= after_revision and wait_s:
            await asyncio.wait([asyncio.ensure_future(self._written.wait())], timeout=wait_s)
        while self.is_held:
            await asyncio.sleep(CALL_S)
        await self._fail_if_told()
        changes = [write.change for write in self.writes if write.revision > after_revision]
        if max_bytes is not None and len(changes) > MAX_LARGE_CHANGE_COUNT:
            raise AnswerTooLargeError('the history is too large')
        return WatchAnswer(changes, self.revision)

    async def _fail_if_told(self) -> None:
        if self.is_silent:
            await asyncio.sleep(SILENT_CALL_S)
            raise StoreUnavailableError('no answer')
        if self.errors:
            raise self.errors.pop(0)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        raise NotImplementedError

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        raise NotImplementedError
