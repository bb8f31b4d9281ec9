"""What a daemon knows of the store's objects, how completely, and since when."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.operators import DOCUMENT_KEY, KnownVersion, VersionGate
from coltsfootstair.store import Replica, VersionedObject

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['PeerUpdate', 'ReplicaTracker']

UNKNOWN = -1
"""The revision of a daemon that has not read the store, nor heard from one that has."""


class PeerUpdate(NamedTuple):
    """What a peer has answered, whole.

    :param revision: the revision up to which the peer knows all
    :param known_at: local monotonic seconds before which the peer knew that to be the
        newest; ``None`` if it never did
    :param written_after: local monotonic seconds after which the peer wrote its answer
    """

    data_centre: str
    objects: list[VersionedObject]
    revision: int
    known_at: float | None
    written_after: float


class ReplicaTracker:
    """The replica, with the revision up to which it is complete; safe for threads."""

    def __init__(self, replica: Replica, clock: Clock, own_data_centre: str) -> None:
        self._replica = replica
        self._clock = clock
        self._own_data_centre = own_data_centre
        self._gate = VersionGate()
        self._lock = threading.Lock()
        self._revision = UNKNOWN
        self._known_at = float('-inf')
        self._listeners: list[Callable[[], None]] = []
        self.data_centres_of_others: frozenset[str] = frozenset()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change, on the thread that brought it."""
        self._listeners.append(listener)

    @property
    def revision(self) -> int:
        """The revision up to which all is known, or -1."""
        return self._revision

    def apply_store_answer(
        self, objects: Iterable[VersionedObject], revision: int, sent_at: float
    ) -> None:
        """Take all changes up to ``revision``, which was the newest after ``sent_at``."""
        self._replica.apply(objects)
        with self._lock:
            changed = self._advance(revision, sent_at)
            self._gate.store_said(self._updates(sent_at, 0.0))
        self._tell(changed)

    def apply_peer_answer(self, update: PeerUpdate) -> None:
        """Take a peer's answer."""
        if update.revision == UNKNOWN:
            return
        self._replica.apply(update.objects)
        known_at = float('-inf') if update.known_at is None else update.known_at
        with self._lock:
            changed = self._advance(update.revision, known_at)
            updates = self._updates(update.written_after, update.written_after - known_at)
            self._gate.peer_said(update.data_centre, updates)
        self._tell(changed)

    def find_changes_after(self, after: int) -> tuple[list[VersionedObject], int]:
        """Return the objects that changed past ``after``, and the revision reached."""
        with self._lock:
            revision = self._revision
        return self._replica.list_newer_than(after), revision

    def age_s(self) -> float:
        """Return the seconds since the store was known to hold nothing newer."""
        return self._clock.monotonic() - self._known_at

    def is_document_fresh(self) -> bool:
        """Return whether the document in force is fresh enough to give work on."""
        now = self._clock.monotonic()
        with self._lock:
            return self._gate.is_current(
                now, self._own_data_centre, self.data_centres_of_others
            )

    def _advance(self, revision: int, known_at: float) -> bool:
        changed = revision > self._revision
        self._revision = max(self._revision, revision)
        self._known_at = max(self._known_at, known_at)
        return changed

    def _updates(self, sent_at: float, age_s: float) -> KnownVersion:
        # Whatever was the newest at that moment has been applied to the replica by now.
        document = self._replica.get(DOCUMENT_KEY)
        return KnownVersion(document.version, document.value.decode(), sent_at, age_s)

    def _tell(self, changed: bool) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener()
