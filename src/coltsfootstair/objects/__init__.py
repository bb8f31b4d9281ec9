"""Port to read, change and follow the objects in the platform's store."""

from __future__ import annotations

from coltsfootstair.objects._delta import Delta, apply_delta, compute_delta
from coltsfootstair.objects._follower import Follower, StoreHealth
from coltsfootstair.objects._relay import Relay
from coltsfootstair.objects._types import (
    Change,
    Listing,
    ObjectStore,
    RelayedChanges,
    RelayedDelta,
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
    'Delta',
    'Follower',
    'Listing',
    'ObjectStore',
    'Relay',
    'RelayedChanges',
    'RelayedDelta',
    'Revision',
    'StoreHealth',
    'StoredObject',
    'UnreadableValue',
    'WatchAnswer',
    'apply_delta',
    'compose_revision',
    'compute_delta',
    'era_of',
    'number_of',
]
