"""The operators' interface: the document in the store, the console and the JSON interface."""

from __future__ import annotations

from coltsfootstair.operators._app import OperatorsApp
from coltsfootstair.operators._client import DaemonUnreachableError, OperatorsClient
from coltsfootstair.operators._config import DOCUMENT_KEY, DocumentStore, format_faults
from coltsfootstair.operators._gate import MAX_DOCUMENT_AGE_S, KnownVersion, VersionGate
from coltsfootstair.operators._ports import DaemonPort
from coltsfootstair.operators._server import OperatorsServer
from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    DaemonState,
    DaemonStatus,
    Dangerous,
    Faulty,
    OwnerReport,
    OwnerStatus,
    RefusalCount,
    ServerStatus,
    StatusReport,
    Unavailable,
    VersionedText,
)

__all__ = [
    'DOCUMENT_KEY',
    'MAX_DOCUMENT_AGE_S',
    'Applied',
    'ApplyResult',
    'Conflict',
    'DaemonPort',
    'DaemonState',
    'DaemonStatus',
    'DaemonUnreachableError',
    'Dangerous',
    'DocumentStore',
    'Faulty',
    'KnownVersion',
    'OperatorsApp',
    'OperatorsClient',
    'OperatorsServer',
    'OwnerReport',
    'OwnerStatus',
    'RefusalCount',
    'ServerStatus',
    'StatusReport',
    'Unavailable',
    'VersionGate',
    'VersionedText',
    'format_faults',
]
