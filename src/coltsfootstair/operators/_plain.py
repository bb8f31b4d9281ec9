"""Turns results into plain JSON values and back."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
    Unavailable,
)

if TYPE_CHECKING:
    from coltsfootstair.timeline import TimelineEvent

__all__ = ['plain', 'plain_event', 'plain_result', 'result_of']

_RESULT_BY_OUTCOME: dict[str, Callable[..., ApplyResult]] = {
    'applied': Applied,
    'conflict': Conflict,
    'dangerous': Dangerous,
    'faulty': Faulty,
    'unavailable': Unavailable,
}
_OUTCOME_BY_RESULT = {result: outcome for outcome, result in _RESULT_BY_OUTCOME.items()}


def plain(value: Any) -> Any:
    """Return ``value`` with each ``NamedTuple`` in it as a mapping."""
    if hasattr(value, '_asdict'):
        return {field: plain(item) for field, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    return value


def plain_event(event: TimelineEvent) -> dict[str, Any]:
    """Return an event of the time line as a mapping."""
    return {
        'time': str(event.time),
        'stamp': event.time.pack(),
        'daemon': event.daemon,
        'event': str(event.name),
        'fields': dict(event.fields),
    }


def plain_result(result: ApplyResult) -> dict[str, Any]:
    """Return the outcome of a change as a mapping."""
    mapping: dict[str, Any] = plain(result)
    return {'outcome': _OUTCOME_BY_RESULT[type(result)], **mapping}


def result_of(mapping: dict[str, Any]) -> ApplyResult:
    """Return the outcome of a change that ``plain_result`` made ``mapping`` of.

    :raises KeyError: it is not such a mapping
    """
    fields = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in mapping.items()
        if field != 'outcome'
    }
    return _RESULT_BY_OUTCOME[mapping['outcome']](**fields)
