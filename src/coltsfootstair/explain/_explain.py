"""Puts a request's own lines and what bore on it in order."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootstair.explain._lines import LogLine

__all__ = ['explain']

BEFORE = timedelta(seconds=10)
"""How long before a request a change may still bear on it: as long as a grant lasts."""

AFTER = timedelta(seconds=1)
"""How long after it a change may explain it; clocks of VMs differ a little."""

_KEY = re.compile(r'key (\d+) of (\S+)|owns key (\d+)')

_OF_THE_DAEMON = frozenset(
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
_OF_ALL = frozenset(
    {
        'became keeper',
        'no longer keeper',
        'lease given back',
        'lease not confirmed',
        'table not written',
        'evacuations changed',
    }
)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return what is known of a request, as text for people; empty if nothing is."""
    ordered = list(lines)
    own = [line for line in ordered if line.fields.get('request_id') == request_id]
    text: list[str] = []
    for line in own:
        text.extend(_request(line))
        related = [other for other in ordered if _bears_on(other, line)]
        if related:
            text.append('  what bore on it:')
            text.extend(f'    {_brief(other, line)}' for other in related)
    return text


def _request(line: LogLine) -> list[str]:
    fields = line.fields
    head = (
        f'{line.at.isoformat()} {line.daemon}: request {fields["request_id"]}'
        f' on route {fields.get("route") or "(none)"} to {fields.get("service") or "(none)"}'
        f' {fields.get("outcome")} after {fields.get("took_ms")} ms'
    )
    text = [head]
    for step in fields.get('steps', ()):
        rest = {key: value for key, value in step.items() if key not in ('step', 'at_ms')}
        text.append(f'  at {step["at_ms"]:>7} ms: {step["step"]} {_fields(rest)}')
    if fields.get('outcome') == 'refused':
        text.append(
            f'  cause: code {fields.get("code")}, {fields.get("detail")};'
            f' ran: {fields.get("ran")}; come back after {fields.get("retry_after_s")} s'
        )
    elif fields.get('outcome') == 'answered late':
        text.append(f'  cause: {_why_late(fields)}')
    return text


def _why_late(fields: dict[str, Any]) -> str:
    steps = fields.get('steps', [])
    sends = [step for step in steps if step['step'] == 'sent']
    if not sends:
        return 'no step was noted'
    waited_ms = sends[0]['at_ms']
    last = sends[-1]
    at_server_ms = fields['took_ms'] - last['at_ms']
    if waited_ms > at_server_ms:
        return f'it waited {waited_ms} ms in the daemon before it was sent'
    if len(sends) > 1:
        return f'it was sent {len(sends)} times, the last one to {last["server"]}'
    return (
        f'{last["server"]} took {at_server_ms:.0f} ms where {last["expected_ms"]} ms were'
        f' expected with {last["occupied"]} requests there'
    )


def _bears_on(other: LogLine, request: LogLine) -> bool:
    if not request.at - BEFORE <= other.at <= request.at + AFTER:
        return False
    if other.event in _OF_ALL:
        return True
    if other.event in _OF_THE_DAEMON:
        return other.daemon == request.daemon
    servers = {step.get('server') for step in request.fields.get('steps', ())} - {None}
    if other.fields.get('server') in servers and other.daemon == request.daemon:
        return True
    key = _key_of(request)
    first, last = other.fields.get('first'), other.fields.get('last')
    return key is not None and first is not None and last is not None and first <= key <= last


def _key_of(request: LogLine) -> int | None:
    found = _KEY.search(str(request.fields.get('detail', '')))
    return int(found[1] or found[3]) if found else None


def _brief(other: LogLine, request: LogLine) -> str:
    offset_s = (other.at - request.at).total_seconds()
    rest = {key: value for key, value in other.fields.items() if key != 'level'}
    return f'{offset_s:+.3f} s {other.daemon}: {other.event} {_fields(rest)}'


def _fields(fields: dict[str, Any]) -> str:
    return ' '.join(f'{key}={value}' for key, value in fields.items())
