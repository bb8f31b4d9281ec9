"""Merges the time lines of several daemons, and answers questions about them."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from coltsfootstair.timeline._events import EventName, TimelineEvent
from coltsfootstair.timeline._rows import has_row

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from coltsfootstair.timeline._clock import HybridTime

__all__ = ['find_owner_at', 'merge', 'select_row_events']

_OF_ROWS = (
    EventName.OWNER_ASSIGNED,
    EventName.OWNER_MOVING,
    EventName.OWNER_RELEASED,
)


def merge(by_daemon: Iterable[Sequence[TimelineEvent]]) -> list[TimelineEvent]:
    """Return all events in causal order; each daemon's own are in order already.

    An event that two daemons report (one passed the other's on) appears once.
    """
    merged: list[TimelineEvent] = []
    for event in heapq.merge(*by_daemon, key=_order):
        if not merged or _order(merged[-1]) != _order(event):
            merged.append(event)
    return merged


def find_owner_at(
    events: Iterable[TimelineEvent], service: str, slot: int, moment: HybridTime
) -> str | None:
    """Return the backend server that owned ``slot`` at ``moment``.

    :return: its name; an empty string if none did; ``None`` if the events don't reach
        back far enough to tell
    """
    owner: str | None = None
    for event in events:
        if event.time > moment:
            break
        if not _covers(event, service, slot):
            continue
        if event.name is EventName.OWNER_ASSIGNED:
            owner = str(event.fields['server'])
        # The new owner's coordinator may note the change before the old owner's does.
        if event.name is EventName.OWNER_RELEASED and owner in (None, event.fields['server']):
            owner = ''
    return owner


def select_row_events(
    events: Iterable[TimelineEvent], service: str, row: int
) -> list[TimelineEvent]:
    """Return the changes of the owner of a row."""
    return [event for event in events if _covers(event, service, row)]


def _covers(event: TimelineEvent, service: str, slot: int) -> bool:
    if event.name not in _OF_ROWS:
        return False
    fields = event.fields
    return fields['service'] == service and has_row(str(fields['rows']), slot)


def _order(event: TimelineEvent) -> tuple[HybridTime, str]:
    return event.time, event.daemon
