"""What a gateway counts."""

from __future__ import annotations

from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

from coltsfootstair.metrics._page import MetricsPage

__all__ = ['GatewayMetrics']

BOUNDARIES_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper ends of the classes of request times, in seconds."""

MAX_ROUTES = 200
"""Routes that are counted under their own name; the rest are counted together."""

DURATION = 'coltsfootstair.request.duration'


class GatewayMetrics(MetricsPage):
    """Counts requests by route and outcome, and their times."""

    def __init__(self, daemon: str) -> None:
        boundaries = ExplicitBucketHistogramAggregation(BOUNDARIES_S)
        super().__init__(daemon, [View(instrument_name=DURATION, aggregation=boundaries)])
        self._requests = self._meter.create_counter(
            'coltsfootstair.requests', description='Requests of callers by route and outcome'
        )
        self._duration = self._meter.create_histogram(
            DURATION, unit='s', description='Time from the first byte to the answer'
        )
        self._routes: set[str] = set()

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count one request."""
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            route = 'other'
        self._routes.add(route)
        self._requests.add(1, {'route': route, 'outcome': outcome})
        self._duration.record(seconds, {'route': route})
