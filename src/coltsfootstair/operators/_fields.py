"""The form fields of each kind of entry, and the values that they are posted with."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from coltsfootstair.document import ServiceKind, State

__all__ = ['TITLE_BY_KIND', 'Field', 'Widget', 'fields_of', 'posted_values']


class Widget(enum.StrEnum):
    """How a field is shown."""

    TEXT = 'text'
    NUMBER = 'number'
    CHOICE = 'choice'
    SEVERAL = 'several'


class Field(NamedTuple):
    """One field of a form.

    :param choices: for choices, what may be chosen
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

_YES_NO = ('true', 'false')
_YES_NO_FIELDS = ('divided_by_key', 'checks_grants')
_NAME = Field('name', 'Name', 'Letters, digits, ".", "_" and "-".')
_STATE = Field(
    'state',
    'State',
    '"out" gives it no new work; what runs there may end.',
    Widget.CHOICE,
    tuple(State),
)


def fields_of(kind: str, names_by_kind: Mapping[str, Sequence[str]]) -> list[Field]:
    """Return the fields of an entry of ``kind``.

    :param names_by_kind: names that entries may refer to
    """
    match kind:
        case 'data_centres':
            return [_NAME, _STATE]
        case 'services':
            return _service_fields(names_by_kind['data_centres'])
        case _:
            return _server_fields(names_by_kind['services'], names_by_kind['data_centres'])


def posted_values(fields: Sequence[Field], form: Mapping[str, list[str]]) -> dict[str, Any]:
    """Return the posted values; what can't be converted stays a text, for the checks."""
    return {field.name: _value(field, form.get(field.name, [])) for field in fields}


def _value(field: Field, posted: list[str]) -> Any:
    if field.widget is Widget.SEVERAL:
        return posted
    text = posted[0].strip() if posted else ''
    if field.widget is Widget.NUMBER and text.isascii() and text.isdigit():
        return int(text)
    if field.name in _YES_NO_FIELDS and text in _YES_NO:
        return text == 'true'
    return text


def _service_fields(data_centres: Sequence[str]) -> list[Field]:
    return [
        _NAME,
        Field(
            'kind',
            'Kind',
            'Only lookups are repeated by the router.',
            Widget.CHOICE,
            tuple(ServiceKind),
        ),
        Field(
            'divided_by_key',
            'Divided by key',
            'Whether each key has one owner among the backend servers.',
            Widget.CHOICE,
            _YES_NO,
        ),
        Field(
            'data_centres',
            'Data centres',
            'Where its backend servers may be.',
            Widget.SEVERAL,
            data_centres,
        ),
    ]


def _server_fields(services: Sequence[str], data_centres: Sequence[str]) -> list[Field]:
    return [
        _NAME,
        Field('service', 'Service', 'What it serves.', Widget.CHOICE, services),
        Field('data_centre', 'Data centre', 'Where it is.', Widget.CHOICE, data_centres),
        Field('address', 'Address', 'IP:PORT, with an IP number.'),
        Field('slots', 'Slots', 'Requests it works on at once.', Widget.NUMBER),
        Field('connections', 'Connections', 'Connections it accepts.', Widget.NUMBER),
        Field(
            'checks_grants',
            'Checks grants',
            'Whether it refuses requests for keys that are not granted to it.',
            Widget.CHOICE,
            _YES_NO,
        ),
        _STATE,
    ]
