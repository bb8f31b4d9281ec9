"""Merges the time lines of several daemons and queries the result."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from coltsfootstair.timeline._events import EventName, TimelineEvent
from coltsfootstair.timeline._rows import has_row

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from coltsfootstair.timeline._clock import HybridTime

__all__ = ['find_owner_at', 'merge', 'select_row_events']

_ROW_EVENTS = (
    EventName.OWNER_ASSIGNED,
    EventName.OWNER_MOVING,
    EventName.OWNER_RELEASED,
)


def merge(events_by_daemon: Iterable[Sequence[TimelineEvent]]) -> list[TimelineEvent]:
    """Return all events in causal order.

    An event that several daemons report, because one of them passed it on, appears once.

    :param events_by_daemon: the events that each daemon reports, in causal order
    """
    merged: list[TimelineEvent] = []
    for event in heapq.merge(*events_by_daemon, key=_sort_key):
        if not merged or _sort_key(merged[-1]) != _sort_key(event):
            merged.append(event)
    return merged


def find_owner_at(
    events: Iterable[TimelineEvent], service: str, row: int, moment: HybridTime
) -> str | None:
    """Return the backend server that owned ``row`` at ``moment``.

    :return: its name; an empty string if the row had no owner; ``None`` if the events do
        not reach back far enough to tell
    """
    owner: str | None = None
    for event in events:
        if event.time > moment:
            break
        if not _is_about_row(event, service, row):
            continue
        if event.name is EventName.OWNER_ASSIGNED:
            owner = str(event.fields['server'])
        # The new owner's coordinator may record the change before the old owner's does.
        if event.name is EventName.OWNER_RELEASED and owner in (None, event.fields['server']):
            owner = ''
    return owner


def select_row_events(
    events: Iterable[TimelineEvent], service: str, row: int
) -> list[TimelineEvent]:
    """Return the events that changed the owner of ``row``."""
    return [event for event in events if _is_about_row(event, service, row)]


def _is_about_row(event: TimelineEvent, service: str, row: int) -> bool:
    if event.name not in _ROW_EVENTS:
        return False
    fields = event.fields
    return fields['service'] == service and has_row(str(fields['rows']), row)


def _sort_key(event: TimelineEvent) -> tuple[HybridTime, str]:
    return event.time, event.daemon
