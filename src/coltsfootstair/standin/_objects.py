"""The objects of the store stand-in: versions, conditional updates and changes."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

__all__ = ['Change', 'Objects']

KEPT_CHANGES = 50_000


class Change(NamedTuple):
    """An object at a version; an empty value means deleted."""

    key: str
    version: int
    value: bytes


class Objects:
    """Objects by key under one rising revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._by_key: dict[str, Change] = {}
        self._changes: deque[tuple[int, str]] = deque()
        self._horizon = 0

    def get(self, key: str) -> Change | None:
        """Return the object, or ``None`` if there is none."""
        found = self._by_key.get(key)
        return found if found is not None and found.value else None

    def version(self, key: str) -> int:
        """Return the object's version; 0 if there is none."""
        found = self.get(key)
        return found.version if found else 0

    def scan(self, prefix: str) -> list[Change]:
        """Return the objects whose keys begin with ``prefix``, by key."""
        found = (each for each in self._by_key.values() if each.key.startswith(prefix))
        return sorted(each for each in found if each.value)

    def put(self, key: str, value: bytes) -> int:
        """Write the object, or delete it with an empty value; return the version."""
        self.revision += 1
        self._by_key[key] = Change(key, self.revision, value)
        self._changes.append((self.revision, key))
        if len(self._changes) > KEPT_CHANGES:
            self._horizon = self._changes.popleft()[0]
        return self.revision

    def changed(self, prefix: str, after: int) -> list[Change] | None:
        """Return what changed past revision ``after``; ``None`` if that is too old."""
        if after < self._horizon:
            return None
        keys: set[str] = set()
        for revision, key in reversed(self._changes):
            if revision <= after:
                break
            if key.startswith(prefix):
                keys.add(key)
        return sorted((self._by_key[key] for key in keys), key=lambda each: each.version)
