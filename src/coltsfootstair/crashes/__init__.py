"""Requests under which backend servers have ended, as all daemons know them."""

from __future__ import annotations

from coltsfootstair.crashes._archive import SuspectArchive
from coltsfootstair.crashes._evidence import CrashEvidence, EndedExchange
from coltsfootstair.crashes._fingerprint import compute_fingerprints
from coltsfootstair.crashes._suspects import HOLD_CRASH_COUNT, SuspectRequests, Verdict
from coltsfootstair.crashes._trials import TRIAL_INTERVAL_S, TrialClient, TrialScheduler

__all__ = [
    'HOLD_CRASH_COUNT',
    'TRIAL_INTERVAL_S',
    'CrashEvidence',
    'EndedExchange',
    'SuspectArchive',
    'SuspectRequests',
    'TrialClient',
    'TrialScheduler',
    'Verdict',
    'compute_fingerprints',
]
