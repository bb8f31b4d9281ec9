"""Changes of a document, and the comparison of two documents."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.document._types import BackendServer, DataCentre, Document, Service, State
from coltsfootstair.errors import BadInputError

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    'Change',
    'ChangeKind',
    'find_changes',
    'with_backend_server_state',
    'with_data_centre_state',
]

_Entry = DataCentre | Service | BackendServer


class ChangeKind(enum.StrEnum):
    """What happened to an entry between two documents."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class Change(NamedTuple):
    """One difference between two documents.

    :param kind: what happened to the entry
    :param entry_kind: the kind of entry, such as ``backend server``
    :param name: name of the entry
    :param field: the field that changed; empty if the whole entry was added or removed
    :param old: the old value of ``field``, as text
    :param new: the new value of ``field``, as text
    """

    kind: ChangeKind
    entry_kind: str
    name: str
    field: str = ''
    old: str = ''
    new: str = ''

    def __str__(self) -> str:
        if self.kind is ChangeKind.CHANGED:
            return f'{self.entry_kind} {self.name}: {self.field} {self.old} -> {self.new}'
        return f'{self.entry_kind} {self.name}: {self.kind}'


def find_changes(old: Document, new: Document) -> list[Change]:
    """Return the changes that turn ``old`` into ``new``."""
    return [
        *_compare_entries('data centre', old.data_centres, new.data_centres),
        *_compare_entries('service', old.services, new.services),
        *_compare_entries('backend server', old.backend_servers, new.backend_servers),
    ]


def with_data_centre_state(document: Document, name: str, state: State) -> Document:
    """Return ``document`` with the data centre ``name`` in ``state``.

    :raises BadInputError: there is no such data centre
    """
    _check_known('data centre', name, document.data_centres)
    return document._replace(
        data_centres=tuple(
            one._replace(state=state) if one.name == name else one
            for one in document.data_centres
        )
    )


def with_backend_server_state(document: Document, name: str, state: State) -> Document:
    """Return ``document`` with the backend server ``name`` in ``state``.

    :raises BadInputError: there is no such backend server
    """
    _check_known('backend server', name, document.backend_servers)
    return document._replace(
        backend_servers=tuple(
            one._replace(state=state) if one.name == name else one
            for one in document.backend_servers
        )
    )


def _check_known(entry_kind: str, name: str, entries: Sequence[_Entry]) -> None:
    names = [one.name for one in entries]
    if name not in names:
        known = ', '.join(names) or 'none'
        raise BadInputError(
            'document', entry_kind, f'"{name}" is unknown; known names: {known}'
        )


def _compare_entries(
    entry_kind: str, old: Sequence[_Entry], new: Sequence[_Entry]
) -> list[Change]:
    old_by_name = {one.name: one for one in old}
    new_by_name = {one.name: one for one in new}
    changes = [
        Change(ChangeKind.REMOVED, entry_kind, name)
        for name in old_by_name
        if name not in new_by_name
    ]
    for name, one in new_by_name.items():
        if name not in old_by_name:
            changes.append(Change(ChangeKind.ADDED, entry_kind, name))
        else:
            changes.extend(_compare_fields(entry_kind, old_by_name[name], one))
    return changes


def _compare_fields(entry_kind: str, old: _Entry, new: _Entry) -> list[Change]:
    return [
        Change(
            ChangeKind.CHANGED,
            entry_kind,
            new.name,
            field,
            _format_value(before),
            _format_value(after),
        )
        for field, before, after in zip(new._fields, old, new, strict=True)
        if before != after
    ]


def _format_value(value: object) -> str:
    match value:
        case bool():
            return 'true' if value else 'false'
        case tuple():
            return ', '.join(value)
        case _:
            return str(value)
