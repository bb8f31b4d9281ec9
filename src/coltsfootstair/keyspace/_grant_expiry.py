"""Until when each incarnation of a backend server may have granted keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.keyspace._table import Incarnation

__all__ = ['CLOCK_DRIFT_FACTOR', 'MAX_CALL_TRANSIT_S', 'GrantExpiries']

CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which a grant may last longer because the clock of the backend server is slow;
the platform states this limit."""

MAX_CALL_TRANSIT_S = 0.25
"""How long after its sender has timed out a grant call may still arrive, in seconds; a limit
on the delay of the network."""


class GrantExpiries:
    """Latest possible expiry of all grants, including those whose call was not answered.

    :param unknown_expiry: expiry that is assumed for grants of previous keepers, in monotonic
        seconds
    """

    def __init__(self, unknown_expiry: float) -> None:
        self._unknown_expiry = unknown_expiry
        self._expiry_by_incarnation: dict[Incarnation, float] = {}

    def limit_unknown_expiry(self, expiry: float) -> None:
        """Lower the expiry that is assumed for grants of previous keepers to ``expiry``."""
        self._unknown_expiry = min(self._unknown_expiry, expiry)

    def on_grant_call_ended(
        self, incarnation: Incarnation, duration_s: float, ended_at: float
    ) -> None:
        """Extend the expiry after a grant call that ended, answered or not, at ``ended_at``.

        :param duration_s: grant duration of the call, in seconds
        """
        expiry = ended_at + MAX_CALL_TRANSIT_S + duration_s * CLOCK_DRIFT_FACTOR
        self._expiry_by_incarnation[incarnation] = max(
            self._expiry_by_incarnation.get(incarnation, 0.0), expiry
        )

    def get_expiry(self, incarnation: Incarnation) -> float:
        """Return the monotonic time after which ``incarnation`` has no grant in force."""
        return max(self._unknown_expiry, self._expiry_by_incarnation.get(incarnation, 0.0))
