"""Counts the backend servers that ended under each request, as all daemons saw it."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.peers import CrashReport, SuspectStatement

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coltsfootstair.clock import Clock

__all__ = ['HOLD_CRASH_COUNT', 'MAX_SUSPECTS', 'SuspectRequests', 'Verdict']

logger = structlog.get_logger()

HOLD_CRASH_COUNT = 3
"""Number of servers that must have ended under a request, one after the other, before it is
held back."""

CONVICTION_S = 3600.0
"""Time after the last crash from which a convicted request may be tried again, in seconds. A
further crash convicts it again."""

MEMORY_S = 24 * 3600.0
"""Time after the last crash from which a suspect is forgotten, in seconds."""

RUN_MEMORY_S = 60.0
"""For how long a run to the end is told to other daemons, in seconds."""

CLOCK_TOLERANCE_S = 0.05
"""Largest error of the times that one daemon tells another, in seconds."""

MAX_SUSPECTS = 2000
"""Number of suspects that are remembered; those with the fewest crashes are dropped first."""

MAX_CRASHES_OF_SUSPECT = 6
"""Number of crashes that are remembered of one suspect, the newest ones."""

MAX_STATEMENTS = 60
"""Most statements of changes in one message; further ones follow in the next."""

MAX_REPEATED_STATEMENTS = 6
"""Most older statements in one heartbeat, for daemons that have missed them."""

REPEAT_COUNT = 3
"""Number of reports that tell of a change, since datagrams may be lost."""

CHANGE_MEMORY_S = 2.0
"""For how long heartbeats tell of a change, in seconds."""

UNTOLD_S = 10.0
"""Age up to which a new keeper is told of a suspect with one crash, in seconds."""


class Verdict(enum.Enum):
    """What may be done with a request.

    - ``FREE``: it may be sent.
    - ``HELD``: servers ended under it; it may only be tried alone.
    - ``CONVICTED``: a server ended when it was tried alone; it is sent to none.
    """

    FREE = 'free'
    HELD = 'held'
    CONVICTED = 'convicted'


class _Crash(NamedTuple):
    """One server that ended while it ran a request.

    :param sent_at: monotonic time at which the request was sent to it, in seconds
    :param ended_at: monotonic time at which the exchange ended, in seconds
    :param is_trial: whether the request was tried alone
    """

    incarnation: tuple[str, int]
    sent_at: float
    ended_at: float
    is_trial: bool


class _Suspect:
    """What is known of one request by its fingerprint.

    :ivar run_at: monotonic time of its last run to the end, which clears it of crashes before
    """

    __slots__ = ('crash_by_incarnation', 'run_at')

    def __init__(self) -> None:
        self.crash_by_incarnation: dict[tuple[str, int], _Crash] = {}
        self.run_at = -math.inf

    @property
    def last_crash_at(self) -> float:
        return max(
            (crash.ended_at for crash in self.crash_by_incarnation.values()), default=-math.inf
        )

    @property
    def last_change_at(self) -> float:
        return max(self.run_at, self.last_crash_at)

    def count_crashes(self) -> int:
        """Count the crashes that came one after the other.

        Servers that end together, as in a power failure, count once: the request was sent to
        each of them before the others had ended.
        """
        count, last_ended_at = 0, -math.inf
        for crash in sorted(self.crash_by_incarnation.values(), key=lambda c: c.ended_at):
            if crash.sent_at >= last_ended_at - CLOCK_TOLERANCE_S:
                count += 1
                last_ended_at = crash.ended_at
        return count

    def drop_cleared(self) -> None:
        """Drop the crashes before the last run, and the oldest of too many."""
        newest = sorted(
            (
                crash
                for crash in self.crash_by_incarnation.values()
                if crash.ended_at > self.run_at
            ),
            key=lambda crash: crash.ended_at,
        )[-MAX_CRASHES_OF_SUSPECT:]
        self.crash_by_incarnation = {crash.incarnation: crash for crash in newest}


class SuspectRequests:
    """The requests under which servers ended, by fingerprint.

    All daemons hold the same records and merge them in any order: crashes add up, and a run to
    the end clears all crashes before it.

    :param count: counts what happens to suspects, by outcome
    """

    def __init__(self, clock: Clock, count: Callable[[str], None] = lambda _: None) -> None:
        self._clock = clock
        self._count = count
        self._suspect_by_fingerprint: dict[bytes, _Suspect] = {}
        self._on_change: list[Callable[[], None]] = []
        self._on_crashes_changed: list[Callable[[], None]] = []
        self._turn = 0
        # Number of reports that have told of a change.
        self._told_count_by_fingerprint: dict[bytes, int] = {}
        # The last change comes last.
        self._changed_at_by_fingerprint: dict[bytes, float] = {}
        # Suspects with several crashes, as an ordered set: the values are ``None``.
        self._repeated: dict[bytes, None] = {}
        self._verdict_by_fingerprint: dict[bytes, Verdict] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected."""
        return not self._suspect_by_fingerprint

    @property
    def convicted_count(self) -> int:
        """Number of fingerprints that are sent to no server now."""
        return sum(
            self.judge([fingerprint]) is Verdict.CONVICTED
            for fingerprint in self._verdict_by_fingerprint
        )

    @property
    def has_verdicts(self) -> bool:
        """Whether any request may not be sent as others are."""
        return bool(self._verdict_by_fingerprint)

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` when this daemon has seen a crash, or a run of a suspect."""
        self._on_change.append(on_change)

    def subscribe_crashes(self, on_crashes_changed: Callable[[], None]) -> None:
        """Call ``on_crashes_changed`` when the known crashes change, whoever has seen them."""
        self._on_crashes_changed.append(on_crashes_changed)

    def judge(self, fingerprints: Iterable[bytes]) -> Verdict:
        """Return what may be done with a request; the strictest verdict counts."""
        verdict = Verdict.FREE
        for fingerprint in fingerprints:
            match self._verdict_by_fingerprint.get(fingerprint):
                case Verdict.CONVICTED if self._get_conviction_left_s(fingerprint) > 0:
                    return Verdict.CONVICTED
                case Verdict.CONVICTED | Verdict.HELD:
                    verdict = Verdict.HELD
        return verdict

    def get_conviction_left_s(self, fingerprints: Iterable[bytes]) -> float:
        """Return the seconds until a convicted request may be tried again."""
        return max(map(self._get_conviction_left_s, fingerprints))

    def _get_conviction_left_s(self, fingerprint: bytes) -> float:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.last_crash_at + CONVICTION_S - self._clock.monotonic())

    def has_crashes(self, fingerprints: Iterable[bytes]) -> bool:
        """Whether any server ended under a request after its last run to the end."""
        return any(
            suspect is not None and bool(suspect.crash_by_incarnation)
            for suspect in map(self._suspect_by_fingerprint.get, fingerprints)
        )

    def record_crash(
        self,
        fingerprints: Iterable[bytes],
        incarnation: tuple[str, int],
        sent_at: float,
        ended_at: float,
        *,
        is_trial: bool = False,
    ) -> None:
        """Record that a server ended while it ran a request of this daemon."""
        self._count('crash')
        for fingerprint in fingerprints:
            self._merge(
                fingerprint, [_Crash(incarnation, sent_at, ended_at, is_trial)], -math.inf
            )
            self._told_count_by_fingerprint[fingerprint] = 0
        self._notify()

    def record_run(self, fingerprints: Iterable[bytes]) -> None:
        """Record that a server has run a request to its end."""
        self._clear(fingerprints, 'cleared')

    def lift(self, fingerprints: Iterable[bytes]) -> None:
        """Forget the crashes of requests whose verdict operators have lifted."""
        self._clear(fingerprints, 'lifted')

    def _clear(self, fingerprints: Iterable[bytes], outcome: str) -> None:
        is_changed = False
        for fingerprint in fingerprints:
            suspect = self._suspect_by_fingerprint.get(fingerprint)
            if suspect is not None and suspect.crash_by_incarnation:
                self._merge(fingerprint, [], self._clock.monotonic())
                self._told_count_by_fingerprint[fingerprint] = 0
                is_changed = True
        if is_changed:
            self._count(outcome)
            self._notify()

    def apply(self, statements: Iterable[SuspectStatement]) -> None:
        """Merge what another daemon knows."""
        now = self._clock.monotonic()
        for statement in statements:
            crashes = [
                _Crash(
                    crash.incarnation,
                    now - crash.sent_age_s,
                    now - crash.ended_age_s,
                    crash.is_trial,
                )
                for crash in statement.crashes
            ]
            run_at = -math.inf if statement.run_age_s is None else now - statement.run_age_s
            self._merge(statement.fingerprint, crashes, run_at)

    def list_changed(self) -> list[SuspectStatement]:
        """Return what the keeper may not know yet, the most crashes first."""
        self._forget_old()
        untold = sorted(
            self._told_count_by_fingerprint.items(),
            key=lambda item: (item[1], -self._count_known_crashes(item[0])),
        )[:MAX_STATEMENTS]
        for fingerprint, told_count in untold:
            if told_count + 1 < REPEAT_COUNT:
                self._told_count_by_fingerprint[fingerprint] = told_count + 1
            else:
                del self._told_count_by_fingerprint[fingerprint]
        return [self._state(fingerprint) for fingerprint, _ in untold]

    def list_next(self) -> list[SuspectStatement]:
        """Return recent changes, and repeated suspects in turn, for other daemons."""
        now = self._clock.monotonic()
        changed = self._changed_at_by_fingerprint
        while changed:
            oldest = next(iter(changed))
            if now - changed[oldest] <= CHANGE_MEMORY_S:
                break
            del changed[oldest]
        repeated = list(self._repeated)
        changed_now = sorted(changed, key=lambda one: one not in self._repeated)
        chosen = self._take_turn(repeated, MAX_REPEATED_STATEMENTS) + self._take_turn(
            changed_now, MAX_STATEMENTS
        )
        self._turn += 1
        return [self._state(fingerprint) for fingerprint in dict.fromkeys(chosen)]

    def list_crashes(self, max_count: int) -> list[SuspectStatement]:
        """Return suspects with their crashes: those with the most, then the newest ones."""
        self._forget_old()
        most_first = sorted(
            (
                fingerprint
                for fingerprint, suspect in self._suspect_by_fingerprint.items()
                if suspect.crash_by_incarnation
            ),
            key=lambda fingerprint: (
                -self._count_known_crashes(fingerprint),
                -self._suspect_by_fingerprint[fingerprint].last_crash_at,
            ),
        )
        return [self._state(fingerprint) for fingerprint in most_first[:max_count]]

    def tell_again(self) -> None:
        """Tell a new keeper, which may know nothing, of repeated suspects and new ones."""
        now = self._clock.monotonic()
        for fingerprint, suspect in self._suspect_by_fingerprint.items():
            if fingerprint in self._repeated or now - suspect.last_change_at <= UNTOLD_S:
                self._told_count_by_fingerprint[fingerprint] = 0

    def _take_turn(self, fingerprints: list[bytes], count: int) -> list[bytes]:
        if len(fingerprints) <= count:
            return fingerprints
        start = self._turn * count % len(fingerprints)
        return (fingerprints[start:] + fingerprints[:start])[:count]

    def _count_known_crashes(self, fingerprint: bytes) -> int:
        return len(self._suspect_by_fingerprint[fingerprint].crash_by_incarnation)

    def _state(self, fingerprint: bytes) -> SuspectStatement:
        suspect = self._suspect_by_fingerprint[fingerprint]
        now = self._clock.monotonic()
        return SuspectStatement(
            fingerprint,
            [
                CrashReport(
                    crash.incarnation,
                    round(now - crash.sent_at, 4),
                    round(now - crash.ended_at, 4),
                    crash.is_trial,
                )
                for crash in suspect.crash_by_incarnation.values()
            ],
            None if math.isinf(suspect.run_at) else round(now - suspect.run_at, 4),
        )

    def _merge(self, fingerprint: bytes, crashes: list[_Crash], run_at: float) -> None:
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None:
            self._drop_least()
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect()
        known = set(suspect.crash_by_incarnation)
        known_run_at = suspect.run_at
        suspect.run_at = max(suspect.run_at, run_at)
        for crash in crashes:
            suspect.crash_by_incarnation.setdefault(crash.incarnation, crash)
        suspect.drop_cleared()
        if set(suspect.crash_by_incarnation) == known and suspect.run_at <= known_run_at + 1.0:
            return
        self._changed_at_by_fingerprint.pop(fingerprint, None)
        self._changed_at_by_fingerprint[fingerprint] = self._clock.monotonic()
        if len(suspect.crash_by_incarnation) > 1:
            self._repeated[fingerprint] = None
        else:
            self._repeated.pop(fingerprint, None)
        self._update_verdict(fingerprint, suspect)
        for on_crashes_changed in self._on_crashes_changed:
            on_crashes_changed()

    def _update_verdict(self, fingerprint: bytes, suspect: _Suspect) -> None:
        if suspect.count_crashes() < HOLD_CRASH_COUNT:
            verdict = Verdict.FREE
        elif any(crash.is_trial for crash in suspect.crash_by_incarnation.values()):
            verdict = Verdict.CONVICTED
        else:
            verdict = Verdict.HELD
        previous = self._verdict_by_fingerprint.pop(fingerprint, Verdict.FREE)
        if verdict is not Verdict.FREE:
            self._verdict_by_fingerprint[fingerprint] = verdict
        if verdict is not previous:
            self._count(verdict.value)
            logger.warning(
                'verdict on request that ended its servers',
                verdict=verdict.value,
                previous=previous.value,
                fingerprint=fingerprint.hex(),
                servers=[incarnation[0] for incarnation in suspect.crash_by_incarnation],
            )

    def _drop_least(self) -> None:
        """Make room for a tenth more suspects if there are too many."""
        if len(self._suspect_by_fingerprint) < MAX_SUSPECTS:
            return
        least_first = sorted(
            self._suspect_by_fingerprint,
            key=lambda fingerprint: (
                self._count_known_crashes(fingerprint),
                self._suspect_by_fingerprint[fingerprint].last_change_at,
            ),
        )
        for fingerprint in least_first[: MAX_SUSPECTS // 10]:
            self._forget(fingerprint)

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            memory_s = MEMORY_S if suspect.crash_by_incarnation else RUN_MEMORY_S
            if now - suspect.last_change_at > memory_s:
                self._forget(fingerprint)

    def _forget(self, fingerprint: bytes) -> None:
        del self._suspect_by_fingerprint[fingerprint]
        for by_fingerprint in (
            self._verdict_by_fingerprint,
            self._told_count_by_fingerprint,
            self._changed_at_by_fingerprint,
            self._repeated,
        ):
            by_fingerprint.pop(fingerprint, None)

    def _notify(self) -> None:
        for on_change in self._on_change:
            on_change()
