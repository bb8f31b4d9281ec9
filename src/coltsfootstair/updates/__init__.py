"""Forwards changes of the store between daemons, so that few of them watch the store."""

from __future__ import annotations

from coltsfootstair.updates._peer_feed import PeerFeed
from coltsfootstair.updates._publisher import UpdatePublisher
from coltsfootstair.updates._replica_tracker import PeerUpdate, ReplicaTracker
from coltsfootstair.updates._sources import (
    DaemonTopology,
    choose_peers_to_poll,
    choose_watchers,
    is_watcher,
)
from coltsfootstair.updates._store_feed import StoreFeed

__all__ = [
    'DaemonTopology',
    'PeerFeed',
    'PeerUpdate',
    'ReplicaTracker',
    'StoreFeed',
    'UpdatePublisher',
    'choose_peers_to_poll',
    'choose_watchers',
    'is_watcher',
]
