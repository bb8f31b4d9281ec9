"""Port to read, change and follow the objects in the platform's store."""

from __future__ import annotations

from coltsfootstair.objects._follower import Follower, StoreHealth
from coltsfootstair.objects._relay import Relay
from coltsfootstair.objects._types import (
    Change,
    Listing,
    ObjectStore,
    RelayedChanges,
    Revision,
    StoredObject,
    UnreadableValue,
    WatchAnswer,
    compose_revision,
    era_of,
    number_of,
)

__all__ = [
    'Change',
    'Follower',
    'Listing',
    'ObjectStore',
    'Relay',
    'RelayedChanges',
    'Revision',
    'StoreHealth',
    'StoredObject',
    'UnreadableValue',
    'WatchAnswer',
    'compose_revision',
    'era_of',
    'number_of',
]
