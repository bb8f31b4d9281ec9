"""Faults of a run, drawn from its seed; they come in series and overlap."""

from __future__ import annotations

import random
from typing import NamedTuple

from soak._proxy import LinkState

__all__ = [
    'AddressReuse',
    'ConfigurationChange',
    'DaemonKill',
    'DaemonPause',
    'DaemonReload',
    'DaemonStop',
    'Evacuation',
    'Fault',
    'HistoryLoss',
    'KillAll',
    'ServerCrash',
    'ServerDrain',
    'ServerLink',
    'ServerMisbehaviour',
    'StoreLink',
    'draw',
]

SHORTEST_MEAN_GAP_S, LONGEST_MEAN_GAP_S = 0.6, 5.0
"""Bounds of a run's mean seconds between two faults: faults last for some seconds, so that
several overlap in most runs, and bounds in time can be judged in the others."""

SERIES_SHARE = 0.3
"""Part of the faults that come again at once, as series do."""


class DaemonKill(NamedTuple):
    """A daemon is killed and down for a while."""

    down_s: float


class DaemonStop(NamedTuple):
    """A daemon gets a SIGTERM and starts again."""


class DaemonPause(NamedTuple):
    """A daemon stands still."""

    for_s: float


class DaemonReload(NamedTuple):
    """A daemon gets a SIGHUP."""


class KillAll(NamedTuple):
    """All daemons are killed at once."""

    down_s: float


class StoreLink(NamedTuple):
    """The way to the store is bad for a part of the daemons."""

    state: LinkState
    share: float
    for_s: float


class HistoryLoss(NamedTuple):
    """The store forgets its history."""


class ServerCrash(NamedTuple):
    """A server crashes; it comes back under the same name or a new one, cold."""

    down_s: float
    same_name: bool


class ServerDrain(NamedTuple):
    """A server is replaced: the new one starts, the old one drains and leaves."""


class AddressReuse(NamedTuple):
    """A server crashes for good; one of another service gets its address."""


class ServerLink(NamedTuple):
    """The way to a server is bad for all daemons."""

    state: LinkState
    for_s: float


class ServerMisbehaviour(NamedTuple):
    """A server hangs, slows down, loses or doubles answers, or carries orders out late.

    :param whole_service: whether all servers of its service do so
    """

    how: str
    for_s: float
    whole_service: bool


class Evacuation(NamedTuple):
    """A data centre is to get nothing for a while."""

    for_s: float


class ConfigurationChange(NamedTuple):
    """Uploads go to another service than before."""


Fault = (
    DaemonKill
    | DaemonStop
    | DaemonPause
    | DaemonReload
    | KillAll
    | StoreLink
    | HistoryLoss
    | ServerCrash
    | ServerDrain
    | AddressReuse
    | ServerLink
    | ServerMisbehaviour
    | Evacuation
    | ConfigurationChange
)

STORE_STATES = [
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.RESET,
    LinkState.BUSY,
    LinkState.DELAYED,
    LinkState.LOSING_ANSWERS,
]
SERVER_STATES = [
    LinkState.SILENT,
    LinkState.ONE_WAY,
    LinkState.RESET,
    LinkState.DELAYED,
    LinkState.LOSING_ANSWERS,
]
MISBEHAVIOURS = ['hangs', 'slow', 'loses answers', 'answers twice', 'late orders']


def draw(seed: int, seconds: float) -> list[tuple[float, Fault]]:
    """Return the faults of a run and when each begins, in seconds from the start."""
    source = random.Random(seed)
    faults: list[tuple[float, Fault]] = []
    mean_gap_s = source.uniform(SHORTEST_MEAN_GAP_S, LONGEST_MEAN_GAP_S)
    at = source.uniform(0.0, mean_gap_s)
    while at < seconds:
        fault = _draw_one(source)
        faults.append((at, fault))
        if source.random() < SERIES_SHARE:
            faults.append((at + source.uniform(0.0, 0.5), fault))
        at += source.expovariate(1.0 / mean_gap_s)
    return sorted(faults, key=lambda item: item[0])


def _draw_one(source: random.Random) -> Fault:
    for_s = source.uniform(0.5, 5.0)
    match source.randrange(17):
        case 0 | 1:
            return DaemonKill(source.uniform(0.1, 3.0))
        case 2 | 3:
            return DaemonStop()
        case 4 | 5:
            return DaemonPause(source.uniform(0.2, 5.0))
        case 6:
            return DaemonReload() if source.random() < 0.5 else KillAll(for_s / 2)
        case 7 | 8:
            share = source.choice([0.3, 1.0])
            return StoreLink(source.choice(STORE_STATES), share, for_s)
        case 9:
            return HistoryLoss()
        case 10:
            return ServerCrash(for_s, same_name=source.random() < 0.5)
        case 11:
            return ServerDrain() if source.random() < 0.6 else AddressReuse()
        case 12:
            return ServerLink(source.choice(SERVER_STATES), for_s)
        case 13:
            whole_service = source.random() < 0.3
            return ServerMisbehaviour(source.choice(MISBEHAVIOURS), for_s, whole_service)
        case 14 | 15:
            return Evacuation(source.uniform(1.0, 8.0))
        case _:
            return ConfigurationChange()
