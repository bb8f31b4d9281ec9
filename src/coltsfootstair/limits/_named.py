"""Limits that backend servers have named in their answers."""

from __future__ import annotations

import itertools
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

MAX_RECENT_STATEMENTS = 60
"""Most recent statements in one message; further ones follow in the next."""

MAX_CHANGED = 600
"""Most changes among which heartbeats take turns."""

MAX_REPEATED_STATEMENTS = 30
"""Most older statements in one heartbeat, for daemons that have missed them."""


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
        self._turn = 0
        self._known: list[tuple[str, int]] = []
        # The last change comes last.
        self._changed_at_by_incarnation: dict[tuple[str, int], float] = {}

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
        """Return statements of the last ``REPEAT_S``, for the keeper; in turn if many."""
        now = self._clock.monotonic()
        recent = [
            incarnation
            for incarnation, newest in self._newest_by_incarnation.items()
            if now - newest.observed_at <= REPEAT_S
        ]
        return self._state(self._take_turn(recent, MAX_RECENT_STATEMENTS))

    def list_next(self) -> list[LimitStatement]:
        """Return recent changes, and all other statements in turn, for other daemons."""
        now = self._clock.monotonic()
        while self._changed_at_by_incarnation:
            oldest = next(iter(self._changed_at_by_incarnation))
            if now - self._changed_at_by_incarnation[oldest] <= REPEAT_S:
                break
            del self._changed_at_by_incarnation[oldest]
        changed = list(itertools.islice(self._changed_at_by_incarnation, MAX_CHANGED))
        others = self._take_turn(self._known, MAX_REPEATED_STATEMENTS)
        return self._state(
            dict.fromkeys(self._take_turn(changed, MAX_RECENT_STATEMENTS) + others)
        )

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
                self._known.remove(incarnation)
                del self._gone_since_by_incarnation[incarnation]
                self._malformed_by_incarnation.pop(incarnation, None)

    def _take_turn(
        self, incarnations: list[tuple[str, int]], count: int
    ) -> list[tuple[str, int]]:
        if len(incarnations) <= count:
            return incarnations
        self._turn += 1
        start = self._turn * count % len(incarnations)
        return [
            *incarnations[start : start + count],
            *incarnations[: max(0, start + count - len(incarnations))],
        ]

    def _state(self, incarnations: Iterable[tuple[str, int]]) -> list[LimitStatement]:
        now = self._clock.monotonic()
        statements = []
        for incarnation in incarnations:
            newest = self._newest_by_incarnation.get(incarnation)
            if newest is not None:
                age_s = round(now - newest.observed_at, 3)
                statements.append(LimitStatement(incarnation, newest.limit_per_s, age_s))
        return statements

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
        if incarnation not in self._newest_by_incarnation:
            self._known.append(incarnation)
        self._newest_by_incarnation[incarnation] = LimitObservation(limit_per_s, observed_at)
        if limit_per_s != previous:
            self._changed_at_by_incarnation.pop(incarnation, None)
            self._changed_at_by_incarnation[incarnation] = self._clock.monotonic()
            logger.info(
                'backend server limited'
                if limit_per_s is not None
                else 'limit of backend server ended',
                server=incarnation[0],
                limit_per_s=limit_per_s,
                previous_per_s=previous,
            )
