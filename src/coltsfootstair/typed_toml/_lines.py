"""Finds the line number of each field of a TOML text, for error messages only."""

from __future__ import annotations

import re
from collections import Counter

__all__ = ['FieldPath', 'find_lines_by_path']

FieldPath = tuple[str | int, ...]
"""Position of a value: keys of tables, and indices of entries in arrays of tables."""

_ARRAY_HEADER = re.compile(r'\s*\[\[([^\]]+)\]\]')
_TABLE_HEADER = re.compile(r'\s*\[([^\[\]]+)\]')
_KEY = re.compile(r'\s*([A-Za-z0-9_."\' -]+?)\s*=')


def find_lines_by_path(text: str) -> dict[FieldPath, int]:
    """Return the first line, counted from 1, of each table and key of ``text``."""
    line_by_path: dict[FieldPath, int] = {}
    entry_count_by_name: Counter[FieldPath] = Counter()
    prefix: FieldPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _ARRAY_HEADER.match(line):
            name = _split_dotted_key(header[1])
            prefix = (*name, entry_count_by_name[name])
            entry_count_by_name[name] += 1
            line_by_path.setdefault(prefix, number)
        elif header := _TABLE_HEADER.match(line):
            prefix = _split_dotted_key(header[1])
            line_by_path.setdefault(prefix, number)
        elif key := _KEY.match(line):
            line_by_path.setdefault(prefix + _split_dotted_key(key[1]), number)
    return line_by_path


def _split_dotted_key(dotted: str) -> FieldPath:
    return tuple(part.strip(' "\'') for part in dotted.split('.'))
