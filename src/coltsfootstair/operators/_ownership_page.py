"""The console's page that shows the present and past owners of a key."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from coltsfootstair.operators._pages import render_page
from coltsfootstair.timeline import HybridTime, TimelineEvent, find_owner_at, select_row_events

if TYPE_CHECKING:
    from coltsfootstair.document import Document
    from coltsfootstair.operators._http import Response
    from coltsfootstair.operators._ports import DaemonPort
    from coltsfootstair.operators._types import OwnerReport

__all__ = ['render_owners_page']

INVALID_TIME = 'must be a time in UTC such as 2026-01-31T12:00:00.250'


def render_owners_page(
    port: DaemonPort, document: Document, query: dict[str, str]
) -> Response:
    """Return a page with the owner of a key, the changes of its row, and all owners."""
    service, key, at = (query.get(name, '') for name in ('service', 'key', 'at'))
    found = port.find_owner(service, key) if service and key else None
    events = select_row_events(port.timeline(), service, found.row) if found else []
    moment = _parse_time(at)
    return render_page(
        'owners',
        report=port.status(),
        services=[one.name for one in document.services if one.divided_by_key],
        service=service,
        key=key,
        at=at,
        fault=INVALID_TIME if at and moment is None else '',
        found=found,
        past_owner=_describe_past_owner(events, found, moment),
        events=events,
    )


def _describe_past_owner(
    events: Sequence[TimelineEvent], found: OwnerReport | None, moment: HybridTime | None
) -> str:
    if found is None or moment is None:
        return ''
    owner = find_owner_at(events, found.service, found.row, moment)
    if owner is None:
        return 'The owner is unknown, since the recorded events do not go back that far.'
    return f'{owner} was the owner.' if owner else 'No backend server was the owner.'


def _parse_time(text: str) -> HybridTime | None:
    """Return a stamp after all events of the millisecond that ``text`` names.

    :param text: a time as the time line shows it; ``None`` is returned if it is not one
    """
    try:
        moment = datetime.fromisoformat(text.partition('Z')[0])
    except ValueError:
        return None
    return HybridTime(int(moment.replace(tzinfo=UTC).timestamp() * 1000) + 1, 0)
