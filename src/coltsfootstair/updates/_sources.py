"""Decides which daemons watch the store, and which peers a daemon asks for updates."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from coltsfootstair.ownership import rank_names

__all__ = ['DaemonTopology', 'choose_peers_to_poll', 'choose_watchers', 'is_watcher']

WATCHERS_PER_DATA_CENTRE = 2
"""Daemons of one data centre that watch the store for the others."""

OLD_NEWS_S = 1.2
"""From this age on, in seconds, other data centres are asked as well."""

STRANGERS_ASKED = 4
"""Peers that are asked while the list of VMs is not known."""

_SUBJECT = 'updates'


class DaemonTopology(NamedTuple):
    """What a daemon knows of the others.

    :param data_centre_by_name: all listed daemons, with this one
    :param connected: peers to which a stream is open
    """

    own: str
    own_data_centre: str
    data_centre_by_name: Mapping[str, str]
    connected: Collection[str]

    def others_in(self, data_centre: str) -> list[str]:
        """Return the other daemons of a data centre."""
        return [
            name
            for name, place in self.data_centre_by_name.items()
            if place == data_centre and name != self.own
        ]

    def data_centres_of_others(self) -> set[str]:
        """Return the data centres in which there are other daemons."""
        return {place for name, place in self.data_centre_by_name.items() if name != self.own}


def choose_watchers(topology: DaemonTopology, data_centre: str) -> list[str]:
    """Return the daemons that watch the store for a data centre, the first one first."""
    names = [
        name for name, place in topology.data_centre_by_name.items() if place == data_centre
    ]
    return rank_names(_SUBJECT, names)[:WATCHERS_PER_DATA_CENTRE] if names else []


def is_watcher(topology: DaemonTopology) -> bool:
    """Return whether this daemon watches the store; it does while it knows no others."""
    if topology.own not in topology.data_centre_by_name:
        return True
    return topology.own in choose_watchers(topology, topology.own_data_centre)


def choose_peers_to_poll(
    topology: DaemonTopology, age_s: float, round_number: int, failing: Collection[str]
) -> list[str]:
    """Return the peers to ask for updates in this round.

    :param age_s: how old the updates is that this daemon has
    :param round_number: rises by one each round
    :param failing: peers that did not answer lately
    """
    if len(topology.data_centre_by_name) <= 1:
        return sorted(topology.connected)[:STRANGERS_ASKED]
    chosen = _near(topology, round_number, failing)
    remote = _one_in_each_other(topology, round_number, failing)
    if age_s > OLD_NEWS_S:
        return [*chosen, *remote]
    if remote:
        chosen.append(remote[round_number % len(remote)])
    return chosen


def _near(topology: DaemonTopology, round_number: int, failing: Collection[str]) -> list[str]:
    """Return a watcher of the own data centre; a watcher asks those that have no stream.

    A daemon that has just started while the store is down knows no one, so that others
    have to come to it.
    """
    others = topology.others_in(topology.own_data_centre)
    if not others:
        return []
    if is_watcher(topology):
        silent = [name for name in others if name not in topology.connected]
        return [sorted(silent or others)[round_number % len(silent or others)]]
    watchers = choose_watchers(topology, topology.own_data_centre)
    usable = [name for name in watchers if name not in failing] or others
    return [usable[round_number % len(usable)] if usable is others else usable[0]]


def _one_in_each_other(
    topology: DaemonTopology, round_number: int, failing: Collection[str]
) -> list[str]:
    places = sorted(topology.data_centres_of_others() - {topology.own_data_centre})
    chosen: list[str] = []
    for place in places:
        candidates = choose_watchers(topology, place)
        usable = [name for name in candidates if name not in failing]
        fallback = sorted(topology.others_in(place))
        chosen.append(usable[0] if usable else fallback[round_number % len(fallback)])
    return chosen
