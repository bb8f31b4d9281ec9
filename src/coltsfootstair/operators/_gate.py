"""Decides which version of the document is in force here, and how long it may be used."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

__all__ = ['MAX_AGE_S', 'KnownVersion', 'VersionGate']

MAX_AGE_S = 2.5
"""How long a version may be used after it was last known to be the newest, in seconds."""

_NEVER = float('-inf')


class KnownVersion(NamedTuple):
    """What the store or a peer said about the newest version.

    :param text: the document, or an empty string if only its version is known
    :param sent_at: monotonic seconds of this daemon at which it asked
    :param age_s: how long before its answer the publisher knew this itself; 0 for the store;
        infinite if the publisher can't reach the store either
    """

    version: int
    text: str
    sent_at: float
    age_s: float = 0.0


class VersionGate:
    """The version in force in one daemon: a newer one replaces it, an older one never does.

    New work may be given while the version in force is *current*. Two things show that it
    is: the store's word within ``MAX_AGE_S``, at first or second hand; or, while the store
    is down, answers of daemons in most data centres that they know of nothing newer.
    """

    def __init__(self) -> None:
        self.version = 0
        self.text = ''
        self._known_newest: tuple[int, float] = (0, _NEVER)
        self._heard_by_centre: dict[str, tuple[int, float]] = {}

    def apply_store_answer(self, updates: KnownVersion) -> bool:
        """Take the store's answer; true if another version is in force now."""
        self._confirm(updates)
        return self._replace(updates)

    def apply_peer_answer(self, data_centre: str, updates: KnownVersion) -> bool:
        """Take a peer's answer; true if another version is in force now."""
        self._confirm(updates)
        _, heard_at = self._heard_by_centre.get(data_centre, (0, _NEVER))
        self._heard_by_centre[data_centre] = (updates.version, max(heard_at, updates.sent_at))
        return self._replace(updates)

    def age_s(self, now: float) -> float:
        """Return the seconds since the version in force was known to be the newest."""
        version, at = self._known_newest
        return now - at if version == self.version else float('inf')

    def is_current(self, now: float, own: str, others: Collection[str]) -> bool:
        """Return whether new work may be given on the strength of the version in force.

        :param own: this daemon's data centre
        :param others: the data centres in which there are other daemons
        """
        if self.age_s(now) <= MAX_AGE_S:
            return self.version > 0
        if self._known_newest[0] > self.version:
            return False
        centres = {own, *others}
        vouching = [
            one
            for one in centres
            if self._vouches(one, now) or (one == own and own not in others)
        ]
        return self.version > 0 and 2 * len(vouching) > len(centres)

    def _vouches(self, data_centre: str, now: float) -> bool:
        version, heard_at = self._heard_by_centre.get(data_centre, (0, _NEVER))
        return 0 < version <= self.version and now - heard_at <= MAX_AGE_S

    def _replace(self, updates: KnownVersion) -> bool:
        if updates.version <= self.version or not updates.text:
            return False
        self.version, self.text = updates.version, updates.text
        return True

    def _confirm(self, updates: KnownVersion) -> None:
        confirmed = (updates.version, updates.sent_at - updates.age_s)
        self._known_newest = max(self._known_newest, confirmed)
