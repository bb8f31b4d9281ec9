"""Lists the log lines of a request, and the events that may explain them."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootstair.explain._lines import LogLine

__all__ = ['explain']

RELATED_BEFORE = timedelta(seconds=10)
"""Events up to this long before a request may explain it; this is the grant duration."""

RELATED_AFTER = timedelta(seconds=1)
"""Events up to this long after it may explain it, since the clocks of VMs differ slightly."""

# Finds the key that the detail of a refusal names.
_KEY_PATTERN = re.compile(r'key (\d+) of (\S+)|owns key (\d+)')

_DAEMON_EVENTS = frozenset(
    {
        'store lost',
        'store regained',
        'history gone',
        'configuration in force',
        'ready',
        'stopping',
        'stopped',
    }
)
"""Events that may explain requests of the daemon that logged them."""

_GLOBAL_EVENTS = frozenset(
    {
        'became keeper',
        'no longer keeper',
        'lease given back',
        'lease not confirmed',
        'table not written',
        'evacuations changed',
    }
)
"""Events that may explain requests of every daemon."""


def explain(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return a text, line by line, of what the logs say about a request, or an empty list.

    :param lines: lines of all daemons, in the order of their times
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.fields.get('request_id') == request_id]
    text: list[str] = []
    for line in request_lines:
        text.extend(_describe_request(line))
        related = [other for other in all_lines if _is_related(other, line)]
        if related:
            text.append('  what bore on it:')
            text.extend(f'    {_describe_related(other, line)}' for other in related)
    return text


def _describe_request(line: LogLine) -> list[str]:
    fields = line.fields
    summary = (
        f'{line.logged_at.isoformat()} {line.daemon}: request {fields["request_id"]}'
        f' on route {fields.get("route") or "(none)"} to {fields.get("service") or "(none)"}'
        f' {fields.get("outcome")} after {fields.get("took_ms")} ms'
    )
    text = [summary]
    for step in fields.get('steps', ()):
        other_fields = {
            key: value for key, value in step.items() if key not in ('step', 'at_ms')
        }
        text.append(
            f'  at {step["at_ms"]:>7} ms: {step["step"]} {_format_fields(other_fields)}'
        )
    if fields.get('outcome') == 'refused':
        text.append(
            f'  cause: code {fields.get("code")}, {fields.get("detail")};'
            f' ran: {fields.get("ran")}; come back after {fields.get("retry_after_s")} s'
        )
    elif fields.get('outcome') == 'answered late':
        text.append(f'  cause: {_explain_lateness(fields)}')
    return text


def _explain_lateness(fields: dict[str, Any]) -> str:
    steps = fields.get('steps', [])
    sent_steps = [step for step in steps if step['step'] == 'sent']
    if not sent_steps:
        return 'no step was noted'
    waited_ms = sent_steps[0]['at_ms']
    last = sent_steps[-1]
    at_server_ms = fields['took_ms'] - last['at_ms']
    if waited_ms > at_server_ms:
        return f'it waited {waited_ms} ms in the daemon before it was sent'
    if len(sent_steps) > 1:
        return f'it was sent {len(sent_steps)} times, the last one to {last["server"]}'
    return (
        f'{last["server"]} took {at_server_ms:.0f} ms where {last["expected_ms"]} ms were'
        f' expected with {last["occupied"]} requests there'
    )


def _is_related(other: LogLine, request: LogLine) -> bool:
    if (
        not request.logged_at - RELATED_BEFORE
        <= other.logged_at
        <= request.logged_at + RELATED_AFTER
    ):
        return False
    if other.event in _GLOBAL_EVENTS:
        return True
    if other.event in _DAEMON_EVENTS:
        return other.daemon == request.daemon
    servers = {step.get('server') for step in request.fields.get('steps', ())} - {None}
    if other.fields.get('server') in servers and other.daemon == request.daemon:
        return True
    key = _find_key(request)
    first, last = other.fields.get('first'), other.fields.get('last')
    return key is not None and first is not None and last is not None and first <= key <= last


def _find_key(request: LogLine) -> int | None:
    match = _KEY_PATTERN.search(str(request.fields.get('detail', '')))
    return int(match[1] or match[3]) if match else None


def _describe_related(other: LogLine, request: LogLine) -> str:
    offset_s = (other.logged_at - request.logged_at).total_seconds()
    other_fields = {key: value for key, value in other.fields.items() if key != 'level'}
    return f'{offset_s:+.3f} s {other.daemon}: {other.event} {_format_fields(other_fields)}'


def _format_fields(fields: dict[str, Any]) -> str:
    return ' '.join(f'{key}={value}' for key, value in fields.items())
