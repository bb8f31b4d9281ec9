"""The whole system in one process on stand-ins, and the judge of its promises."""

from __future__ import annotations

from coltsfootstair.demo._judge import Promise, Verdict, judge
from coltsfootstair.demo._measures import (
    Churn,
    Latency,
    Second,
    Unavailable,
    churn,
    imbalance,
    latency,
    seconds,
    unavailable,
)
from coltsfootstair.demo._plan import DaemonPlan, Plan, ServerPlan, document_of
from coltsfootstair.demo._report import (
    latency_table,
    ownership_table,
    report,
    seconds_tables,
    table,
    verdict_table,
)
from coltsfootstair.demo._run_record import (
    Intervention,
    InterventionKind,
    RunRecord,
    ServerRecord,
    window,
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
    'Second',
    'ServerPlan',
    'ServerRecord',
    'Unavailable',
    'Verdict',
    'churn',
    'document_of',
    'imbalance',
    'judge',
    'latency',
    'latency_table',
    'ownership_table',
    'report',
    'seconds',
    'seconds_tables',
    'table',
    'unavailable',
    'verdict_table',
    'window',
]
