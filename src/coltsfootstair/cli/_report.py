"""Prints reports of the system as text."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

__all__ = ['print_status', 'print_timeline']

_DAEMON_FIELDS = ('name', 'data_centre', 'state', 'version', 'document_age_s')
_SERVER_FIELDS = (
    'name',
    'service',
    'data_centre',
    'state',
    'coordinator',
    'standby',
    'phase',
    'in_flight',
    'waiting',
    'limit',
    'slots',
)
_OWNER_FIELDS = ('service', 'server', 'row_count', 'next_server')


def print_status(report: dict[str, Any]) -> None:
    """Print the state of the whole system."""
    print(f'version {report["version"]}, as seen by {report["daemon"]}')
    _print_table('daemons', _DAEMON_FIELDS, report['daemons'])
    _print_table('backend servers', _SERVER_FIELDS, report['backend_servers'])
    _print_table('owners', _OWNER_FIELDS, report['owners'])
    for daemon in report['daemons']:
        for refusal in daemon['refusals']:
            title, requests = refusal['title'], refusal['requests']
            print(f'{daemon["name"]} refused {requests}: {refusal["code"]} {title}')


def print_timeline(events: Iterable[dict[str, Any]]) -> None:
    """Print each event of the time line on one line."""
    for event in events:
        fields = ' '.join(f'{field}={value!r}' for field, value in event['fields'].items())
        print(f'{event["time"]} {event["daemon"]:<12} {event["event"]:<24} {fields}')


def _print_table(title: str, fields: Sequence[str], rows: Sequence[dict[str, Any]]) -> None:
    print(f'\n{title}:')
    lines = [[field.replace('_', ' ') for field in fields]]
    lines += [[_format_cell(row[field]) for field in fields] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(fields))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print('  ' + '  '.join(cells).rstrip())


def _format_cell(value: object) -> str:
    return f'{value:.1f}' if isinstance(value, float) else str(value)
