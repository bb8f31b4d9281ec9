"""Decides which version of the document is in force here, and how long it may be used."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

__all__ = ['MAX_DOCUMENT_AGE_S', 'KnownVersion', 'VersionGate']

MAX_DOCUMENT_AGE_S = 2.5
"""Seconds for which a version may be used after it was last known to be the newest."""

_NEVER = float('-inf')


class KnownVersion(NamedTuple):
    """An answer of the store or a peer about the newest version.

    :param text: the document, or an empty string if only its version is known
    :param sent_at: local monotonic seconds at which the request was sent, plus the time for
        which a peer held the request before it answered
    :param age_s: seconds between the store's last confirmation to the peer and the peer's
        answer; 0 for the store itself; infinite if the peer cannot reach the store either
    """

    version: int
    text: str
    sent_at: float
    age_s: float = 0.0


class VersionGate:
    """The version in force in one daemon; only a newer version replaces it.

    New work may be given while the version in force is *current*. It is current if the store
    has confirmed it as the newest within ``MAX_DOCUMENT_AGE_S``, directly or through a peer;
    or, while the store is unreachable, if daemons in more than half of the data centres have
    answered within that time that they know no newer version.
    """

    def __init__(self) -> None:
        self.version = 0
        self.text = ''
        # The newest known version, and the local time at which it was known to be the newest.
        self._known_newest: tuple[int, float] = (0, _NEVER)
        # The version in the last answer from a data centre, and the latest ``sent_at``.
        self._answer_by_data_centre: dict[str, tuple[int, float]] = {}

    def apply_store_answer(self, answer: KnownVersion) -> bool:
        """Apply an answer of the store; return whether another version is in force now."""
        self._record_confirmation(answer)
        return self._replace_version(answer)

    def apply_peer_answer(self, data_centre: str, answer: KnownVersion) -> bool:
        """Apply an answer of a peer; return whether another version is in force now.

        :param data_centre: data centre of the peer
        """
        self._record_confirmation(answer)
        _, sent_at = self._answer_by_data_centre.get(data_centre, (0, _NEVER))
        self._answer_by_data_centre[data_centre] = (
            answer.version,
            max(sent_at, answer.sent_at),
        )
        return self._replace_version(answer)

    def age_s(self, now: float) -> float:
        """Return the seconds since the version in force was known to be the newest."""
        version, known_at = self._known_newest
        return now - known_at if version == self.version else float('inf')

    def is_current(
        self, now: float, own_data_centre: str, other_data_centres: Collection[str]
    ) -> bool:
        """Return whether new work may be given by the version in force.

        :param now: local monotonic seconds
        :param own_data_centre: data centre of this daemon
        :param other_data_centres: data centres of all other daemons; may include the own one
        """
        if self.age_s(now) <= MAX_DOCUMENT_AGE_S:
            return self.version > 0
        if self._known_newest[0] > self.version:
            return False
        data_centres = {own_data_centre, *other_data_centres}
        # The own data centre counts without an answer if no other daemon is in it.
        confirming = [
            name
            for name in data_centres
            if self._is_confirmed_by(name, now)
            or (name == own_data_centre and own_data_centre not in other_data_centres)
        ]
        return self.version > 0 and 2 * len(confirming) > len(data_centres)

    def _is_confirmed_by(self, data_centre: str, now: float) -> bool:
        version, sent_at = self._answer_by_data_centre.get(data_centre, (0, _NEVER))
        return 0 < version <= self.version and now - sent_at <= MAX_DOCUMENT_AGE_S

    def _replace_version(self, answer: KnownVersion) -> bool:
        if answer.version <= self.version or not answer.text:
            return False
        self.version, self.text = answer.version, answer.text
        return True

    def _record_confirmation(self, answer: KnownVersion) -> None:
        confirmed = (answer.version, answer.sent_at - answer.age_s)
        self._known_newest = max(self._known_newest, confirmed)
