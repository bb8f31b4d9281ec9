"""Keeps long-lived tasks running, and records what failed in them."""

from __future__ import annotations

from coltsfootstair.supervision._failures import FailureLog
from coltsfootstair.supervision._supervisor import (
    RestartPolicy,
    SupervisedTask,
    Supervisor,
)

__all__ = ['FailureLog', 'RestartPolicy', 'SupervisedTask', 'Supervisor']
