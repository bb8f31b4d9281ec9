"""A daemon's copy of the objects in the store; their versions never decrease."""

from __future__ import annotations

import bisect
import threading
from typing import TYPE_CHECKING

from coltsfootstair.store._types import ABSENT, VersionedObject

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ['Replica']


class Replica:
    """Newest known version of each object, from the store or from peers.

    The replica may be out of date: what must be certain needs a conditional write or a read
    of the store. A deleted object is kept with an empty value at the version of its deletion,
    so that an older version of it is still ignored.
    """

    def __init__(self) -> None:
        self._object_by_key: dict[str, VersionedObject] = {}
        # Two parallel lists, sorted by version, so that a peer's request for updates is
        # answered without a search through all objects.
        self._versions: list[int] = []
        self._keys: list[str] = []
        self._lock = threading.Lock()
        self._listeners: list[Callable[[VersionedObject], None]] = []

    def subscribe(self, listener: Callable[[VersionedObject], None]) -> None:
        """Call ``listener`` after each change, on the thread that applied it."""
        self._listeners.append(listener)

    def get(self, key: str) -> VersionedObject:
        """Return the object; its version is ``ABSENT`` if it is not known."""
        return self._object_by_key.get(key, VersionedObject(key, ABSENT, b''))

    def list_with_prefix(self, prefix: str) -> list[VersionedObject]:
        """Return the objects whose key starts with ``prefix``, without deleted ones."""
        with self._lock:
            objects = list(self._object_by_key.values())
        return [item for item in objects if item.value and item.key.startswith(prefix)]

    def list_newer_than(self, version: int) -> list[VersionedObject]:
        """Return the objects newer than ``version``, deleted ones too, oldest change first."""
        with self._lock:
            first = bisect.bisect_right(self._versions, version)
            return [self._object_by_key[key] for key in self._keys[first:]]

    def get_versions(self) -> dict[str, int]:
        """Return the version of each object by key, deleted ones too."""
        with self._lock:
            return {key: item.version for key, item in self._object_by_key.items()}

    def apply(self, items: Iterable[VersionedObject]) -> list[VersionedObject]:
        """Apply the objects that are newer than the known ones, and return these."""
        with self._lock:
            # Sorted by version, so that each object is appended to the end of the lists.
            newer = [
                item for item in sorted(items, key=_get_version) if self._apply_if_newer(item)
            ]
        for item in newer:
            for listener in self._listeners:
                listener(item)
        return newer

    def _apply_if_newer(self, item: VersionedObject) -> bool:
        if not self._is_newer(item):
            return False
        known = self._object_by_key.get(item.key)
        if known is not None:
            self._remove_version(known)
        index = bisect.bisect_right(self._versions, item.version)
        self._versions.insert(index, item.version)
        self._keys.insert(index, item.key)
        self._object_by_key[item.key] = item
        return True

    def _remove_version(self, item: VersionedObject) -> None:
        first = bisect.bisect_left(self._versions, item.version)
        index = self._keys.index(item.key, first)
        del self._versions[index]
        del self._keys[index]

    def _is_newer(self, item: VersionedObject) -> bool:
        known = self._object_by_key.get(item.key)
        return known is None or item.version > known.version


def _get_version(item: VersionedObject) -> int:
    return item.version
