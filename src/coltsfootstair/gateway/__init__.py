"""Gateway daemon: passes callers' requests to backend servers, as a platform configures it."""

from __future__ import annotations

from coltsfootstair.gateway._application import Gateway
from coltsfootstair.gateway._settings import (
    GatewaySettings,
    RetrySettings,
    StoreSettings,
    WorkspaceSettings,
)
from coltsfootstair.gateway._types import (
    AnswerFacts,
    CallerFacts,
    Dialect,
    HeadFacts,
    ObjectKinds,
    PlatformPorts,
)

__all__ = [
    'AnswerFacts',
    'CallerFacts',
    'Dialect',
    'Gateway',
    'GatewaySettings',
    'HeadFacts',
    'ObjectKinds',
    'PlatformPorts',
    'RetrySettings',
    'StoreSettings',
    'WorkspaceSettings',
]
