"""A store in memory, with the faults of a real one."""

from __future__ import annotations

from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.store import ABSENT, Versioned


class FakeStore:
    """A store whose calls fail as told.

    :param lost: numbers of the puts whose answers are lost after they took effect
    :param dropped: numbers of the calls that never reach the store
    """

    def __init__(self, lost: set[int] | None = None, dropped: set[int] | None = None) -> None:
        self.objects: dict[str, Versioned] = {}
        self.revision = 0
        self.calls = 0
        self.lost = lost or set()
        self.dropped = dropped or set()

    def get(self, key: str) -> Versioned:
        self._count()
        return self.objects.get(key, Versioned(key, ABSENT, b''))

    def put(self, key: str, value: bytes, *, expected: int) -> int:
        number = self._count()
        known = self.objects.get(key, Versioned(key, ABSENT, b''))
        if known.version != expected:
            raise StoreConflictError(key)
        self.revision += 1
        self.objects[key] = Versioned(key, self.revision, value)
        if number in self.lost:
            raise StoreUnavailableError('answer lost')
        return self.revision

    def scan(self, prefix: str) -> tuple[list[Versioned], int]:
        raise NotImplementedError

    def delete(self, key: str, *, expected: int) -> int:
        raise NotImplementedError

    def watch(self, prefix: str, after: int, timeout_s: float) -> tuple[list[Versioned], int]:
        raise NotImplementedError

    def _count(self) -> int:
        self.calls += 1
        if self.calls in self.dropped:
            raise StoreUnavailableError('down')
        return self.calls
