"""The daemon's path from callers to backend servers under a platform's configuration."""

from __future__ import annotations

from coltsfootstair.gateway._application import Gateway
from coltsfootstair.gateway._settings import GatewaySettings, RetrySettings, StoreSettings
from coltsfootstair.gateway._types import (
    AnswerFacts,
    CallerFacts,
    Dialect,
    ObjectKinds,
    PlatformPorts,
)

__all__ = [
    'AnswerFacts',
    'CallerFacts',
    'Dialect',
    'Gateway',
    'GatewaySettings',
    'ObjectKinds',
    'PlatformPorts',
    'RetrySettings',
    'StoreSettings',
]
