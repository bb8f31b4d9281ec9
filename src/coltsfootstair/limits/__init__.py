"""Request rates that backend servers name as their limit for all daemons together."""

from __future__ import annotations

from coltsfootstair.limits._gate import LimitGate
from coltsfootstair.limits._named import NamedLimits

__all__ = ['LimitGate', 'NamedLimits']
