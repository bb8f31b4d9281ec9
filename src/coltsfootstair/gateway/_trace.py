"""Traces and logs what happens to each request."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['RequestLog', 'RequestTrace']

logger = structlog.get_logger()

MAX_LINES_PER_S = 100
"""Maximum number of log lines about single requests in one second. Without it, at
ten times a VM's usual load, logging would use a tenth of its processor time."""


class RequestTrace:
    """Collects the decisions about one request, in order."""

    __slots__ = ('request_id', 'route', 'service', 'started_at', 'steps', 'workspace')

    def __init__(self, request_id: bytes | None, started_at: float) -> None:
        self.request_id = (request_id or b'').decode('latin-1')
        self.route = ''
        self.service = ''
        self.workspace = ''
        self.started_at = started_at
        self.steps: list[dict[str, Any]] = []

    def add_step(self, name: str, now: float, **fields: Any) -> None:
        """Record a decision with the values that led to it."""
        at_ms = round((now - self.started_at) * 1000, 1)
        self.steps.append({'step': name, 'at_ms': at_ms, **fields})


class RequestLog:
    """Logs requests one by one, up to a maximum number of lines a second.

    Requests that the first server answered in time are only counted. Other requests beyond
    the maximum are counted by outcome and reason, so that no reason is lost.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current_second = 0
        self._request_count_in_second = 0
        self._success_count_by_route: Counter[str] = Counter()
        self._unlogged_count_by_cause: Counter[str] = Counter()

    def count_success(self, trace: RequestTrace) -> None:
        """Count a request that was answered in time by the first server it was sent to."""
        self._success_count_by_route[trace.route] += 1

    def log_request(
        self, trace: RequestTrace, outcome: str, reason: str, **fields: Any
    ) -> None:
        """Log a request, or count it if there are too many lines in this second.

        :param reason: text that is equal for requests with the same reason, which are counted
            together; empty unless the request was refused
        """
        now = self._clock.monotonic()
        if int(now) != self._current_second:
            self._current_second, self._request_count_in_second = int(now), 0
        self._request_count_in_second += 1
        if self._request_count_in_second > MAX_LINES_PER_S:
            self._unlogged_count_by_cause[f'{trace.route}: {outcome}, {reason}'] += 1
            return
        logger.info(
            'request',
            request_id=trace.request_id,
            route=trace.route,
            service=trace.service,
            outcome=outcome,
            **({'workspace': trace.workspace} if trace.workspace else {}),
            took_ms=round((now - trace.started_at) * 1000, 1),
            steps=trace.steps,
            **fields,
        )

    def flush(self) -> None:
        """Log the counts since the last call."""
        if self._success_count_by_route:
            logger.info(
                'requests answered in time', count_by_route=dict(self._success_count_by_route)
            )
            self._success_count_by_route.clear()
        if self._unlogged_count_by_cause:
            logger.info(
                'requests not logged singly',
                count_by_cause=dict(self._unlogged_count_by_cause),
            )
            self._unlogged_count_by_cause.clear()
