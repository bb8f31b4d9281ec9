"""Faults of a run, drawn from its seed.

The names of the classes, of their fields and of link states are written to fault files.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple, get_args

from tests.coltsfootstair_platform.odd_entries import ODD_FORMS

from soak._program import KEEPER_TASKS, TASKS
from soak._proxy import LinkState

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = [
    'FAULT_KINDS',
    'AddressReuse',
    'ConfigurationChange',
    'DaemonKill',
    'DaemonPause',
    'DaemonReload',
    'DaemonStop',
    'DataCentreCut',
    'Evacuation',
    'Fault',
    'HistoryLoss',
    'KillAll',
    'OddObjects',
    'ServerBusy',
    'ServerCrash',
    'ServerDrain',
    'ServerLeave',
    'ServerLink',
    'ServerMisbehaviour',
    'StoreLink',
    'StoreRestore',
    'TaskEnd',
    'draw_faults',
]

MIN_MEAN_INTERVAL_S, MAX_MEAN_INTERVAL_S = 0.6, 5.0
"""Range of a run's mean time between two faults, in seconds.

Faults last for some seconds. Small values make several of them overlap; large values leave
times without faults, in which time limits are checked.
"""

REPEATED_SHARE = 0.3
"""Share of the faults that occur again within 0.5 s, so that there are series of faults."""

SERIES_SHARE = 0.1
"""Share of the faults that come with a series of signals, restarts and changes."""

MAX_SERIES_DURATION_S = 2.0
"""Time within which the faults of a series begin, in seconds."""


DRAWS_FACTOR = 100.0
"""How many times as many faults are drawn if only some kinds of them are wanted."""

MAX_SELECTED_INTERVAL_S = 4.0
"""Longest time between two faults if only some kinds of them are wanted, in seconds."""


class DaemonKill(NamedTuple):
    """A daemon is killed and does not restart for ``down_s`` seconds."""

    down_s: float


class DaemonStop(NamedTuple):
    """A daemon is sent a SIGTERM and restarts."""


class DaemonPause(NamedTuple):
    """The process of a daemon is suspended for ``for_s`` seconds."""

    for_s: float


class DaemonReload(NamedTuple):
    """A daemon is sent a SIGHUP."""


class KillAll(NamedTuple):
    """All daemons are killed at once and do not restart for ``down_s`` seconds."""

    down_s: float


class StoreLink(NamedTuple):
    """The links of some daemons to the store are disturbed for ``for_s`` seconds.

    :param share: share of the daemons that are affected
    """

    state: LinkState
    share: float
    for_s: float


class HistoryLoss(NamedTuple):
    """The store drops its history of changes, so that watches must read all objects again."""


class StoreRestore(NamedTuple):
    """The store goes away and comes back from an older copy of itself, in a new era.

    :param state: state of all links to the store while it is away
    :param age_s: age of the copy when the store goes away
    """

    state: LinkState
    age_s: float
    away_s: float


class ServerCrash(NamedTuple):
    """A server crashes; a cold one starts under the same name or a new one."""

    down_s: float
    same_name: bool


class ServerDrain(NamedTuple):
    """A server is replaced: a new one starts, the old one drains and is shut down."""


class ServerLeave(NamedTuple):
    """A server is replaced and says in its answers that it is leaving.

    The store doesn't say so for ``unsaid_s`` seconds. Then the entry is removed, and the
    server is shut down after the usual time.
    """

    unsaid_s: float


class ServerBusy(NamedTuple):
    """A server refuses a share of its requests for ``for_s`` seconds and asks for pauses."""

    pause_s: float
    for_s: float


class AddressReuse(NamedTuple):
    """A server crashes and is replaced; a server of another service gets its address."""


class ServerLink(NamedTuple):
    """The link of all daemons to one server is disturbed for ``for_s`` seconds."""

    state: LinkState
    for_s: float


class DataCentreCut(NamedTuple):
    """The network between all daemons and the servers of a data centre is cut for a while.

    Bytes are held up, not lost, unless their sender resets the connection.
    """

    for_s: float


class ServerMisbehaviour(NamedTuple):
    """A server hangs, slows down, loses or duplicates answers, or applies grants late.

    :param how: one of ``MISBEHAVIOURS``
    :param whole_service: whether all servers of its service do so
    """

    how: str
    for_s: float
    whole_service: bool


class Evacuation(NamedTuple):
    """A data centre is evacuated for ``for_s`` seconds."""

    for_s: float


class OddObjects(NamedTuple):
    """Objects that no honest writer writes are in the store for ``for_s`` seconds.

    There is one of each kind that daemons follow, and one was the configuration for a moment.

    :param form: one of ``ODD_FORMS``
    """

    form: str
    for_s: float


class TaskEnd(NamedTuple):
    """A long-lived task of a daemon fails, by the hook of ``soak._program``.

    :param task: one of ``TASKS``; the keeper's for those of ``KEEPER_TASKS``
    """

    task: str

    @property
    def is_keepers(self) -> bool:
        """Whether the keeper's task is to fail."""
        return self.task in KEEPER_TASKS


class ConfigurationChange(NamedTuple):
    """A new configuration is written, which may route uploads to another service."""


Fault = (
    DaemonKill
    | DaemonStop
    | DaemonPause
    | DaemonReload
    | KillAll
    | StoreLink
    | HistoryLoss
    | StoreRestore
    | ServerCrash
    | ServerDrain
    | ServerLeave
    | ServerBusy
    | AddressReuse
    | ServerLink
    | DataCentreCut
    | ServerMisbehaviour
    | Evacuation
    | OddObjects
    | TaskEnd
    | ConfigurationChange
)

STORE_LINK_STATES = [
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.RESET,
    LinkState.BUSY,
    LinkState.DELAYED,
    LinkState.LOSING_ANSWERS,
]
AWAY_STATES = [LinkState.SILENT, LinkState.ONE_WAY, LinkState.RESET, LinkState.BUSY]
SERVER_LINK_STATES = [
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.RESET,
    LinkState.DELAYED,
    LinkState.LOSING_ANSWERS,
]
MISBEHAVIOURS = [
    'hangs',
    'slow',
    'loses answers',
    'answers twice',
    'late orders',
    'repeats refusals',
]
FAULT_KINDS = {kind.__name__ for kind in get_args(Fault)} | set(MISBEHAVIOURS)
"""Names of all faults, and of the ways in which servers misbehave."""


def draw_faults(
    seed: int, duration_s: float, kinds: Collection[str] = ()
) -> list[tuple[float, Fault]]:
    """Return the faults of a run with their times, in seconds from its start.

    :param kinds: names of faults, or of ways in which servers misbehave; if there are any, no
        other faults are drawn
    """
    if not kinds:
        return _draw_all_faults(seed, duration_s)
    drawn = _draw_all_faults(seed, duration_s * DRAWS_FACTOR)
    drawn_by_kind = {
        kind: iter(
            [
                fault
                for _, fault in drawn
                if kind in (type(fault).__name__, getattr(fault, 'how', None))
            ]
        )
        for kind in sorted(kinds)
    }
    random_source = random.Random(seed)
    faults: list[tuple[float, Fault]] = []
    starts_at = random_source.uniform(0.0, MAX_SELECTED_INTERVAL_S)
    while starts_at < duration_s:
        fault = next(drawn_by_kind[random_source.choice(sorted(kinds))], None)
        if fault is not None:
            faults.append((starts_at, fault))
        starts_at += random_source.uniform(0.0, MAX_SELECTED_INTERVAL_S)
    return faults


def _draw_all_faults(seed: int, duration_s: float) -> list[tuple[float, Fault]]:
    random_source = random.Random(seed)
    faults: list[tuple[float, Fault]] = []
    mean_interval_s = random_source.uniform(MIN_MEAN_INTERVAL_S, MAX_MEAN_INTERVAL_S)
    starts_at = random_source.uniform(0.0, mean_interval_s)
    while starts_at < duration_s:
        fault = _draw_fault(random_source)
        faults.append((starts_at, fault))
        if random_source.random() < REPEATED_SHARE:
            faults.append((starts_at + random_source.uniform(0.0, 0.5), fault))
        if random_source.random() < SERIES_SHARE:
            faults += [
                (starts_at + random_source.uniform(0.0, MAX_SERIES_DURATION_S), other)
                for other in _draw_series(random_source)
            ]
        if isinstance(fault, StoreRestore):
            for lost in _draw_lost_changes(random_source):
                lost_at = starts_at + random_source.uniform(0.1, 0.8) * fault.age_s
                faults.append((lost_at, lost))
        starts_at += random_source.expovariate(1.0 / mean_interval_s)
    return sorted(faults, key=lambda item: item[0])


def _draw_lost_changes(random_source: random.Random) -> list[Fault]:
    """Return causes of changes of the store that it loses if it goes back behind them."""
    if random_source.random() < 0.5:
        # Moves keys.
        return [ConfigurationChange(), Evacuation(random_source.uniform(4.0, 8.0))]
    # Changes the keeper.
    return [ConfigurationChange(), KillAll(random_source.uniform(0.1, 0.5))]


def _draw_series(random_source: random.Random) -> list[Fault]:
    """Return faults that overlap: signals and restarts amid changes of the store."""
    form = random_source.choice(list(ODD_FORMS))
    return [
        ConfigurationChange(),
        DaemonReload(),
        DaemonStop(),
        OddObjects(form, random_source.uniform(2.0, 5.0)),
        TaskEnd(random_source.choice(TASKS)),
        ConfigurationChange(),
    ]


def _draw_fault(random_source: random.Random) -> Fault:
    for_s = random_source.uniform(0.5, 5.0)
    # The number of cases of a fault is its weight.
    match random_source.randrange(29):
        case 0 | 1:
            return DaemonKill(random_source.uniform(0.1, 3.0))
        case 2 | 3:
            return DaemonStop()
        case 4 | 5:
            return DaemonPause(random_source.uniform(0.2, 5.0))
        case 6:
            return DaemonReload() if random_source.random() < 0.5 else KillAll(for_s / 2)
        case 7 | 8:
            share = random_source.choice([0.3, 1.0])
            return StoreLink(random_source.choice(STORE_LINK_STATES), share, for_s)
        case 9:
            return HistoryLoss()
        case 10:
            return ServerCrash(for_s, same_name=random_source.random() < 0.5)
        case 11:
            return ServerDrain() if random_source.random() < 0.6 else AddressReuse()
        case 12:
            return ServerLink(random_source.choice(SERVER_LINK_STATES), for_s)
        case 13:
            whole_service = random_source.random() < 0.3
            return ServerMisbehaviour(
                random_source.choice(MISBEHAVIOURS), for_s, whole_service
            )
        case 14 | 15:
            return Evacuation(random_source.uniform(1.0, 8.0))
        case 16 | 17 | 18:
            return DataCentreCut(random_source.triangular(1.0, 6.0, 6.0))
        case 19 | 20:
            state = random_source.choice(AWAY_STATES)
            return StoreRestore(state, random_source.uniform(0.5, 5.0), for_s)
        case 21:
            return ServerLeave(for_s)
        case 22:
            return ServerBusy(random_source.uniform(1.0, 4.0), for_s)
        case 23 | 24:
            return OddObjects(random_source.choice(list(ODD_FORMS)), for_s + 2.0)
        case 25 | 26:
            return TaskEnd(random_source.choice(TASKS))
        case _:
            return ConfigurationChange()
