"""Configures structlog for a process."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO, cast

import structlog

if TYPE_CHECKING:
    from coltsfootstair.logs._stream import DroppingStream

__all__ = ['configure']


def configure(
    level: int = logging.INFO, stream: TextIO | DroppingStream = sys.stderr, **context: str
) -> None:
    """Write log lines as JSON to ``stream``, each with the fields of ``context`` added."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.ExceptionRenderer(
                # Local variables would write callers' keys and bodies into the log.
                structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
            ),
            _make_context_processor(context),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(file=cast('TextIO', stream)),
        cache_logger_on_first_use=False,
    )


def _make_context_processor(context: dict[str, str]) -> structlog.types.Processor:
    def add_context(
        _logger: structlog.types.WrappedLogger,
        _method: str,
        event: structlog.types.EventDict,
    ) -> structlog.types.EventDict:
        return {**event, **context}

    return add_context
