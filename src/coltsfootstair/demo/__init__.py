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
from coltsfootstair.demo._observed import Happening, HappeningKind, Observed, Watched
from coltsfootstair.demo._report import (
    latency_table,
    ownership_table,
    report,
    seconds_table,
    table,
    verdict_table,
)

__all__ = [
    'Churn',
    'Happening',
    'HappeningKind',
    'Latency',
    'Observed',
    'Promise',
    'Second',
    'Unavailable',
    'Verdict',
    'Watched',
    'churn',
    'imbalance',
    'judge',
    'latency',
    'latency_table',
    'ownership_table',
    'report',
    'seconds',
    'seconds_table',
    'table',
    'unavailable',
    'verdict_table',
]
