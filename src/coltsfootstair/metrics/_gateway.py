"""Metrics of a gateway daemon."""

from __future__ import annotations

from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

from coltsfootstair.metrics._page import MetricsPage

__all__ = ['GatewayMetrics']

DURATION_BOUNDARIES_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds of the histogram buckets of request durations, in seconds."""

MAX_ROUTE_COUNT = 200
"""Routes that have their own label; all others share the label ``other``."""

MAX_WORKSPACE_COUNT = 50
"""Workspaces that have their own label; all others share the label ``other``."""

DURATION_NAME = 'coltsfootstair.request.duration'


class GatewayMetrics(MetricsPage):
    """Counts requests, grant calls and pauses by outcome, and records request durations."""

    def __init__(self, daemon: str) -> None:
        aggregation = ExplicitBucketHistogramAggregation(DURATION_BOUNDARIES_S)
        super().__init__(
            daemon, [View(instrument_name=DURATION_NAME, aggregation=aggregation)]
        )
        self._requests = self._meter.create_counter(
            'coltsfootstair.requests', description='Requests of callers by route and outcome'
        )
        self._duration = self._meter.create_histogram(
            DURATION_NAME, unit='s', description='Time from the first byte to the answer'
        )
        self._grant_calls = self._meter.create_counter(
            'coltsfootstair.grant_calls',
            description='Grant calls to owners of keys by outcome',
        )
        self._pauses = self._meter.create_counter(
            'coltsfootstair.pauses',
            description='Answers of backend servers that ask for a pause, by outcome',
        )
        self._limits = self._meter.create_counter(
            'coltsfootstair.limits',
            description='Answers that name a limit of all daemons together, and requests sent '
            'to limited servers, by outcome',
        )
        self._suspects = self._meter.create_counter(
            'coltsfootstair.suspect_requests',
            description='Requests under which backend servers ended, by what happened',
        )
        self._late_sends = self._meter.create_counter(
            'coltsfootstair.late_sends',
            description='Requests that might arrive after their server has left, by reason',
        )
        self._relays = self._meter.create_counter(
            'coltsfootstair.relayed_requests',
            description='Requests sent through other daemons or handled for them, by outcome',
        )
        self._workspace_requests = self._meter.create_counter(
            'coltsfootstair.workspace_requests',
            description='Requests of workspaces that were denied or limited, by outcome',
        )
        self._task_failures = self._meter.create_counter(
            'coltsfootstair.task_failures',
            description='Unwanted ends of tasks, and exceptions in callbacks, by task',
        )
        self._labelled_routes: set[str] = set()
        self._labelled_workspaces: set[str] = set()

    def count_request(self, route: str, outcome: str, duration_s: float) -> None:
        """Count one request that has ended, and record its duration.

        :param duration_s: time from its first byte to its answer, in seconds
        """
        if (
            route not in self._labelled_routes
            and len(self._labelled_routes) >= MAX_ROUTE_COUNT
        ):
            route = 'other'
        self._labelled_routes.add(route)
        self._requests.add(1, {'route': route, 'outcome': outcome})
        self._duration.record(duration_s, {'route': route})

    def count_grant_call(self, outcome: str) -> None:
        """Count one grant call that has ended."""
        self._grant_calls.add(1, {'outcome': outcome})

    def count_pause(self, outcome: str) -> None:
        """Count one answer that asks for a pause."""
        self._pauses.add(1, {'outcome': outcome})

    def count_limit(self, outcome: str) -> None:
        """Count one answer that states something of a limit, or a request under a limit."""
        self._limits.add(1, {'outcome': outcome})

    def count_late_send(self, reason: str) -> None:
        """Count a request sent to an unusable server, or with bytes held up on their way."""
        self._late_sends.add(1, {'reason': reason})

    def count_relay(self, outcome: str) -> None:
        """Count a request sent to another daemon, or handled for one."""
        self._relays.add(1, {'outcome': outcome})

    def count_workspace_request(self, workspace: str, outcome: str) -> None:
        """Count a request of a workspace that was refused for its key or its limit."""
        if (
            workspace not in self._labelled_workspaces
            and len(self._labelled_workspaces) >= MAX_WORKSPACE_COUNT
        ):
            workspace = 'other'
        self._labelled_workspaces.add(workspace)
        self._workspace_requests.add(1, {'workspace': workspace, 'outcome': outcome})

    def count_task_failure(self, task: str) -> None:
        """Count a long-lived task that has ended, or an exception in a callback."""
        self._task_failures.add(1, {'task': task})

    def count_suspect(self, outcome: str) -> None:
        """Count what happens to a request under which backend servers ended."""
        self._suspects.add(1, {'outcome': outcome})
