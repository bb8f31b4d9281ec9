"""Membership: the daemons of the system, and which of them answer or have ended."""

from __future__ import annotations

from coltsfootstair.membership._detector import (
    ConnectionRefused,
    HeartbeatReceived,
    HeartbeatSent,
    ListedVm,
    MembershipState,
    Peer,
    Tick,
    VmListRead,
    handle,
    peer_view,
    peers_due_heartbeat,
)

__all__ = [
    'ConnectionRefused',
    'HeartbeatReceived',
    'HeartbeatSent',
    'ListedVm',
    'MembershipState',
    'Peer',
    'Tick',
    'VmListRead',
    'handle',
    'peer_view',
    'peers_due_heartbeat',
]
