"""A daemon's copy of the store's objects, in which versions never go back."""

from __future__ import annotations

import bisect
import threading
from typing import TYPE_CHECKING

from coltsfootstair.store._types import ABSENT, VersionedObject

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ['Replica']


class Replica:
    """Objects by key as last heard of, from the store or from peers.

    It is a hint: whatever must be certain is a conditional update or a read of the
    store itself. A deleted object stays as an empty value at the deletion's version,
    so that an older version of it is still refused.
    """

    def __init__(self) -> None:
        self._object_by_key: dict[str, VersionedObject] = {}
        # Two lists in step, by version: those who ask for updates must not cost a look at
        # each object.
        self._versions: list[int] = []
        self._keys: list[str] = []
        self._lock = threading.Lock()
        self._listeners: list[Callable[[VersionedObject], None]] = []

    def subscribe(self, listener: Callable[[VersionedObject], None]) -> None:
        """Call ``listener`` after each change, on the thread that brought it."""
        self._listeners.append(listener)

    def get(self, key: str) -> VersionedObject:
        """Return the object, or one at version ``ABSENT``."""
        return self._object_by_key.get(key, VersionedObject(key, ABSENT, b''))

    def list_with_prefix(self, prefix: str) -> list[VersionedObject]:
        """Return the objects whose key starts with ``prefix``, without deleted ones."""
        with self._lock:
            objects = list(self._object_by_key.values())
        return [item for item in objects if item.value and item.key.startswith(prefix)]

    def list_newer_than(self, version: int) -> list[VersionedObject]:
        """Return the objects past ``version``, deleted ones too, oldest change first."""
        with self._lock:
            first = bisect.bisect_right(self._versions, version)
            return [self._object_by_key[key] for key in self._keys[first:]]

    def get_versions(self) -> dict[str, int]:
        """Return the version of each object, the digest that peers compare."""
        with self._lock:
            return {key: item.version for key, item in self._object_by_key.items()}

    def apply(self, items: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Take in what is newer than what is known; return just that."""
        with self._lock:
            # In the order of their versions, so that each is put at the end of the lists.
            newer = [item for item in sorted(items, key=_version) if self._take(item)]
        for item in newer:
            for listener in self._listeners:
                listener(item)
        return newer

    def _take(self, item: VersionedObject) -> bool:
        if not self._is_newer(item):
            return False
        known = self._object_by_key.get(item.key)
        if known is not None:
            self._remove_version(known)
        place = bisect.bisect_right(self._versions, item.version)
        self._versions.insert(place, item.version)
        self._keys.insert(place, item.key)
        self._object_by_key[item.key] = item
        return True

    def _remove_version(self, item: VersionedObject) -> None:
        first = bisect.bisect_left(self._versions, item.version)
        place = self._keys.index(item.key, first)
        del self._versions[place]
        del self._keys[place]

    def _is_newer(self, item: VersionedObject) -> bool:
        known = self._object_by_key.get(item.key)
        return known is None or item.version > known.version


def _version(item: VersionedObject) -> int:
    return item.version
