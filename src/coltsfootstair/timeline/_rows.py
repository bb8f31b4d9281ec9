"""Formats row numbers as ranges and finds a row in them."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ['format_rows', 'has_row']


def format_rows(rows: Iterable[int]) -> str:
    """Return ``rows`` as a text of ranges, such as ``0-3 7 9-12``."""
    ranges: list[tuple[int, int]] = []
    for row in sorted(rows):
        if ranges and ranges[-1][1] == row - 1:
            ranges[-1] = (ranges[-1][0], row)
        else:
            ranges.append((row, row))
    return ' '.join(
        str(first) if first == last else f'{first}-{last}' for first, last in ranges
    )


def has_row(text: str, row: int) -> bool:
    """Return whether ``row`` is in the ranges that ``format_rows`` wrote into ``text``."""
    for part in text.split():
        first, _, last = part.partition('-')
        if int(first) <= row <= int(last or first):
            return True
    return False
