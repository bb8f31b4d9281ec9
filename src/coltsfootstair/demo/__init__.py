"""Runs the whole system on stand-ins in one process, and checks its promises."""

from __future__ import annotations

from coltsfootstair.demo._judge import Promise, Verdict, judge
from coltsfootstair.demo._measures import (
    Churn,
    Latency,
    SecondSummary,
    Unavailability,
    compute_churn,
    compute_imbalance,
    compute_unavailability,
    summarise_by_second,
    summarise_latency,
)
from coltsfootstair.demo._plan import DaemonPlan, Plan, ServerPlan, build_document
from coltsfootstair.demo._report import (
    render_latency_table,
    render_ownership_table,
    render_per_second_tables,
    render_report,
    render_table,
    render_verdict_table,
)
from coltsfootstair.demo._run_record import (
    Intervention,
    InterventionKind,
    RunRecord,
    ServerRecord,
    restrict_to_window,
)

__all__ = [
    'Churn',
    'DaemonPlan',
    'Intervention',
    'InterventionKind',
    'Latency',
    'Plan',
    'Promise',
    'RunRecord',
    'SecondSummary',
    'ServerPlan',
    'ServerRecord',
    'Unavailability',
    'Verdict',
    'build_document',
    'compute_churn',
    'compute_imbalance',
    'compute_unavailability',
    'judge',
    'render_latency_table',
    'render_ownership_table',
    'render_per_second_tables',
    'render_report',
    'render_table',
    'render_verdict_table',
    'restrict_to_window',
    'summarise_by_second',
    'summarise_latency',
]
