"""Port to the store's objects, which are grouped by kind."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

__all__ = ['Change', 'Listing', 'ObjectStore', 'RelayedChanges', 'StoredObject', 'WatchAnswer']


class StoredObject(NamedTuple):
    """An object at one revision.

    :param value: the decoded content; of any type, since other programs write objects too
    """

    name: str
    revision: int
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, and the store's revision at the time of the read."""

    objects: list[StoredObject]
    revision: int


class Change(NamedTuple):
    """One change of an object.

    :param deleted: whether the object was deleted; ``object.value`` is then its last value, or
        ``None`` if the store does not send it
    """

    object: StoredObject
    deleted: bool


class WatchAnswer(NamedTuple):
    """Answer to a watch.

    :param changes: in the order in which they occurred
    :param revision: revision after which the next watch continues
    """

    changes: list[Change]
    revision: int


class RelayedChanges(NamedTuple):
    """Changes of ``kind`` after ``after_revision``, up to and including ``revision``."""

    kind: str
    after_revision: int
    revision: int
    changes: list[Change]


class ObjectStore(Protocol):
    """Store of objects with revisions, conditional updates and watches.

    Every call raises ``StoreUnavailableError`` if no answer arrives in time; a change may
    then have taken effect, or may still take effect later.
    """

    async def list(self, kind: str, *, may_be_stale: bool = False) -> Listing:
        """Read all objects of ``kind``.

        :param may_be_stale: whether a state that is some seconds old may be returned, which
            costs the store less; a watch from its revision returns what has changed since
        """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object; return ``None`` if it does not exist."""

    async def create(self, kind: str, name: str, value: Any) -> StoredObject:
        """Create an object.

        :raises StoreConflictError: the object already exists
        """

    async def replace(
        self, kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        """Replace an object that is at ``expected_revision``.

        :raises StoreConflictError: the object is at another revision or was deleted
        """

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> WatchAnswer:
        """Wait for changes after ``after_revision``.

        The answer has no changes if none occurs within ``wait_s``.

        :param wait_s: how long to wait for a change, in seconds
        :raises RevisionTooOldError: the store no longer has the changes after that revision
        """
