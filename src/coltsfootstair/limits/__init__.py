"""Request rates that backend servers name as their limit for all daemons together."""

from __future__ import annotations

from coltsfootstair.limits._gate import Denial, LimitGate, Permit
from coltsfootstair.limits._issuer import MIN_LIMIT_PER_S, IssuedPermits, PermitIssuer
from coltsfootstair.limits._named import NamedLimits

__all__ = [
    'MIN_LIMIT_PER_S',
    'Denial',
    'IssuedPermits',
    'LimitGate',
    'NamedLimits',
    'Permit',
    'PermitIssuer',
]
