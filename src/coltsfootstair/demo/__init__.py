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
from coltsfootstair.demo._observed import (
    Intervention,
    InterventionKind,
    Observed,
    Watched,
    window,
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

__all__ = [
    'Churn',
    'DaemonPlan',
    'Intervention',
    'InterventionKind',
    'Latency',
    'Observed',
    'Plan',
    'Promise',
    'Second',
    'ServerPlan',
    'Unavailable',
    'Verdict',
    'Watched',
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
