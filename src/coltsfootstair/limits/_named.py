"""Limits that backend servers have named in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['LimitObservation', 'NamedLimits']

logger = structlog.get_logger()


class LimitObservation(NamedTuple):
    """What an answer of a backend server stated.

    :param limit_per_s: requests a second that it takes from all daemons together; ``None`` if
        it named no limit
    :param observed_at: monotonic time at which the answer came, in seconds
    """

    limit_per_s: float | None
    observed_at: float


class NamedLimits:
    """The newest observation of each incarnation that has named a limit.

    :param count_observation: counts answers by what they state of a limit
    """

    def __init__(
        self, clock: Clock, count_observation: Callable[[str], None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._count_observation = count_observation
        self._newest_by_incarnation: dict[tuple[str, int], LimitObservation] = {}
        # So that equal malformed values of one server are logged once.
        self._malformed_by_incarnation: dict[tuple[str, int], bytes] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server has ever named a limit."""
        return not self._newest_by_incarnation

    def get(self, incarnation: tuple[str, int]) -> float | None:
        """Return the limit in force, in requests per second; ``None`` if there is none."""
        newest = self._newest_by_incarnation.get(incarnation)
        return None if newest is None else newest.limit_per_s

    def name(self, incarnation: tuple[str, int], limit_per_s: float) -> None:
        """Record that an answer has just named a limit."""
        self._count_observation('named')
        self._put(incarnation, limit_per_s)

    def end(self, incarnation: tuple[str, int]) -> None:
        """Record that an answer without a limit has just come."""
        if self.get(incarnation) is not None:
            self._count_observation('ended')
            self._put(incarnation, None)

    def refuse_malformed(self, incarnation: tuple[str, int], value: bytes) -> None:
        """Record a limit that can't be read; the one in force stays."""
        self._count_observation('malformed')
        if self._malformed_by_incarnation.get(incarnation) != value:
            self._malformed_by_incarnation[incarnation] = value
            logger.warning(
                'limit of backend server ignored: malformed',
                server=incarnation[0],
                value=value.decode('latin-1'),
            )

    def list_limited(self) -> list[tuple[str, int]]:
        """Return the incarnations that have a limit in force."""
        return [
            incarnation
            for incarnation, newest in self._newest_by_incarnation.items()
            if newest.limit_per_s is not None
        ]

    def forget(self, incarnation: tuple[str, int]) -> None:
        """Drop what is known of an incarnation that has ended."""
        self._newest_by_incarnation.pop(incarnation, None)
        self._malformed_by_incarnation.pop(incarnation, None)

    def _put(self, incarnation: tuple[str, int], limit_per_s: float | None) -> None:
        previous = self.get(incarnation)
        now = self._clock.monotonic()
        self._newest_by_incarnation[incarnation] = LimitObservation(limit_per_s, now)
        if limit_per_s != previous:
            logger.info(
                'backend server limited'
                if limit_per_s is not None
                else 'limit of backend server ended',
                server=incarnation[0],
                limit_per_s=limit_per_s,
                previous_per_s=previous,
            )
