"""The time line: events of all daemons in one causal order."""

from __future__ import annotations

from coltsfootstair.timeline._clock import HybridClock, HybridTime
from coltsfootstair.timeline._events import EventName, FieldValue, TimelineEvent
from coltsfootstair.timeline._merge import find_owner_at, merge, select_row_events
from coltsfootstair.timeline._rows import format_rows, has_row
from coltsfootstair.timeline._timeline import Timeline

__all__ = [
    'EventName',
    'FieldValue',
    'HybridClock',
    'HybridTime',
    'Timeline',
    'TimelineEvent',
    'find_owner_at',
    'format_rows',
    'has_row',
    'merge',
    'select_row_events',
]
