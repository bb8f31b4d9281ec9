"""The objects of the store stand-in, with their versions and latest changes."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ['StoredObject', 'VersionedObjects']

MAX_KEPT_CHANGES = 50_000
"""Number of changes that can still be read by watches; older ones are dropped."""


class StoredObject(NamedTuple):
    """An object at a version; an empty value means that it is deleted."""

    key: str
    version: int
    value: bytes


class VersionedObjects:
    """All objects by key, versioned by one increasing revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._object_by_key: dict[str, StoredObject] = {}
        self._changes: deque[tuple[int, str]] = deque()
        self._last_dropped_revision = 0

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or ``None`` if there is none."""
        found = self._object_by_key.get(key)
        return found if found is not None and found.value else None

    def get_version(self, key: str) -> int:
        """Return the object's version; 0 if there is none."""
        found = self.get(key)
        return found.version if found else 0

    def scan(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with ``prefix``, by key."""
        found = (each for each in self._object_by_key.values() if each.key.startswith(prefix))
        return sorted(each for each in found if each.value)

    def put(self, key: str, value: bytes) -> int:
        """Write the object, or delete it with an empty value; return the version."""
        self.revision += 1
        self._object_by_key[key] = StoredObject(key, self.revision, value)
        self._changes.append((self.revision, key))
        if len(self._changes) > MAX_KEPT_CHANGES:
            self._last_dropped_revision = self._changes.popleft()[0]
        return self.revision

    def find_changes(self, prefix: str, after: int) -> list[StoredObject] | None:
        """Return the objects that changed after revision ``after``, by version.

        :returns: ``None`` if changes after that revision have been dropped already
        """
        if after < self._last_dropped_revision:
            return None
        keys: set[str] = set()
        for revision, key in reversed(self._changes):
            if revision <= after:
                break
            if key.startswith(prefix):
                keys.add(key)
        return sorted(
            (self._object_by_key[key] for key in keys), key=lambda each: each.version
        )
