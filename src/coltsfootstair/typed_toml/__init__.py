"""Reads TOML into typed values, and reports each fault with its file, field and line."""

from __future__ import annotations

from coltsfootstair.typed_toml._dump import dump_tables
from coltsfootstair.typed_toml._reader import FieldPath, TomlReader
from coltsfootstair.typed_toml._types import (
    Address,
    ListenAddress,
    Name,
    PositiveInt,
    parse_address,
)

__all__ = [
    'Address',
    'FieldPath',
    'ListenAddress',
    'Name',
    'PositiveInt',
    'TomlReader',
    'dump_tables',
    'parse_address',
]
