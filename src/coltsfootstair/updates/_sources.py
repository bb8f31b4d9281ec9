"""Choice of the daemons that watch the store, and of the peers to poll for updates."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from coltsfootstair.ownership import rank_names

__all__ = ['DaemonTopology', 'choose_peers_to_poll', 'choose_watchers', 'is_watcher']

WATCHER_COUNT_PER_DATA_CENTRE = 2
"""Daemons of each data centre that watch the store for the others."""

STALE_AGE_S = 1.2
"""Age of a replica above which a daemon polls all other data centres, not one each round."""

MAX_POLLED_WITHOUT_LIST_COUNT = 4
"""Most peers polled in a round while the daemon has no list of VMs."""

_RANKING_SEED = 'updates'


class DaemonTopology(NamedTuple):
    """The listed daemons and their data centres, as one daemon sees them.

    :param own: name of this daemon
    :param data_centre_by_name: data centre of each listed daemon, which may include this one
    :param connected: names of the peers to which a stream is open
    """

    own: str
    own_data_centre: str
    data_centre_by_name: Mapping[str, str]
    connected: Collection[str]

    def list_others_in(self, data_centre: str) -> list[str]:
        """Return the names of the other daemons in a data centre."""
        return [
            name
            for name, daemon_data_centre in self.data_centre_by_name.items()
            if daemon_data_centre == data_centre and name != self.own
        ]

    def list_data_centres_of_others(self) -> set[str]:
        """Return the data centres that have daemons other than this one."""
        return {
            daemon_data_centre
            for name, daemon_data_centre in self.data_centre_by_name.items()
            if name != self.own
        }


def choose_watchers(topology: DaemonTopology, data_centre: str) -> list[str]:
    """Return the names of the daemons that watch the store for a data centre, by rank."""
    names = [
        name
        for name, daemon_data_centre in topology.data_centre_by_name.items()
        if daemon_data_centre == data_centre
    ]
    return rank_names(_RANKING_SEED, names)[:WATCHER_COUNT_PER_DATA_CENTRE] if names else []


def is_watcher(topology: DaemonTopology) -> bool:
    """Return whether this daemon watches the store; it does while it is not listed itself."""
    if topology.own not in topology.data_centre_by_name:
        return True
    return topology.own in choose_watchers(topology, topology.own_data_centre)


def choose_peers_to_poll(
    topology: DaemonTopology, age_s: float, round_number: int, unresponsive: Collection[str]
) -> list[str]:
    """Return the names of the peers to poll for updates in this round.

    :param age_s: age of this daemon's replica
    :param round_number: increases by one each round
    :param unresponsive: peers that did not answer recently
    """
    if len(topology.data_centre_by_name) <= 1:
        return sorted(topology.connected)[:MAX_POLLED_WITHOUT_LIST_COUNT]
    chosen = _choose_in_own_data_centre(topology, round_number, unresponsive)
    remote = _choose_in_each_other_data_centre(topology, round_number, unresponsive)
    if age_s > STALE_AGE_S:
        return [*chosen, *remote]
    if remote:
        chosen.append(remote[round_number % len(remote)])
    return chosen


def _choose_in_own_data_centre(
    topology: DaemonTopology, round_number: int, unresponsive: Collection[str]
) -> list[str]:
    """Return a watcher; if this daemon is one, return a daemon that has no open stream to it.

    A daemon that starts while the store is down knows no other daemon, so watchers must
    connect to it. Without a suitable daemon, the others are polled in turn.
    """
    others = topology.list_others_in(topology.own_data_centre)
    if not others:
        return []
    if is_watcher(topology):
        unconnected = [name for name in others if name not in topology.connected]
        return [sorted(unconnected or others)[round_number % len(unconnected or others)]]
    watchers = choose_watchers(topology, topology.own_data_centre)
    usable = [name for name in watchers if name not in unresponsive] or others
    return [usable[round_number % len(usable)] if usable is others else usable[0]]


def _choose_in_each_other_data_centre(
    topology: DaemonTopology, round_number: int, unresponsive: Collection[str]
) -> list[str]:
    """Return the first responsive watcher of each, or one of its other daemons in turn."""
    data_centres = sorted(topology.list_data_centres_of_others() - {topology.own_data_centre})
    chosen: list[str] = []
    for data_centre in data_centres:
        candidates = choose_watchers(topology, data_centre)
        usable = [name for name in candidates if name not in unresponsive]
        fallback = sorted(topology.list_others_in(data_centre))
        chosen.append(usable[0] if usable else fallback[round_number % len(fallback)])
    return chosen
