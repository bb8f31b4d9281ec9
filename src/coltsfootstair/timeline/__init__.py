"""The time line: events of all processes in one causal order."""

from __future__ import annotations

from coltsfootstair.timeline._clock import HybridClock, HybridTime
from coltsfootstair.timeline._events import EventName, FieldValue, TimelineEvent
from coltsfootstair.timeline._merge import events_of_row, merge, owner_at
from coltsfootstair.timeline._rows import format_rows, has_row
from coltsfootstair.timeline._timeline import Timeline

__all__ = [
    'EventName',
    'FieldValue',
    'HybridClock',
    'HybridTime',
    'Timeline',
    'TimelineEvent',
    'events_of_row',
    'format_rows',
    'has_row',
    'merge',
    'owner_at',
]
