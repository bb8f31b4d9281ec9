"""Spans of time in which backend servers held the slots of a service."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.demo._run_record import InterventionKind, RunRecord

__all__ = ['Span', 'spans_by_slot']


class Span(NamedTuple):
    """One backend server held a slot from ``begin`` to ``end``, monotonic seconds."""

    begin: float
    end: float
    server: str
    token: int


def spans_by_slot(record: RunRecord, service: str) -> dict[int, list[Span]]:
    """Return who held each slot, in order of time; a lost server holds none."""
    lost_at = {
        name: intervention.at
        for intervention in record.interventions
        if intervention.kind is InterventionKind.LOST
        for name in intervention.servers
    }
    found: dict[int, list[Span]] = {}
    for server, truth in record.server_records:
        if server.service != service:
            continue
        last = lost_at.get(server.name, record.ended_at)
        for grant in truth['grants']:
            span = Span(grant['from'], min(grant['to'], last), server.name, grant['token'])
            if span.end < span.begin:
                continue
            for slot in range(grant['first'], grant['last'] + 1):
                found.setdefault(slot, []).append(span)
    return {slot: sorted(spans) for slot, spans in found.items()}
