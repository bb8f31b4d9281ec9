"""Metrics of a daemon of the product's own interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.metrics._page import MetricsPage

if TYPE_CHECKING:
    from coltsfootstair.results import ResultCode

__all__ = ['DaemonMetrics']


class DaemonMetrics(MetricsPage):
    """Counts requests by service and result."""

    def __init__(self, daemon: str) -> None:
        super().__init__(daemon)
        self._requests = self._meter.create_counter(
            'coltsfootstair.requests', description='Requests of callers by service and result'
        )

    def count_request(self, service: str, code: ResultCode) -> None:
        """Count one request that was answered or refused."""
        self._requests.add(1, {'service': service, 'result': str(int(code))})
