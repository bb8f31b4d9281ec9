"""Datagrams between the daemons and the keeper of keys."""

from __future__ import annotations

from coltsfootstair.peers._channel import PeerChannel
from coltsfootstair.peers._messages import (
    Beat,
    LoadFigures,
    Message,
    ObjectsUpdate,
    Report,
    TableUpdate,
    decode,
    encode,
)

__all__ = [
    'Beat',
    'LoadFigures',
    'Message',
    'ObjectsUpdate',
    'PeerChannel',
    'Report',
    'TableUpdate',
    'decode',
    'encode',
]
