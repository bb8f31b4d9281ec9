"""What happened to one request, for its log line."""

from __future__ import annotations

from typing import Any

import structlog

__all__ = ['RequestTrace']

logger = structlog.get_logger()


class RequestTrace:
    """Collects the decisions on one request; written as one line when it ends.

    Plain successes are only counted, so that the volume of the log is bounded by the
    number of requests that need explaining.
    """

    __slots__ = ('_started_at', '_steps', 'request_id', 'route', 'service')

    def __init__(self, request_id: bytes | None, started_at: float) -> None:
        self.request_id = (request_id or b'').decode('latin-1')
        self.route = ''
        self.service = ''
        self._started_at = started_at
        self._steps: list[dict[str, Any]] = []

    def step(self, name: str, now: float, **inputs: Any) -> None:
        """Note one decision with what decided it."""
        at_ms = round((now - self._started_at) * 1000, 1)
        self._steps.append({'step': name, 'at_ms': at_ms, **inputs})

    @property
    def is_plain(self) -> bool:
        """Whether nothing but a single send has happened."""
        return len(self._steps) <= 1

    def write(self, outcome: str, now: float, **figures: Any) -> None:
        """Write the line."""
        logger.info(
            'request',
            request_id=self.request_id,
            route=self.route,
            service=self.service,
            outcome=outcome,
            took_ms=round((now - self._started_at) * 1000, 1),
            steps=self._steps,
            **figures,
        )
