"""Passes the store's objects on between daemons, so that few of them watch the store."""

from __future__ import annotations

from coltsfootstair.news._knowledge import Knowledge, Told
from coltsfootstair.news._peer_feed import PeerFeed
from coltsfootstair.news._sources import Neighbours, is_watcher, peers_to_ask, watchers_of
from coltsfootstair.news._store_feed import StoreFeed
from coltsfootstair.news._teller import NewsTeller

__all__ = [
    'Knowledge',
    'Neighbours',
    'NewsTeller',
    'PeerFeed',
    'StoreFeed',
    'Told',
    'is_watcher',
    'peers_to_ask',
    'watchers_of',
]
