"""Latest time at which each incarnation of a backend server may still have a grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.keyspace._table import Incarnation

__all__ = ['CLOCK_DRIFT_FACTOR', 'MAX_LATE_ARRIVAL_S', 'GrantExpiries']

CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which a grant may last longer because the clock of the backend server is slow;
the platform states this limit."""

MAX_LATE_ARRIVAL_S = 0.25
"""Longest time after the sender's timeout at which a grant call may still arrive, in seconds;
a limit on the delay of the network."""


class GrantExpiries:
    """Latest possible expiry of all grants, including those whose call was not answered.

    :param inherited_expiry: latest expiry of grants of previous keepers, in monotonic seconds
    """

    def __init__(self, inherited_expiry: float) -> None:
        self._inherited_expiry = inherited_expiry
        self._expiry_by_incarnation: dict[Incarnation, float] = {}

    def lower_inherited_expiry(self, expiry: float) -> None:
        """Lower the latest expiry of grants of previous keepers to ``expiry``."""
        self._inherited_expiry = min(self._inherited_expiry, expiry)

    def on_grant_call_ended(
        self, incarnation: Incarnation, duration_s: float, ended_at: float
    ) -> None:
        """Extend the expiry after a grant call that ended, answered or not, at ``ended_at``.

        :param duration_s: grant duration of the call, in seconds
        """
        expiry = ended_at + MAX_LATE_ARRIVAL_S + duration_s * CLOCK_DRIFT_FACTOR
        self._expiry_by_incarnation[incarnation] = max(
            self._expiry_by_incarnation.get(incarnation, 0.0), expiry
        )

    def get_expiry(self, incarnation: Incarnation) -> float:
        """Return the monotonic time after which ``incarnation`` has no grant in force."""
        return max(self._inherited_expiry, self._expiry_by_incarnation.get(incarnation, 0.0))
