"""The operators' document: what services, data centres and backend servers there are."""

from __future__ import annotations

from coltsfootstair.document._changes import (
    Change,
    ChangeKind,
    difference,
    with_backend_server,
    with_data_centre,
)
from coltsfootstair.document._dangers import (
    Danger,
    DangerKind,
    dangers,
    effective_servers,
    servers_in,
)
from coltsfootstair.document._toml import parse, render
from coltsfootstair.document._types import (
    BackendServer,
    DataCentre,
    Document,
    Service,
    ServiceKind,
    State,
)

__all__ = [
    'BackendServer',
    'Change',
    'ChangeKind',
    'Danger',
    'DangerKind',
    'DataCentre',
    'Document',
    'Service',
    'ServiceKind',
    'State',
    'dangers',
    'difference',
    'effective_servers',
    'parse',
    'render',
    'servers_in',
    'with_backend_server',
    'with_data_centre',
]
