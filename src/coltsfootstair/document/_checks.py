"""Checks that the entries of a document are consistent with each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coltsfootstair.typed_toml import FieldPath, TomlReader

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ['check_references']

_Entries = list[tuple[FieldPath, dict[str, Any]]]
"""Entries of one kind, each with its path in the document."""


def check_references(reader: TomlReader) -> None:
    """Add a fault for each duplicate and for each name that refers to no entry."""
    data_centres = _select_entries(reader, 'data_centres')
    services = _select_entries(reader, 'services')
    servers = _select_entries(reader, 'backend_servers')
    for entries in (data_centres, services, servers):
        _check_unique(reader, entries, 'name')
    _check_unique(reader, servers, 'address')
    for path, service in services:
        _check_data_centres(reader, path, service, _collect_names(data_centres))
    for path, server in servers:
        _check_server(reader, path, server, services)


def _check_data_centres(
    reader: TomlReader, path: FieldPath, service: dict[str, Any], known: Collection[str]
) -> None:
    names = service.get('data_centres')
    if not isinstance(names, list):
        return
    field = (*path, 'data_centres')
    if not names:
        reader.add_fault(field, 'must name at least one data centre')
    if len({str(name) for name in names}) != len(names):
        reader.add_fault(field, 'must name each data centre once')
    for name in names:
        if isinstance(name, str) and name not in known:
            reader.add_fault(
                field, f'"{name}" is not a data centre; {_describe_choices(known)}'
            )


def _check_server(
    reader: TomlReader, path: FieldPath, server: dict[str, Any], services: _Entries
) -> None:
    service = server.get('service')
    if isinstance(service, str):
        service_data_centres = next(
            (one.get('data_centres') for _, one in services if one.get('name') == service),
            None,
        )
        if service not in _collect_names(services):
            choices = _describe_choices(_collect_names(services))
            reader.add_fault((*path, 'service'), f'"{service}" is not a service; {choices}')
        elif (
            isinstance(service_data_centres, list)
            and server.get('data_centre') not in service_data_centres
        ):
            choices = _describe_choices([str(name) for name in service_data_centres])
            reader.add_fault(
                (*path, 'data_centre'),
                f'must be a data centre of service "{service}"; {choices}',
            )
    slots, connections = server.get('slots'), server.get('connections')
    if isinstance(slots, int) and isinstance(connections, int) and connections < slots:
        reader.add_fault((*path, 'connections'), f'must not be less than slots ({slots})')


def _check_unique(reader: TomlReader, entries: _Entries, field: str) -> None:
    first_by_value: dict[str, FieldPath] = {}
    for path, entry in entries:
        value = entry.get(field)
        if not isinstance(value, str):
            continue
        if first_by_value.setdefault(value, path) is not path:
            number = int(first_by_value[value][1]) + 1
            reader.add_fault((*path, field), f'"{value}" is already used by entry {number}')


def _select_entries(reader: TomlReader, kind: str) -> _Entries:
    value = reader.root.get(kind)
    if not isinstance(value, list):
        return []
    return [((kind, number), one) for number, one in enumerate(value) if isinstance(one, dict)]


def _collect_names(entries: _Entries) -> list[str]:
    return [entry['name'] for _, entry in entries if isinstance(entry.get('name'), str)]


def _describe_choices(names: Collection[str]) -> str:
    return f'allowed: {", ".join(names)}' if names else 'the document defines none'
