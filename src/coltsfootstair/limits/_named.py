"""Limits that backend servers have named in their answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.peers import LimitStatement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coltsfootstair.clock import Clock

__all__ = ['LimitObservation', 'NamedLimits']

logger = structlog.get_logger()

MEMORY_S = 60.0
"""How long the limit of an incarnation is remembered after its entry is gone, in seconds, in
case the entry comes back."""

REPEAT_S = 1.0
"""For how long after an answer its statement is told in each message, in seconds, so that the
loss of some messages does not matter."""

MAX_STATEMENTS = 100
"""Most statements in one message; further ones follow in the next."""


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
        self._gone_since_by_incarnation: dict[tuple[str, int], float] = {}
        self._on_change: list[Callable[[], None]] = []
        self._told_count = 0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` when an answer to this daemon changes a limit."""
        self._on_change.append(on_change)

    def get(self, incarnation: tuple[str, int]) -> float | None:
        """Return the limit in force, in requests per second; ``None`` if there is none."""
        newest = self._newest_by_incarnation.get(incarnation)
        return None if newest is None else newest.limit_per_s

    def get_age_s(self, incarnation: tuple[str, int]) -> float:
        """Return the seconds since the answer that decides; infinite if there is none."""
        newest = self._newest_by_incarnation.get(incarnation)
        return math.inf if newest is None else self._clock.monotonic() - newest.observed_at

    def name(self, incarnation: tuple[str, int], limit_per_s: float) -> None:
        """Record that an answer has just named a limit."""
        self._count_observation('named')
        self._observe(incarnation, limit_per_s)

    def end(self, incarnation: tuple[str, int]) -> None:
        """Record that an answer without a limit has just come."""
        if self.get(incarnation) is not None:
            self._count_observation('ended')
            self._observe(incarnation, None)

    def apply(self, statements: Iterable[LimitStatement]) -> None:
        """Apply what answers to other daemons stated, where it is newer."""
        now = self._clock.monotonic()
        for statement in statements:
            newest = self._newest_by_incarnation.get(statement.incarnation)
            observed_at = now - statement.age_s
            if newest is None or observed_at > newest.observed_at:
                self._put(statement.incarnation, statement.limit_per_s, observed_at)

    def list_recent(self) -> list[LimitStatement]:
        """Return the newest statements of the last ``REPEAT_S``, for the keeper."""
        return self._list_statements(REPEAT_S)[:MAX_STATEMENTS]

    def list_next(self) -> list[LimitStatement]:
        """Return the recent statements and limits in force, in turn, for other daemons."""
        statements = self._list_statements(math.inf)
        if len(statements) <= MAX_STATEMENTS:
            return statements
        start = self._told_count % len(statements)
        self._told_count += MAX_STATEMENTS
        return (statements[start:] + statements[:start])[:MAX_STATEMENTS]

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

    def forget_ended(self, is_known: Callable[[tuple[str, int]], bool]) -> None:
        """Forget the incarnations whose entries have been gone for ``MEMORY_S``.

        :param is_known: returns whether an incarnation has an entry
        """
        now = self._clock.monotonic()
        for incarnation in list(self._newest_by_incarnation):
            if is_known(incarnation):
                self._gone_since_by_incarnation.pop(incarnation, None)
                continue
            gone_since = self._gone_since_by_incarnation.setdefault(incarnation, now)
            if now - gone_since >= MEMORY_S:
                del self._newest_by_incarnation[incarnation]
                del self._gone_since_by_incarnation[incarnation]
                self._malformed_by_incarnation.pop(incarnation, None)

    def _list_statements(self, max_age_s: float) -> list[LimitStatement]:
        now = self._clock.monotonic()
        newest_first = sorted(
            self._newest_by_incarnation.items(),
            key=lambda item: item[1].observed_at,
            reverse=True,
        )
        return [
            LimitStatement(incarnation, newest.limit_per_s, round(now - newest.observed_at, 3))
            for incarnation, newest in newest_first
            if now - newest.observed_at <= max_age_s
        ]

    def _observe(self, incarnation: tuple[str, int], limit_per_s: float | None) -> None:
        is_changed = self.get(incarnation) != limit_per_s
        self._put(incarnation, limit_per_s, self._clock.monotonic())
        if is_changed:
            for on_change in self._on_change:
                on_change()

    def _put(
        self, incarnation: tuple[str, int], limit_per_s: float | None, observed_at: float
    ) -> None:
        previous = self.get(incarnation)
        self._newest_by_incarnation[incarnation] = LimitObservation(limit_per_s, observed_at)
        if limit_per_s != previous:
            logger.info(
                'backend server limited'
                if limit_per_s is not None
                else 'limit of backend server ended',
                server=incarnation[0],
                limit_per_s=limit_per_s,
                previous_per_s=previous,
            )
