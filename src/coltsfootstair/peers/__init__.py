"""Datagrams between the daemons and the keeper."""

from __future__ import annotations

from coltsfootstair.peers._channel import PeerChannel
from coltsfootstair.peers._messages import (
    Heartbeat,
    LoadFigures,
    Message,
    ObjectsUpdate,
    Report,
    TableUpdate,
    decode_message,
    encode_message,
)

__all__ = [
    'Heartbeat',
    'LoadFigures',
    'Message',
    'ObjectsUpdate',
    'PeerChannel',
    'Report',
    'TableUpdate',
    'decode_message',
    'encode_message',
]
