"""Port to the store's objects, which are grouped by kind."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from coltsfootstair.objects._delta import Delta

__all__ = [
    'Change',
    'Listing',
    'ObjectStore',
    'RelayedChanges',
    'RelayedDelta',
    'Revision',
    'StoredObject',
    'UnreadableValue',
    'WatchAnswer',
    'compose_revision',
    'era_of',
    'number_of',
]

Revision = int
"""Era of the store and revision within it as one number, so that each state of a later era
comes after all states of earlier ones; see ``compose_revision``. 0 comes before all."""

_NUMBER_BITS = 40


def compose_revision(era: int, number: int) -> Revision:
    """Return the revision ``number`` of the store's ``era``.

    The era rises each time the store comes back from an older copy, whose numbers are given
    out again.
    """
    return era << _NUMBER_BITS | number


def era_of(revision: Revision) -> int:
    """Return the era of the store to which ``revision`` belongs."""
    return revision >> _NUMBER_BITS


def number_of(revision: Revision) -> int:
    """Return the store's own number of ``revision`` within its era."""
    return revision & ((1 << _NUMBER_BITS) - 1)


@dataclasses.dataclass(frozen=True)
class UnreadableValue:
    """Stands in for the content of an object that can't be decoded.

    :param reason: why it can't be, for people
    """

    reason: str


class StoredObject(NamedTuple):
    """An object at one revision.

    :param value: the decoded content; of any type, since other programs write objects too, and
        an ``UnreadableValue`` if it can't be decoded. It can be sent to other daemons: numbers
        are finite and whole ones have 64 bits, texts can be encoded, nesting is bounded.
    """

    name: str
    revision: Revision
    value: Any


class Listing(NamedTuple):
    """All objects of a kind, read in one or several pages.

    :param revision: revision up to which all changes are in it
    :param newest_revision: revision after which no change is in it; 0 if there is none past
        ``revision``. Of the changes between the two, those of some pages are in it.
    """

    objects: list[StoredObject]
    revision: Revision
    newest_revision: Revision = 0

    @classmethod
    def of_pages(cls, objects: list[StoredObject], revisions: list[Revision]) -> Listing:
        """Return the list whose pages were read at ``revisions``, in any order."""
        return cls(objects, min(revisions), max(revisions))


class Change(NamedTuple):
    """One change of an object.

    :param deleted: whether the object was deleted; ``object.value`` is then its last value, or
        ``None`` if the store does not send it
    :param before: the object before the change, if its follower keeps it
    """

    object: StoredObject
    deleted: bool
    before: StoredObject | None = None


class WatchAnswer(NamedTuple):
    """Answer to a watch.

    :param changes: in the order in which they occurred
    :param revision: revision after which the next watch continues
    """

    changes: list[Change]
    revision: Revision


class RelayedChanges(NamedTuple):
    """Changes of ``kind`` after ``after_revision``, up to and including ``revision``.

    :param is_difference: whether ``changes`` are only what the state at ``revision`` differs
        in from the one at ``after_revision``, as after a list. Who knows a state between the
        two may know an object that came and went in the meantime, and would keep it.
    """

    kind: str
    after_revision: Revision
    revision: Revision
    changes: list[Change]
    is_difference: bool = False


class RelayedDelta(NamedTuple):
    """A change of one object after ``after_revision``, the only one up to ``revision``.

    :param before_revision: revision of the object that ``delta`` changes
    :param object_revision: revision of the changed object
    :param is_difference: as of ``RelayedChanges``
    """

    kind: str
    after_revision: Revision
    revision: Revision
    name: str
    before_revision: Revision
    object_revision: Revision
    delta: Delta
    is_difference: bool = False


class ObjectStore(Protocol):
    """Store of objects with revisions, conditional updates and watches.

    Every call raises ``StoreUnavailableError`` if no answer arrives in time; a change may
    then have taken effect, or may still take effect later. It raises ``UnusableAnswerError``
    if the store did answer, but nothing can be made of the answer.

    The store may come back from an older copy of itself. What was written since is then lost,
    and a new era begins. An answer of an earlier era counts as none.

    """

    @property
    def era(self) -> int:
        """Latest era of which an answer has come."""

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
        self, kind: str, name: str, value: Any, *, expected_revision: Revision
    ) -> StoredObject:
        """Replace an object that is at ``expected_revision``.

        :raises StoreConflictError: the object is at another revision, possibly of another
            era, or was deleted
        """

    async def watch(
        self,
        kind: str,
        after_revision: Revision,
        wait_s: float,
        *,
        on_answer: Callable[[], None] | None = None,
        max_bytes: int | None = None,
    ) -> WatchAnswer:
        """Wait for changes after ``after_revision``.

        The answer has no changes if none occurs within ``wait_s``.

        :param wait_s: how long to wait for a change, in seconds
        :param on_answer: called when the answer begins to arrive
        :param max_bytes: size of the answer above which it is not read
        :raises AnswerTooLargeError: the answer is larger than ``max_bytes``
        :raises RevisionTooOldError: the store no longer has the changes after that revision,
            or the revision is of an earlier era
        """
