"""Stand-ins for the platform's store and for backend servers, which record their calls."""

from __future__ import annotations

from coltsfootstair.standin._backend_server import BackendServerStandin
from coltsfootstair.standin._faults import BackendServerFault, StoreFault
from coltsfootstair.standin._store import StoreStandin
from coltsfootstair.standin._truth import (
    BackendServerTruth,
    GrantTruth,
    RequestTruth,
    StoreTruth,
)

__all__ = [
    'BackendServerFault',
    'BackendServerStandin',
    'BackendServerTruth',
    'GrantTruth',
    'RequestTruth',
    'StoreFault',
    'StoreStandin',
    'StoreTruth',
]
