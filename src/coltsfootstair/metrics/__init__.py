"""OpenTelemetry metrics of a daemon, exposed on its /metrics page."""

from __future__ import annotations

from coltsfootstair.metrics._gateway import GatewayMetrics
from coltsfootstair.metrics._metrics import DaemonMetrics

__all__ = ['DaemonMetrics', 'GatewayMetrics']
