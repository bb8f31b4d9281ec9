"""The state of a daemon's replica: which changes it has, and how old it is."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.operators import DOCUMENT_KEY, KnownVersion, VersionGate
from coltsfootstair.store import Replica, VersionedObject

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['PeerUpdate', 'ReplicaTracker']

UNKNOWN_REVISION = -1
"""Revision of a daemon that has neither read the store nor got an answer from one that has."""


class PeerUpdate(NamedTuple):
    """The complete answer of a peer.

    :param data_centre: data centre of the peer
    :param revision: revision up to which the peer has all changes
    :param known_at: local monotonic seconds; at this time or later the peer knew that the
        revision was the newest; ``None`` if it never knew it
    :param written_after: local monotonic seconds after which the peer wrote its answer
    """

    data_centre: str
    objects: list[VersionedObject]
    revision: int
    known_at: float | None
    written_after: float


class ReplicaTracker:
    """Applies answers of the store and of peers to the replica, and tracks its state.

    The state is the revision up to which the replica has all changes, and the time at which
    that revision was last known to be the newest. Safe for threads.
    """

    def __init__(self, replica: Replica, clock: Clock, own_data_centre: str) -> None:
        self._replica = replica
        self._clock = clock
        self._own_data_centre = own_data_centre
        self._document_gate = VersionGate()
        self._lock = threading.Lock()
        self._revision = UNKNOWN_REVISION
        self._known_at = float('-inf')
        self._listeners: list[Callable[[], None]] = []
        self.data_centres_of_others: frozenset[str] = frozenset()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the revision has increased, on the applying thread."""
        self._listeners.append(listener)

    @property
    def revision(self) -> int:
        """Revision up to which the replica has all changes; -1 if it is unknown."""
        return self._revision

    def apply_store_answer(
        self, objects: Iterable[VersionedObject], revision: int, sent_at: float
    ) -> None:
        """Apply all changes up to ``revision``.

        :param sent_at: monotonic seconds at which the call was sent; ``revision`` was the
            newest at some time after it
        """
        self._replica.apply(objects)
        with self._lock:
            changed = self._advance(revision, sent_at)
            self._document_gate.apply_store_answer(self._build_known_document(sent_at, 0.0))
        self._notify_listeners(changed)

    def apply_peer_answer(self, update: PeerUpdate) -> None:
        """Apply a peer's answer."""
        if update.revision == UNKNOWN_REVISION:
            return
        self._replica.apply(update.objects)
        known_at = float('-inf') if update.known_at is None else update.known_at
        with self._lock:
            changed = self._advance(update.revision, known_at)
            known_document = self._build_known_document(
                update.written_after, update.written_after - known_at
            )
            self._document_gate.apply_peer_answer(update.data_centre, known_document)
        self._notify_listeners(changed)

    def find_changes_after(self, after_revision: int) -> tuple[list[VersionedObject], int]:
        """Return the objects that changed after a revision, and the present revision."""
        with self._lock:
            revision = self._revision
        return self._replica.list_newer_than(after_revision), revision

    def age_s(self) -> float:
        """Return the seconds since the revision was last known to be the newest."""
        return self._clock.monotonic() - self._known_at

    def is_document_fresh(self) -> bool:
        """Return whether the operators' document in force may still be relied on."""
        now = self._clock.monotonic()
        with self._lock:
            return self._document_gate.is_current(
                now, self._own_data_centre, self.data_centres_of_others
            )

    def _advance(self, revision: int, known_at: float) -> bool:
        changed = revision > self._revision
        self._revision = max(self._revision, revision)
        self._known_at = max(self._known_at, known_at)
        return changed

    def _build_known_document(self, sent_at: float, age_s: float) -> KnownVersion:
        # The replica already has the version that was the newest at ``sent_at``.
        document = self._replica.get(DOCUMENT_KEY)
        return KnownVersion(document.version, document.value.decode(), sent_at, age_s)

    def _notify_listeners(self, changed: bool) -> None:
        if not changed:
            return
        for listener in self._listeners:
            listener()
