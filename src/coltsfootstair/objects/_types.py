"""The port to the store's objects, which are grouped by kind."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

__all__ = ['Change', 'Changes', 'Listing', 'ObjectStore', 'RelayedChanges', 'StoredObject']


class StoredObject(NamedTuple):
    """An object at one revision.

    :param value: what the store keeps, decoded; of any type, since others write there too
    """

    name: str
    revision: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, and the store's revision at that read."""

    objects: list[StoredObject]
    revision: int


class Change(NamedTuple):
    """One change of an object.

    :param deleted: whether the object is gone; its value is then the last one, if any
    """

    object: StoredObject
    deleted: bool


class Changes(NamedTuple):
    """Changes in their order, and the revision to go on from."""

    changes: list[Change]
    revision: int


class RelayedChanges(NamedTuple):
    """Changes of ``kind`` past the revision ``after``, up to ``revision``."""

    kind: str
    after_revision: int
    revision: int
    changes: list[Change]


class ObjectStore(Protocol):
    """Objects with revisions, conditional updates and watches.

    Every call raises ``StoreUnavailableError`` when no answer came in time; a change may
    then have taken effect, or may take effect later.
    """

    async def list(self, kind: str) -> Listing:
        """Read all objects of ``kind``."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object; ``None`` if it does not exist."""

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        """Create an object.

        :raises StoreConflictError: it exists
        """

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        """Replace an object that is at ``expected_revision``.

        :raises StoreConflictError: it is at another revision, or is gone
        """

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> Changes:
        """Wait for changes past ``after_revision``; none within ``wait_s`` is an answer too.

        :raises RevisionTooOldError: the store no longer knows what came after
        """
