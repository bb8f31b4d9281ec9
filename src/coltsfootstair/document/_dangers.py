"""Changes that need explicit confirmation because they can make a service unavailable."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.document._types import BackendServer, Document, State

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    'Danger',
    'DangerKind',
    'find_dangers',
    'find_usable_servers',
    'resolve_server_states',
]

MAX_UTILISATION_SHARE = 0.8
"""Share of a service's remaining slots that its present load may occupy after a change."""


class DangerKind(enum.StrEnum):
    """Why a change is dangerous."""

    LAST_DATA_CENTRE = 'last data centre'
    LAST_BACKEND_SERVER = 'last backend server'
    CAPACITY = 'capacity'


class Danger(NamedTuple):
    """A service that a change can make unavailable or overload."""

    kind: DangerKind
    service: str
    detail: str

    def __str__(self) -> str:
        return f'service {self.service}: {self.detail}'


def resolve_server_states(document: Document) -> list[BackendServer]:
    """Return all backend servers; those in a data centre that is out are out, too."""
    data_centres_out = {one.name for one in document.data_centres if one.state is State.OUT}
    return [
        server._replace(state=State.OUT) if server.data_centre in data_centres_out else server
        for server in document.backend_servers
    ]


def find_usable_servers(document: Document, service: str) -> list[BackendServer]:
    """Return the backend servers of ``service`` that may be given new work."""
    return [
        server
        for server in resolve_server_states(document)
        if server.service == service and server.state is State.IN
    ]


def find_dangers(old: Document, new: Document, load: Mapping[str, float]) -> list[Danger]:
    """Return the dangers of replacing ``old`` by ``new``.

    :param load: slots in use at present, by name of the service
    """
    dangers = (
        _find_danger(old, new, one.name, load.get(one.name, 0.0)) for one in old.services
    )
    return [danger for danger in dangers if danger]


def _find_danger(old: Document, new: Document, service: str, in_use: float) -> Danger | None:
    before, after = find_usable_servers(old, service), find_usable_servers(new, service)
    if not before:
        return None
    if not after:
        return _build_outage_danger(old, new, service)
    slots_before = sum(server.slots for server in before)
    slots_after = sum(server.slots for server in after)
    if slots_after >= slots_before or in_use <= slots_after * MAX_UTILISATION_SHARE:
        return None
    return Danger(
        DangerKind.CAPACITY,
        service,
        f'{in_use:g} slots are in use now, and {slots_after} of {slots_before} would be left',
    )


def _build_outage_danger(old: Document, new: Document, service: str) -> Danger:
    data_centres_used = {server.data_centre for server in find_usable_servers(old, service)}
    data_centres_in = {one.name for one in new.data_centres if one.state is State.IN}
    if not data_centres_used & data_centres_in:
        detail = 'its last data centre would be out'
        return Danger(DangerKind.LAST_DATA_CENTRE, service, detail)
    detail = 'its last backend server would be out'
    return Danger(DangerKind.LAST_BACKEND_SERVER, service, detail)
