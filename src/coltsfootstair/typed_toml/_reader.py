"""Converts TOML tables field by field, and collects all faults found."""

from __future__ import annotations

import enum
import tomllib
from typing import TYPE_CHECKING, Any

import msgspec

from coltsfootstair.errors import BadInputError
from coltsfootstair.typed_toml._lines import FieldPath, find_lines_by_path
from coltsfootstair.typed_toml._types import (
    MAX_NAME_LENGTH,
    MAX_POSITIVE_INT,
    Address,
    ListenAddress,
    Name,
    PositiveInt,
    parse_address,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['FieldPath', 'TomlReader']

_ALLOWED_BY_TYPE: dict[Any, str] = {
    Name: f'a name of 1 to {MAX_NAME_LENGTH} letters, digits, ".", "_" or "-", '
    'that starts with a letter or digit',
    PositiveInt: f'a whole number from 1 to {MAX_POSITIVE_INT}',
    Address: 'IP:PORT with an IP number and a port from 1 to 65535',
    ListenAddress: 'IP:PORT with an IP number and a port from 0 to 65535',
    bool: 'true or false',
    str: 'a string',
}


class TomlReader:
    """Converts one TOML text, and collects its faults.

    :param source: the file or address that the text came from
    """

    def __init__(self, text: str, source: str) -> None:
        self._source = source
        self._faults: list[BadInputError] = []
        self._line_by_path = find_lines_by_path(text)
        self.root: dict[str, Any] = {}
        try:
            self.root = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            self._faults.append(BadInputError(source, 'TOML', str(error)))

    def add_fault(self, path: FieldPath, allowed: str) -> None:
        """Add a fault: the value at ``path`` is not allowed.

        :param allowed: what is allowed there instead
        """
        self._faults.append(BadInputError(self._source, self._format_path(path), allowed))

    def raise_faults(self) -> None:
        """Raise all faults found so far.

        :raises ExceptionGroup: of ``BadInputError``, if there is any fault
        """
        if self._faults:
            raise ExceptionGroup(f'{self._source} is not allowed', self._faults)

    def get_table(self, path: FieldPath) -> dict[str, Any]:
        """Return the table at ``path``.

        If the value there is not a table, add a fault and return an empty table.
        """
        value: Any = self.root
        for part in path:
            value = value.get(part, {})
        if isinstance(value, dict):
            return value
        self.add_fault(path, 'must be a table')
        return {}

    def get_entries(self, name: str) -> list[tuple[FieldPath, dict[str, Any]]]:
        """Return the entries of the array of tables ``name``, each with its path."""
        value = self.root.get(name, [])
        if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
            self.add_fault((name,), f'must be tables, each under [[{name}]]')
            return []
        return [((name, number), entry) for number, entry in enumerate(value)]

    def reject_unknown_fields(
        self, path: FieldPath, table: Mapping[str, Any], known: Mapping[str, Any]
    ) -> None:
        """Add a fault for each field of ``table`` that is not in ``known``."""
        for field in table:
            if field not in known:
                self.add_fault((*path, field), f'unknown field; known are {", ".join(known)}')

    def convert_fields(
        self,
        path: FieldPath,
        table: Mapping[str, Any],
        type_by_field: Mapping[str, Any],
        defaults: Mapping[str, Any] | None = None,
    ) -> dict[str, Any] | None:
        """Convert the fields of ``table``; on faults, add them and return ``None``.

        Unknown fields, and missing ones that have no default, are faults too.
        """
        defaults = defaults or {}
        previous_fault_count = len(self._faults)
        self.reject_unknown_fields(path, table, type_by_field)
        values: dict[str, Any] = dict(defaults)
        for field, field_type in type_by_field.items():
            if field in table:
                values[field] = self._convert((*path, field), table[field], field_type)
            elif field not in defaults:
                self.add_fault(
                    (*path, field), f'missing; must be {_describe_allowed(field_type)}'
                )
        return values if len(self._faults) == previous_fault_count else None

    def _convert(self, path: FieldPath, value: Any, field_type: Any) -> Any:
        try:
            converted = msgspec.convert(value, field_type)
            if field_type is Address:
                parse_address(converted)
            if field_type is ListenAddress:
                parse_address(converted, min_port=0)
        except ValueError:
            self.add_fault(path, f'must be {_describe_allowed(field_type)}')
            return None
        return converted

    def _format_path(self, path: FieldPath) -> str:
        text = ''
        for part in path:
            text += f'[{part + 1}]' if isinstance(part, int) else f'.{part}'
        line = next(
            (
                self._line_by_path[path[:length]]
                for length in range(len(path), 0, -1)
                if path[:length] in self._line_by_path
            ),
            None,
        )
        return text.lstrip('.') + (f' (line {line})' if line else '')


def _describe_allowed(field_type: Any) -> str:
    if field_type in _ALLOWED_BY_TYPE:
        return _ALLOWED_BY_TYPE[field_type]
    if isinstance(field_type, enum.EnumType):
        return 'one of ' + ', '.join(
            f'"{member.value}"' for member in list[enum.Enum](field_type)
        )
    return 'a list of names'
