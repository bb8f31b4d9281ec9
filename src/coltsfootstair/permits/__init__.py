"""Permits for requests under limits that all daemons share, issued by the keeper."""

from __future__ import annotations

from coltsfootstair.permits._client import PermitClient
from coltsfootstair.permits._gate import Denial, Permit, PermitGate
from coltsfootstair.permits._issuer import MIN_LIMIT_PER_S, IssuedPermits, PermitIssuer

__all__ = [
    'MIN_LIMIT_PER_S',
    'Denial',
    'IssuedPermits',
    'Permit',
    'PermitClient',
    'PermitGate',
    'PermitIssuer',
]
