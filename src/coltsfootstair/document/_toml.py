"""Reads and writes the document as TOML."""

from __future__ import annotations

from typing import Any

from coltsfootstair.document._checks import check_references
from coltsfootstair.document._types import (
    BackendServer,
    DataCentre,
    Document,
    Service,
    ServiceKind,
    State,
)
from coltsfootstair.typed_toml import Address, Name, PositiveInt, TomlReader, dump_tables

__all__ = ['MAX_DOCUMENT_BYTES', 'parse', 'render']

MAX_DOCUMENT_BYTES = 768 * 1024
"""Longest document that is accepted, in bytes; leaves room for the framing in messages between
daemons and in the store."""

_DATA_CENTRE_FIELDS = {'name': Name, 'state': State}
_SERVICE_FIELDS = {
    'name': Name,
    'divided_by_key': bool,
    'kind': ServiceKind,
    'data_centres': tuple[Name, ...],
}
_BACKEND_SERVER_FIELDS = {
    'name': Name,
    'service': Name,
    'data_centre': Name,
    'address': Address,
    'slots': PositiveInt,
    'connections': PositiveInt,
    'checks_grants': bool,
    'state': State,
}
_DEFAULTS = {'state': State.IN}
"""Values of the fields that may be missing in an entry."""


def parse(text: str, source: str) -> Document:
    """Parse a document from TOML.

    :param source: the file or address that errors name as the source
    :raises ExceptionGroup: of ``BadInputError``, one for each fault
    """
    reader = TomlReader(text, source)
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        reader.add_fault(('document',), f'must have at most {MAX_DOCUMENT_BYTES} bytes')
    reader.raise_faults()
    reader.reject_unknown_fields((), reader.root, dict.fromkeys(Document._fields))
    data_centres = _convert_entries(reader, 'data_centres', _DATA_CENTRE_FIELDS, _DEFAULTS)
    services = _convert_entries(reader, 'services', _SERVICE_FIELDS, {})
    servers = _convert_entries(reader, 'backend_servers', _BACKEND_SERVER_FIELDS, _DEFAULTS)
    check_references(reader)
    reader.raise_faults()
    return Document(
        tuple(DataCentre(**fields) for fields in data_centres),
        tuple(Service(**fields) for fields in services),
        tuple(BackendServer(**fields) for fields in servers),
    )


def render(document: Document) -> str:
    """Return ``document`` as canonical TOML, without the comments of its source."""
    return dump_tables(
        {
            kind: [_entry_to_dict(entry) for entry in entries]
            for kind, entries in document._asdict().items()
        }
    )


def _entry_to_dict(entry: Any) -> dict[str, Any]:
    # ``str`` turns the members of string enumerations into plain strings.
    return {
        field: str(value) if isinstance(value, str) else value
        for field, value in entry._asdict().items()
    }


def _convert_entries(
    reader: TomlReader, kind: str, types: dict[str, Any], defaults: dict[str, Any]
) -> list[dict[str, Any]]:
    converted = [
        reader.convert_fields(path, entry, types, defaults)
        for path, entry in reader.get_entries(kind)
    ]
    return [fields for fields in converted if fields is not None]
