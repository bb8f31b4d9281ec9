"""The instruments of one daemon, and the page that exposes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import (
    GC_COLLECTOR,
    PLATFORM_COLLECTOR,
    PROCESS_COLLECTOR,
    REGISTRY,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from opentelemetry.sdk.metrics.view import View

__all__ = ['MetricsPage']

RUNTIME_COLLECTORS = (GC_COLLECTOR, PLATFORM_COLLECTOR, PROCESS_COLLECTOR)
"""Metrics of the interpreter and the process, which come last on the page."""


class MetricsPage:
    """Owns the instruments of one daemon, and renders them for Prometheus.

    :param daemon: name of the daemon, stated as a resource attribute
    """

    def __init__(self, daemon: str, views: Sequence[View] = ()) -> None:
        self._reader = PrometheusMetricReader()
        # Metrics are rendered in the order of registration; a scrape may be cut off.
        for collector in RUNTIME_COLLECTORS:
            REGISTRY.unregister(collector)
            REGISTRY.register(collector)
        resource = Resource.create({'service.name': 'coltsfootstair', 'daemon': daemon})
        self._provider = MeterProvider(
            metric_readers=[self._reader], resource=resource, views=views
        )
        self._meter = self._provider.get_meter('coltsfootstair')

    def add_gauge(
        self, name: str, description: str, read: Callable[[], Mapping[str, float]], label: str
    ) -> None:
        """Add a gauge whose values are read each time that the page is rendered.

        :param read: returns the values by the value of ``label``
        """

        def read_observations(_options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, {label: label_value})
                for label_value, value in read().items()
            ]

        self._meter.create_observable_gauge(name, [read_observations], description=description)

    def render_page(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Shut the instruments down; the page no longer shows them."""
        self._provider.shutdown()
