"""Reads the log lines of several processes."""

from __future__ import annotations

import json
from datetime import datetime
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['LogLine', 'read_lines']


class LogLine(NamedTuple):
    """One structured line.

    :param fields: all else that the line says
    """

    at: datetime
    daemon: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the structured lines among ``texts``, in the order of their times.

    What stands in front of the JSON object, as log collectors put there, is passed over,
    and so are lines without one.
    """
    lines = []
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields.pop('timestamp'))
            line = LogLine(at, fields.pop('daemon', '?'), fields.pop('event'), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
        lines.append(line)
    return sorted(lines, key=lambda line: line.at)
