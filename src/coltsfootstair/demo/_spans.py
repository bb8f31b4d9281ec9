"""Spans of time in which backend servers owned the rows of a service."""

from __future__ import annotations

from typing import NamedTuple

from coltsfootstair.demo._run_record import InterventionKind, RunRecord

__all__ = ['Span', 'collect_spans_by_row']


class Span(NamedTuple):
    """Time in which one backend server owned a row or ran a request, in monotonic seconds."""

    begin: float
    end: float
    server: str
    token: int


def collect_spans_by_row(record: RunRecord, service: str) -> dict[int, list[Span]]:
    """Return the owners of each row, in order of time.

    The spans of a lost server end at its loss.
    """
    lost_at = {
        name: intervention.at
        for intervention in record.interventions
        if intervention.kind is InterventionKind.LOST
        for name in intervention.servers
    }
    spans_by_row: dict[int, list[Span]] = {}
    for server, truth in record.server_records:
        if server.service != service:
            continue
        last_at = lost_at.get(server.name, record.ended_at)
        for grant in truth['grants']:
            span = Span(grant['from'], min(grant['to'], last_at), server.name, grant['token'])
            if span.end < span.begin:
                continue
            for row in range(grant['first'], grant['last'] + 1):
                spans_by_row.setdefault(row, []).append(span)
    return {row: sorted(spans) for row, spans in spans_by_row.items()}
