"""Workspaces: the keys of their callers, and limits that all daemons share."""

from __future__ import annotations

from coltsfootstair.workspaces._gate import FALLBACK_S, WorkspaceGate
from coltsfootstair.workspaces._identity import Identity, KeyDenial, identify
from coltsfootstair.workspaces._issuer import WorkspaceIssuer
from coltsfootstair.workspaces._types import Workspace, digest_key

__all__ = [
    'FALLBACK_S',
    'Identity',
    'KeyDenial',
    'Workspace',
    'WorkspaceGate',
    'WorkspaceIssuer',
    'digest_key',
    'identify',
]
