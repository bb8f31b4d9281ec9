"""Finds the line on which a field of a TOML text stands, for error messages only."""

from __future__ import annotations

import re
from collections import Counter

__all__ = ['FieldPath', 'find_lines_by_path']

FieldPath = tuple[str | int, ...]
"""Where a value stands: keys of tables and numbers of array entries."""

_ARRAY_HEADER = re.compile(r'\s*\[\[([^\]]+)\]\]')
_TABLE_HEADER = re.compile(r'\s*\[([^\[\]]+)\]')
_KEY = re.compile(r'\s*([A-Za-z0-9_."\' -]+?)\s*=')


def find_lines_by_path(text: str) -> dict[FieldPath, int]:
    """Return the first line, counted from 1, of each table and key of ``text``."""
    found: dict[FieldPath, int] = {}
    entries: Counter[FieldPath] = Counter()
    prefix: FieldPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _ARRAY_HEADER.match(line):
            name = _split(header[1])
            prefix = (*name, entries[name])
            entries[name] += 1
            found.setdefault(prefix, number)
        elif header := _TABLE_HEADER.match(line):
            prefix = _split(header[1])
            found.setdefault(prefix, number)
        elif key := _KEY.match(line):
            found.setdefault(prefix + _split(key[1]), number)
    return found


def _split(dotted: str) -> FieldPath:
    return tuple(part.strip(' "\'') for part in dotted.split('.'))
