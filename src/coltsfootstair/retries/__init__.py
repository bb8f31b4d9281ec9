"""Bounds what an entry daemon repeats, and what it keeps in memory to do so."""

from __future__ import annotations

from coltsfootstair.retries._budget import RetryBudget
from coltsfootstair.retries._decision import (
    Attempt,
    Repeat,
    may_hedge,
    may_repeat,
    pause_s,
    without_memory,
)
from coltsfootstair.retries._uploads import UploadBudget
from coltsfootstair.retries._window import WindowBudget

__all__ = [
    'Attempt',
    'Repeat',
    'RetryBudget',
    'UploadBudget',
    'WindowBudget',
    'may_hedge',
    'may_repeat',
    'pause_s',
    'without_memory',
]
