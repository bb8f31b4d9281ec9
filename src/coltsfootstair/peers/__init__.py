"""Datagrams between the daemons and the keeper."""

from __future__ import annotations

from coltsfootstair.peers._channel import PeerChannel
from coltsfootstair.peers._messages import (
    CrashReport,
    DeltaPart,
    Heartbeat,
    LimitStatement,
    LoadFigures,
    Message,
    ObjectsUpdate,
    PermitAnswer,
    PermitRequest,
    Report,
    SuspectStatement,
    TableUpdate,
    TrialAnswer,
    TrialRequest,
    WorkspacePermitRequest,
    decode_message,
    encode_message,
)

__all__ = [
    'CrashReport',
    'DeltaPart',
    'Heartbeat',
    'LimitStatement',
    'LoadFigures',
    'Message',
    'ObjectsUpdate',
    'PeerChannel',
    'PermitAnswer',
    'PermitRequest',
    'Report',
    'SuspectStatement',
    'TableUpdate',
    'TrialAnswer',
    'TrialRequest',
    'WorkspacePermitRequest',
    'decode_message',
    'encode_message',
]
