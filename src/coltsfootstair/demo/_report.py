"""Renders the measures and verdicts of a run as plain text tables."""

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

MAX_SHOWN_VIOLATIONS = 3


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


def render_table(title: str, headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(headers))]
    lines = [
        '  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return '\n'.join([title, *(f'  {line}' for line in lines), ''])


def render_ownership_table(record: RunRecord) -> str:
    """Return a table of imbalance, churn and unavailability of each service."""
    headers = (
        'service',
        'imbalance',
        'moves/rows',
        'required moves',
        'rows without owner',
        'median time',
        'longest time',
    )
    return render_table(
        'Imbalance, churn and unavailability', headers, _build_ownership_rows(record)
    )


def _build_ownership_rows(record: RunRecord) -> Iterator[Sequence[object]]:
    # The imbalance is that before the first intervention.
    changed_at = min(
        (intervention.at for intervention in record.interventions), default=record.ended_at
    )
    for service in sorted({sample.service for sample in record.samples}):
        imbalance = f'{compute_imbalance(record, service, record.started_at, changed_at):.2f}'
        if service not in record.divided_services:
            yield service, imbalance, '-', '-', '-', '-', '-'
            continue
        churn, unavailability = (
            compute_churn(record, service),
            compute_unavailability(record, service),
        )
        yield (
            service,
            imbalance,
            f'{churn.moves}/{churn.slots}',
            churn.least,
            unavailability.slots,
            f'{unavailability.median_s * 1000:.0f} ms',
            f'{unavailability.longest_s * 1000:.0f} ms',
        )


def render_latency_table(record: RunRecord) -> str:
    """Return a table of the latency and the outcomes of the requests of each service."""
    rows = [
        (
            service,
            *_build_latency_cells(
                summarise_latency([s for s in record.samples if s.service == service])
            ),
        )
        for service in sorted({sample.service for sample in record.samples})
    ]
    headers = ('service', 'answered', 'refused', 'failed', 'p50 ms', 'p99 ms', 'p99.9 ms')
    return render_table('Latency over the whole run', headers, rows)


def render_per_second_tables(record: RunRecord) -> str:
    """Return tables of latency and outcomes for each second, one of them for uploads only."""
    services = frozenset(sample.service for sample in record.samples)
    groups = (services - record.upload_services, services & record.upload_services)
    return '\n'.join(_render_per_second_table(record, group) for group in groups if group)


def _render_per_second_table(record: RunRecord, services: frozenset[str]) -> str:
    rows = [
        (summary.number, *_build_latency_cells(summary.latency)[:5], summary.title)
        for summary in summarise_by_second(record, services)
    ]
    headers = ('second', 'answered', 'refused', 'failed', 'p50 ms', 'p99 ms', 'intervention')
    return render_table(
        f'Requests for each second: {", ".join(sorted(services))}', headers, rows
    )


def render_verdict_table(verdicts: Sequence[Verdict]) -> str:
    """Return a table of the verdicts, and the first violations of each promise."""
    rows = [
        (verdict.promise, verdict.case_count, 'kept' if verdict.is_kept else 'BROKEN')
        for verdict in verdicts
    ]
    violation_lines = [
        f'  {verdict.promise}: {violation}'
        for verdict in verdicts
        for violation in (
            *verdict.violations[:MAX_SHOWN_VIOLATIONS],
            *_render_hidden_count(verdict),
        )
    ]
    return '\n'.join(
        [render_table('Promises', ('promise', 'cases', 'verdict'), rows), *violation_lines]
    )


def _render_hidden_count(verdict: Verdict) -> list[str]:
    hidden_count = len(verdict.violations) - MAX_SHOWN_VIOLATIONS
    return [f'and {hidden_count} more'] if hidden_count > 0 else []


def _build_latency_cells(latency: Latency) -> tuple[object, ...]:
    latencies_ms = (latency.p50_ms, latency.p99_ms, latency.p999_ms)
    cells = [f'{each:.1f}' if latency.answered else '-' for each in latencies_ms]
    return (latency.answered, latency.refused, latency.failed, *cells)
