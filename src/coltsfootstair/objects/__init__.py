"""Port to read, change and follow the objects in the platform's store."""

from __future__ import annotations

from coltsfootstair.objects._follower import Follower, StoreHealth
from coltsfootstair.objects._relay import Relay
from coltsfootstair.objects._types import (
    Change,
    Changes,
    Listing,
    ObjectStore,
    RelayedChanges,
    StoredObject,
)

__all__ = [
    'Change',
    'Changes',
    'Follower',
    'Listing',
    'ObjectStore',
    'Relay',
    'RelayedChanges',
    'StoreHealth',
    'StoredObject',
]
