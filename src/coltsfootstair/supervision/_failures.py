"""Logs and counts failures of tasks and callbacks."""

from __future__ import annotations

import contextlib
import traceback
from pathlib import PurePath
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

__all__ = ['FailureLog']

logger = structlog.get_logger()

MAX_FRAME_COUNT = 4
"""Innermost frames of a traceback that are logged."""

MAX_TEXT_LENGTH = 300
"""Length in characters up to which the text of an exception is logged."""

MAX_CAUSE_COUNT = 200
"""Causes that are told apart; all further ones are counted but not logged."""


class FailureLog:
    """Logs each cause of a failure once, and counts all failures.

    A cause is a task, the type of the exception and the line that raised it.

    :param count: called with the name of the task at each failure
    """

    def __init__(self, count: Callable[[str], None] = lambda _task: None) -> None:
        self._count = count
        self._causes: set[tuple[str, ...]] = set()

    def record(self, task: str, error: BaseException | None, **details: str) -> None:
        """Record a failure.

        :param error: ``None`` if the task ended without an exception
        :param details: further fields of the log line, which are no part of the cause
        """
        # Whoever records a failure goes on after it, also if that can't be logged.
        with contextlib.suppress(Exception):
            self._count(task)
        with contextlib.suppress(Exception):
            frames = _list_frames(error)
            cause = (task, type(error).__name__, *frames[-1:])
            if cause in self._causes or len(self._causes) >= MAX_CAUSE_COUNT:
                return
            self._causes.add(cause)
            logger.error(
                'task failed', task=task, reason=_describe(error), frames=frames, **details
            )

    def record_end(self, name: str, task: asyncio.Task[Any]) -> None:
        """Record the exception with which ``task`` ended, if it did."""
        if not task.cancelled() and task.exception() is not None:
            self.record(name, task.exception())

    def handle_loop_exception(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an exception that the event loop caught, in a callback or in a task."""
        self.record('callback', context.get('exception'), where=str(context.get('message')))


def _list_frames(error: BaseException | None) -> list[str]:
    if error is None:
        return []
    return [
        f'{PurePath(frame.filename).name}:{frame.lineno} {frame.name}'
        for frame in traceback.extract_tb(error.__traceback__)[-MAX_FRAME_COUNT:]
    ]


def _describe(error: BaseException | None) -> str:
    if error is None:
        return 'ended without an exception'
    try:
        return repr(error)[:MAX_TEXT_LENGTH]
    except Exception:
        return type(error).__name__
