"""Bounds retries, and the memory that upload bodies take so that they can be sent again."""

from __future__ import annotations

from coltsfootstair.retries._budget import RetryBudget
from coltsfootstair.retries._decision import (
    AttemptFacts,
    RetryDecision,
    decide_retry,
    mask_unverified_outcome,
    may_hedge,
    retry_delay_s,
)
from coltsfootstair.retries._uploads import UploadBudget
from coltsfootstair.retries._window import WindowRetryBudget

__all__ = [
    'AttemptFacts',
    'RetryBudget',
    'RetryDecision',
    'UploadBudget',
    'WindowRetryBudget',
    'decide_retry',
    'mask_unverified_outcome',
    'may_hedge',
    'retry_delay_s',
]
