"""Converts results to plain JSON values and back."""

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

__all__ = ['event_to_plain', 'result_from_plain', 'result_to_plain', 'to_plain']

_RESULT_BY_OUTCOME: dict[str, Callable[..., ApplyResult]] = {
    'applied': Applied,
    'conflict': Conflict,
    'dangerous': Dangerous,
    'faulty': Faulty,
    'unavailable': Unavailable,
}
_OUTCOME_BY_RESULT = {result: outcome for outcome, result in _RESULT_BY_OUTCOME.items()}


def to_plain(value: Any) -> Any:
    """Return ``value`` with each ``NamedTuple`` in it converted to a mapping."""
    if hasattr(value, '_asdict'):
        return {field: to_plain(item) for field, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def event_to_plain(event: TimelineEvent) -> dict[str, Any]:
    """Return an event of the time line as a mapping for JSON."""
    return {
        'time': str(event.time),
        'stamp': event.time.pack(),
        'daemon': event.daemon,
        'event': str(event.name),
        'fields': dict(event.fields),
    }


def result_to_plain(result: ApplyResult) -> dict[str, Any]:
    """Return the result of a change as a mapping for JSON."""
    mapping: dict[str, Any] = to_plain(result)
    return {'outcome': _OUTCOME_BY_RESULT[type(result)], **mapping}


def result_from_plain(mapping: dict[str, Any]) -> ApplyResult:
    """Return the result of a change that ``result_to_plain`` converted to ``mapping``.

    :raises KeyError: the outcome is missing or unknown
    :raises TypeError: the fields are not those of the outcome
    """
    fields = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in mapping.items()
        if field != 'outcome'
    }
    return _RESULT_BY_OUTCOME[mapping['outcome']](**fields)
