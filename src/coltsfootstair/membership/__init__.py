"""Which daemons there are, and which of them answer."""

from __future__ import annotations

from coltsfootstair.membership._detector import (
    HeartbeatHeard,
    Members,
    Peer,
    Refused,
    Spoken,
    Tick,
    VmListed,
    VmsRead,
    due_heartbeats,
    handle,
    view,
)

__all__ = [
    'HeartbeatHeard',
    'Members',
    'Peer',
    'Refused',
    'Spoken',
    'Tick',
    'VmListed',
    'VmsRead',
    'due_heartbeats',
    'handle',
    'view',
]
