"""The operators' document: what services, data centres and backend servers there are."""

from __future__ import annotations

from coltsfootstair.document._types import (
    BackendServer,
    DataCentre,
    Document,
    Service,
    ServiceKind,
    State,
)

__all__ = ['BackendServer', 'DataCentre', 'Document', 'Service', 'ServiceKind', 'State']
