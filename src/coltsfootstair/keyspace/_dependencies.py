"""What a keeper works with."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.clock import Clock
from coltsfootstair.keyspace._grant_client import GrantClient
from coltsfootstair.keyspace._view import OwnershipView
from coltsfootstair.objects import ObjectStore, Relay, RelayedChanges
from coltsfootstair.peers import Report
from coltsfootstair.registry import Registry

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address
    from coltsfootstair.peers import Message

__all__ = ['Channel', 'KeeperDependencies']


class Channel(Protocol):
    """The way to other daemons."""

    def send(self, message: Message, address: Address) -> None:
        """Send ``message``; it may be lost."""


class KeeperDependencies(NamedTuple):
    """What a keeper works with.

    :param store_works: whether this daemon's last call of the store was answered
    :param services: names of the services whose keys have owners
    :param cold_per_s: what a cold server of a service bears from all daemons
    :param usual_s: the service time to expect of a service before any answer
    :param longest_hold_s: the longest hold that backend servers accept, in seconds
    :param address_reuse_s: how long an ended server's address stays unused, in seconds
    :param strength: what this VM can bear as keeper, from 0 to 1
    :param relay: is turned on while the keeper passes changes of objects on
    :param revisions: up to which revision this daemon has read each kind of objects
    :param relayed: takes changes that the keeper passed on
    :param collect: returns this daemon's figures since the last call
    """

    store: ObjectStore
    grant_client: GrantClient
    registry: Registry
    ownership_view: OwnershipView
    clock: Clock
    random_source: random.Random
    store_reachable: Callable[[], bool]
    keyed_services: Callable[[], set[str]]
    cold_limit_per_s: Callable[[str], float]
    default_service_s: Callable[[str], float]
    max_grant_duration_s: float
    address_reuse_s: float
    keeper_capacity: float
    relay: Relay
    get_revision_by_kind: Callable[[], dict[str, int]]
    on_relayed_changes: Callable[[RelayedChanges], None]
    collect_report: Callable[[int, bool, float, dict[str, int]], Report]
