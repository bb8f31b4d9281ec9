"""Routes, service policies and limits from the operators' configuration."""

from __future__ import annotations

from coltsfootstair.routes._age import UNCONFIRMED_RETRY_S, ConfigurationAge
from coltsfootstair.routes._table import RouteTable
from coltsfootstair.routes._types import (
    Configuration,
    RequestKind,
    Route,
    ServicePolicy,
    WeightedService,
)

__all__ = [
    'UNCONFIRMED_RETRY_S',
    'Configuration',
    'ConfigurationAge',
    'RequestKind',
    'Route',
    'RouteTable',
    'ServicePolicy',
    'WeightedService',
]
