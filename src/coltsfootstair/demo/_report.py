"""Prints the measures and verdicts of a run as plain tables."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from coltsfootstair.demo._measures import (
    Latency,
    compute_churn,
    compute_imbalance,
    compute_unavailability,
    summarise_by_second,
    summarise_latency,
)

if TYPE_CHECKING:
    from coltsfootstair.demo._judge import Verdict
    from coltsfootstair.demo._run_record import RunRecord

__all__ = [
    'render_latency_table',
    'render_ownership_table',
    'render_per_second_tables',
    'render_report',
    'render_table',
    'render_verdict_table',
]

SHOWN_FAULTS = 3


def render_report(record: RunRecord, verdicts: Sequence[Verdict]) -> str:
    """Return all tables of a run."""
    return '\n'.join(
        [
            render_per_second_tables(record),
            render_latency_table(record),
            render_ownership_table(record),
            render_verdict_table(verdicts),
        ]
    )


def render_table(title: str, heads: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(heads))]
    lines = [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return '\n'.join([title, *(f'  {line}' for line in lines), ''])


def render_ownership_table(record: RunRecord) -> str:
    """Return imbalance, churn and unavailable time for each service."""
    heads = (
        'service',
        'imbalance',
        'moves',
        'least',
        'slots without owner',
        'median',
        'longest',
    )
    return render_table(
        'Imbalance, churn and unavailable time', heads, _ownership_rows(record)
    )


def _ownership_rows(record: RunRecord) -> Iterator[Sequence[object]]:
    first = min((each.at for each in record.interventions), default=record.ended_at)
    for service in sorted({sample.service for sample in record.samples}):
        peak = f'{compute_imbalance(record, service, record.started_at, first):.2f}'
        if service not in record.divided_services:
            yield service, peak, '-', '-', '-', '-', '-'
            continue
        moved, gone = compute_churn(record, service), compute_unavailability(record, service)
        yield (
            service,
            peak,
            f'{moved.moves}/{moved.slots}',
            moved.least,
            gone.slots,
            f'{gone.median_s * 1000:.0f} ms',
            f'{gone.longest_s * 1000:.0f} ms',
        )


def render_latency_table(record: RunRecord) -> str:
    """Return how the requests of each service were answered."""
    rows = [
        (
            service,
            *_latency_cells(
                summarise_latency([s for s in record.samples if s.service == service])
            ),
        )
        for service in sorted({sample.service for sample in record.samples})
    ]
    heads = ('service', 'answered', 'refused', 'failed', 'p50 ms', 'p99 ms', 'p99.9 ms')
    return render_table('Latency over the whole run', heads, rows)


def render_per_second_tables(record: RunRecord) -> str:
    """Return how requests were answered second by second; uploads on their own."""
    services = frozenset(sample.service for sample in record.samples)
    groups = (services - record.upload_services, services & record.upload_services)
    return '\n'.join(_seconds_table(record, group) for group in groups if group)


def _seconds_table(record: RunRecord, services: frozenset[str]) -> str:
    rows = [
        (each.number, *_latency_cells(each.latency)[:5], each.title)
        for each in summarise_by_second(record, services)
    ]
    heads = ('second', 'answered', 'refused', 'failed', 'p50 ms', 'p99 ms', 'what was done')
    return render_table(
        f'Service second by second: {", ".join(sorted(services))}', heads, rows
    )


def render_verdict_table(verdicts: Sequence[Verdict]) -> str:
    """Return whether each promise was kept."""
    rows = [
        (verdict.promise, verdict.case_count, 'kept' if verdict.is_kept else 'BROKEN')
        for verdict in verdicts
    ]
    faults = [
        f'  {verdict.promise}: {fault}'
        for verdict in verdicts
        for fault in (*verdict.violations[:SHOWN_FAULTS], *_more(verdict))
    ]
    return '\n'.join(
        [render_table('Promises', ('promise', 'cases', 'verdict'), rows), *faults]
    )


def _more(verdict: Verdict) -> list[str]:
    more = len(verdict.violations) - SHOWN_FAULTS
    return [f'and {more} more'] if more > 0 else []


def _latency_cells(measured: Latency) -> tuple[object, ...]:
    times = (measured.p50_ms, measured.p99_ms, measured.p999_ms)
    shown = [f'{each:.1f}' if measured.answered else '-' for each in times]
    return (measured.answered, measured.refused, measured.failed, *shown)
