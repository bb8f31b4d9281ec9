"""Port for calls to backend servers, and its implementation over HTTP."""

from __future__ import annotations

from coltsfootstair.backend._client import HttpBackendServer
from coltsfootstair.backend._types import (
    AnswerSink,
    BackendAnswer,
    BackendRequest,
    BackendServerPort,
    Grant,
    GrantReply,
    Health,
)

__all__ = [
    'AnswerSink',
    'BackendAnswer',
    'BackendRequest',
    'BackendServerPort',
    'Grant',
    'GrantReply',
    'Health',
    'HttpBackendServer',
]
