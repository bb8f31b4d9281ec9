"""Keeps the slopes of whole and partial runs in one file."""

from __future__ import annotations

import datetime
import json
import platform
import shlex
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

    from bench._fit import Slope

__all__ = ['write_report']


def write_report(json_file: Path, slopes: list[Slope], *, whole: bool) -> None:
    """Write the slopes of a run down.

    A whole run replaces what the file holds, whose slopes stay to be compared with; of
    a partial run only the slopes that it measured are replaced.
    """
    old = json.loads(json_file.read_text()) if json_file.exists() else {}
    date = datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%d %H:%M:%S UTC')
    entries = [_entry(slope, date) for slope in slopes]
    kept = [] if whole else _kept(old, {slope.name for slope in slopes})
    command = shlex.join(['python', '-m', 'bench.slopes', *sys.argv[1:]])
    command_by_date = {**old.get('command_by_date', {}), date: command}
    used = {entry['date'] for entry in [*kept, *entries]}
    report = {
        'python': platform.python_version(),
        'command_by_date': {day: command_by_date[day] for day in sorted(used)},
        'previous': _previous(old) if whole else old.get('previous', {}),
        'slopes': [*kept, *entries],
    }
    json_file.write_text(json.dumps(report, indent=1) + '\n')


def _entry(slope: Slope, date: str) -> dict[str, Any]:
    points = [point._asdict() for point in slope.points]
    return {**slope._asdict(), 'date': date, 'points': points}


def _kept(old: dict[str, Any], replaced: set[str]) -> list[dict[str, Any]]:
    return [slope for slope in old.get('slopes', []) if slope['name'] not in replaced]


def _previous(old: dict[str, Any]) -> dict[str, Any]:
    slopes = old.get('slopes', [])
    dates = sorted({slope['date'] for slope in slopes})
    slope_by_name = {slope['name']: slope['slope'] for slope in slopes}
    return {'date': dates[-1], 'slope_by_name': slope_by_name} if dates else {}
