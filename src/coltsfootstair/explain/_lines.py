"""Reads structured log lines of several processes."""

from __future__ import annotations

import json
from datetime import datetime
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['LogLine', 'read_lines']


class LogLine(NamedTuple):
    """One structured log line.

    :param logged_at: its timestamp
    :param fields: all its other fields
    """

    logged_at: datetime
    daemon: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the structured lines among ``texts``, sorted by time.

    Text before the JSON object, as added by log collectors, is ignored, and so are lines
    without a JSON object.
    """
    lines = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            logged_at = datetime.fromisoformat(fields.pop('timestamp'))
            line = LogLine(logged_at, fields.pop('daemon', '?'), fields.pop('event'), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        lines.append(line)
    return sorted(lines, key=lambda line: line.logged_at)
