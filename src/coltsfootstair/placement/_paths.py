"""State of this daemon's network paths to the backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock

__all__ = ['ServerPaths']

logger = structlog.get_logger()

Incarnation = tuple[str, int]

MIN_LOST_COUNT = 2
"""Number of lost paths from which a daemon may count as cut off; one may be due to its
server."""

CUT_OFF_SHARE = 0.5
"""Share of the paths in use that must be lost for a daemon to count as cut off."""

MAX_ANSWER_AGE_S = 1.5
"""Age of the last answer up to which a path counts as in use, in seconds."""


class ServerPaths:
    """Records on which paths answers come and on which requests or connections fail.

    A path is lost from the first failure after the last answer. A failure alone does not tell
    whether the path or its server is at fault.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at_by_incarnation: dict[Incarnation, float] = {}
        self._lost_since_by_incarnation: dict[Incarnation, float] = {}

    def record_answer(self, incarnation: Incarnation) -> None:
        """Record that a server has answered or accepted a connection."""
        self._answered_at_by_incarnation[incarnation] = self._clock.monotonic()
        lost_since = self._lost_since_by_incarnation.pop(incarnation, None)
        if lost_since is not None:
            lost_s = round(self._clock.monotonic() - lost_since, 2)
            logger.info('path regained', server=incarnation[0], lost_s=lost_s)

    def record_failure(self, incarnation: Incarnation, sign: str) -> None:
        """Record a failed connection, or a request that the server's TCP did not take.

        :param sign: what failed, for the log
        """
        if incarnation not in self._lost_since_by_incarnation:
            self._lost_since_by_incarnation[incarnation] = self._clock.monotonic()
            logger.info('path lost', server=incarnation[0], sign=sign)

    def is_lost(self, incarnation: Incarnation) -> bool:
        """Whether nothing has come from a server since a request or connection failed."""
        return incarnation in self._lost_since_by_incarnation

    def is_good(self, incarnation: Incarnation) -> bool:
        """Whether a server has answered recently and nothing has failed since."""
        answered_at = self._answered_at_by_incarnation.get(incarnation)
        return (
            answered_at is not None
            and incarnation not in self._lost_since_by_incarnation
            and self._clock.monotonic() - answered_at <= MAX_ANSWER_AGE_S
        )

    def list_lost(self) -> list[Incarnation]:
        """Return the servers to which the path is lost."""
        return list(self._lost_since_by_incarnation)

    @property
    def is_cut_off(self) -> bool:
        """Whether most of the paths in use are lost."""
        lost_count = len(self._lost_since_by_incarnation)
        if lost_count < MIN_LOST_COUNT:
            return False
        good_count = sum(map(self.is_good, self._answered_at_by_incarnation))
        return lost_count >= CUT_OFF_SHARE * (lost_count + good_count)

    def forget_ended(self, has_entry: Callable[[Incarnation], bool]) -> None:
        """Forget the servers that have no entry."""
        for by_incarnation in (
            self._answered_at_by_incarnation,
            self._lost_since_by_incarnation,
        ):
            for incarnation in list(by_incarnation):
                if not has_entry(incarnation):
                    del by_incarnation[incarnation]
