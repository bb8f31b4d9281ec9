"""The form fields of each kind of entry, and the conversion of posted values."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from coltsfootstair.document import ServiceKind, State

__all__ = ['TITLE_BY_KIND', 'Field', 'Widget', 'convert_posted_values', 'list_fields']


class Widget(enum.StrEnum):
    """The form control that shows a field."""

    TEXT = 'text'
    NUMBER = 'number'
    CHOICE = 'choice'
    MULTIPLE = 'multiple'


class Field(NamedTuple):
    """One field of a form.

    :param choices: the allowed values of a ``CHOICE`` or ``MULTIPLE`` field
    """

    name: str
    label: str
    help: str
    widget: Widget = Widget.TEXT
    choices: Sequence[str] = ()


TITLE_BY_KIND = {
    'data_centres': 'data centre',
    'services': 'service',
    'backend_servers': 'backend server',
}
"""Title of an entry on the pages, by its kind: the name of its table in the document."""

_BOOLEAN_TEXTS = ('true', 'false')
_BOOLEAN_FIELDS = ('divided_by_key', 'checks_grants')
_NAME = Field('name', 'Name', 'Letters, digits, ".", "_" and "-".')
_STATE = Field(
    'state',
    'State',
    '"out": it is given no new work; requests in progress may finish.',
    Widget.CHOICE,
    tuple(State),
)


def list_fields(kind: str, names_by_kind: Mapping[str, Sequence[str]]) -> list[Field]:
    """Return the fields of an entry of ``kind``.

    :param names_by_kind: names of the entries that a field may refer to
    """
    match kind:
        case 'data_centres':
            return [_NAME, _STATE]
        case 'services':
            return _list_service_fields(names_by_kind['data_centres'])
        case _:
            return _list_server_fields(
                names_by_kind['services'], names_by_kind['data_centres']
            )


def convert_posted_values(
    fields: Sequence[Field], form: Mapping[str, list[str]]
) -> dict[str, Any]:
    """Convert the posted values.

    A value that cannot be converted stays text, so that the checks of the document report it.
    """
    return {field.name: _convert_value(field, form.get(field.name, [])) for field in fields}


def _convert_value(field: Field, posted: list[str]) -> Any:
    if field.widget is Widget.MULTIPLE:
        return posted
    text = posted[0].strip() if posted else ''
    if field.widget is Widget.NUMBER and text.isascii() and text.isdigit():
        return int(text)
    if field.name in _BOOLEAN_FIELDS and text in _BOOLEAN_TEXTS:
        return text == 'true'
    return text


def _list_service_fields(data_centres: Sequence[str]) -> list[Field]:
    return [
        _NAME,
        Field(
            'kind',
            'Kind',
            'The router retries only lookups.',
            Widget.CHOICE,
            tuple(ServiceKind),
        ),
        Field(
            'divided_by_key',
            'Divided by key',
            'Whether each key has one owner among the backend servers.',
            Widget.CHOICE,
            _BOOLEAN_TEXTS,
        ),
        Field(
            'data_centres',
            'Data centres',
            'Data centres that its backend servers may be in.',
            Widget.MULTIPLE,
            data_centres,
        ),
    ]


def _list_server_fields(services: Sequence[str], data_centres: Sequence[str]) -> list[Field]:
    return [
        _NAME,
        Field('service', 'Service', 'Service that it belongs to.', Widget.CHOICE, services),
        Field(
            'data_centre',
            'Data centre',
            'Data centre that it is in.',
            Widget.CHOICE,
            data_centres,
        ),
        Field('address', 'Address', 'IP number and port, as IP:PORT.'),
        Field('slots', 'Slots', 'Number of requests that it works on at once.', Widget.NUMBER),
        Field(
            'connections',
            'Connections',
            'Number of connections that it accepts at once.',
            Widget.NUMBER,
        ),
        Field(
            'checks_grants',
            'Checks grants',
            'Whether it refuses requests for keys that are not granted to it.',
            Widget.CHOICE,
            _BOOLEAN_TEXTS,
        ),
        _STATE,
    ]
