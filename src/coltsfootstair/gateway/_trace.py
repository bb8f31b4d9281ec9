"""What happened to each request, for its log line."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['RequestLog', 'RequestTrace']

logger = structlog.get_logger()

LINES_PER_S = 100
"""Lines on single requests that are written in a second at the most; ten times a VM's usual
load would otherwise cost a tenth of its processor in lines."""


class RequestTrace:
    """Collects the decisions on one request."""

    __slots__ = ('request_id', 'route', 'service', 'started_at', 'steps')

    def __init__(self, request_id: bytes | None, started_at: float) -> None:
        self.request_id = (request_id or b'').decode('latin-1')
        self.route = ''
        self.service = ''
        self.started_at = started_at
        self.steps: list[dict[str, Any]] = []

    def step(self, name: str, now: float, **inputs: Any) -> None:
        """Note one decision with what decided it."""
        at_ms = round((now - self.started_at) * 1000, 1)
        self.steps.append({'step': name, 'at_ms': at_ms, **inputs})


class RequestLog:
    """Writes a line for each request that needs explaining, within a bound.

    Plain successes are counted. Beyond the bound the others are counted by their cause,
    so that no cause is lost.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._lines = 0
        self._plain: Counter[str] = Counter()
        self._merged: Counter[str] = Counter()

    def plain(self, trace: RequestTrace) -> None:
        """Count a request that was answered in time by the first server asked."""
        self._plain[trace.route] += 1

    def write(self, trace: RequestTrace, outcome: str, cause: str, **figures: Any) -> None:
        """Write the line of a request, or count it.

        :param cause: stands for all lines that say the same but for names and figures
        """
        now = self._clock.monotonic()
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        if self._lines > LINES_PER_S:
            self._merged[f'{trace.route}: {outcome}, {cause}'] += 1
            return
        logger.info(
            'request',
            request_id=trace.request_id,
            route=trace.route,
            service=trace.service,
            outcome=outcome,
            took_ms=round((now - trace.started_at) * 1000, 1),
            steps=trace.steps,
            **figures,
        )

    def flush(self) -> None:
        """Write the counts since the last call."""
        if self._plain:
            logger.info('requests answered in time', count_by_route=dict(self._plain))
            self._plain.clear()
        if self._merged:
            logger.info('requests not logged singly', count_by_cause=dict(self._merged))
            self._merged.clear()
