"""A set of instruments and the page that shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from opentelemetry.sdk.metrics.view import View

__all__ = ['MetricsPage']


class MetricsPage:
    """Owns the instruments of one daemon."""

    def __init__(self, daemon: str, views: Sequence[View] = ()) -> None:
        self._reader = PrometheusMetricReader()
        resource = Resource.create({'service.name': 'coltsfootstair', 'daemon': daemon})
        self._provider = MeterProvider(
            metric_readers=[self._reader], resource=resource, views=views
        )
        self._meter = self._provider.get_meter('coltsfootstair')

    def add_gauge(
        self, name: str, description: str, read: Callable[[], Mapping[str, float]], label: str
    ) -> None:
        """Show the values that ``read`` returns by ``label``, each time they are asked for."""

        def callback(_options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, {label: key}) for key, value in read().items()]

        self._meter.create_observable_gauge(name, [callback], description=description)

    def render_page(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Take the instruments off the page."""
        self._provider.shutdown()
