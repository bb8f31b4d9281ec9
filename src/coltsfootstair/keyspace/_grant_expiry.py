"""Until when each life of a backend server may hold keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.keyspace._table import Incarnation

__all__ = ['CLOCK_DRIFT_FACTOR', 'MAX_CALL_TRANSIT_S', 'GrantExpiries']

CLOCK_DRIFT_FACTOR = 1.02
"""How much longer a hold may last by a backend server's clock; stated by the platform."""

MAX_CALL_TRANSIT_S = 0.25
"""How long an order may be under way after its sender gave it up, in seconds; a bound on
the links' delay."""


class GrantExpiries:
    """Latest ends of the holds that were or may have been granted.

    :param unknown_until: the end that is assumed for holds that another keeper granted
    """

    def __init__(self, unknown_expiry: float) -> None:
        self._unknown_expiry = unknown_expiry
        self._expiry_by_incarnation: dict[Incarnation, float] = {}

    def limit_unknown_expiry(self, until: float) -> None:
        """Note that holds that another keeper granted end by ``until`` at the latest."""
        self._unknown_expiry = min(self._unknown_expiry, until)

    def on_grant_call_ended(
        self, incarnation: Incarnation, duration_s: float, ended_at: float
    ) -> None:
        """Note a grant whose call ended, answered or not, at ``ended_at``."""
        until = ended_at + MAX_CALL_TRANSIT_S + duration_s * CLOCK_DRIFT_FACTOR
        self._expiry_by_incarnation[incarnation] = max(
            self._expiry_by_incarnation.get(incarnation, 0.0), until
        )

    def get_expiry(self, incarnation: Incarnation) -> float:
        """Return the monotonic seconds after which ``life`` holds nothing."""
        return max(self._unknown_expiry, self._expiry_by_incarnation.get(incarnation, 0.0))
