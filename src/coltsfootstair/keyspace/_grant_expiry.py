"""Until when each life of a backend server may hold keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.keyspace._table import Life

__all__ = ['CLOCK_RATE', 'TRANSIT_S', 'GrantExpiries']

CLOCK_RATE = 1.02
"""How much longer a hold may last by a backend server's clock; stated by the platform."""

TRANSIT_S = 0.25
"""How long an order may be under way after its sender gave it up, in seconds; a bound on
the links' delay."""


class GrantExpiries:
    """Latest ends of the holds that were or may have been granted.

    :param unknown_until: the end that is assumed for holds that another keeper granted
    """

    def __init__(self, unknown_until: float) -> None:
        self._unknown_until = unknown_until
        self._until_by_life: dict[Life, float] = {}

    def bound_unknown(self, until: float) -> None:
        """Note that holds that another keeper granted end by ``until`` at the latest."""
        self._unknown_until = min(self._unknown_until, until)

    def granted(self, life: Life, hold_s: float, ended_at: float) -> None:
        """Note a grant whose call ended, answered or not, at ``ended_at``."""
        until = ended_at + TRANSIT_S + hold_s * CLOCK_RATE
        self._until_by_life[life] = max(self._until_by_life.get(life, 0.0), until)

    def until(self, life: Life) -> float:
        """Return the monotonic seconds after which ``life`` holds nothing."""
        return max(self._unknown_until, self._until_by_life.get(life, 0.0))
