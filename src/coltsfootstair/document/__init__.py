"""The operators' document: its data centres, services and backend servers."""

from __future__ import annotations

from coltsfootstair.document._changes import (
    Change,
    ChangeKind,
    find_changes,
    with_backend_server_state,
    with_data_centre_state,
)
from coltsfootstair.document._dangers import (
    Danger,
    DangerKind,
    find_dangers,
    find_usable_servers,
    resolve_server_states,
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
    'find_changes',
    'find_dangers',
    'find_usable_servers',
    'parse',
    'render',
    'resolve_server_states',
    'with_backend_server_state',
    'with_data_centre_state',
]
