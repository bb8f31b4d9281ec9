"""Writes tables as TOML, each entry under its own header."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import tomli_w

__all__ = ['dump_tables']


def dump_tables(entries_by_name: Mapping[str, Iterable[Mapping[str, Any]]]) -> str:
    """Return the entries as TOML arrays of tables, with one field per line."""
    return '\n'.join(
        f'[[{name}]]\n{tomli_w.dumps(entry)}'
        for name, entries in entries_by_name.items()
        for entry in entries
    )
