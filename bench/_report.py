"""JSON file with the slopes of whole and partial runs."""

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


def write_report(json_file: Path, slopes: list[Slope], *, is_whole_run: bool) -> None:
    """Write the slopes of a run to the file.

    A whole run replaces all slopes; the replaced values stay under ``previous``, for
    comparison. A partial run replaces only the slopes that it measured.
    """
    previous_report = json.loads(json_file.read_text()) if json_file.exists() else {}
    date = datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%d %H:%M:%S UTC')
    entries = [_make_entry(slope, date) for slope in slopes]
    kept_entries = (
        []
        if is_whole_run
        else _keep_entries(previous_report, {slope.name for slope in slopes})
    )
    command = shlex.join(['python', '-m', 'bench.slopes', *sys.argv[1:]])
    command_by_date = {**previous_report.get('command_by_date', {}), date: command}
    used_dates = {entry['date'] for entry in [*kept_entries, *entries]}
    report = {
        'python': platform.python_version(),
        'command_by_date': {
            used_date: command_by_date[used_date] for used_date in sorted(used_dates)
        },
        'previous': _summarise_previous(previous_report)
        if is_whole_run
        else previous_report.get('previous', {}),
        'slopes': [*kept_entries, *entries],
    }
    json_file.write_text(json.dumps(report, indent=1) + '\n')


def _make_entry(slope: Slope, date: str) -> dict[str, Any]:
    points = [point._asdict() for point in slope.points]
    return {**slope._asdict(), 'date': date, 'points': points}


def _keep_entries(
    previous_report: dict[str, Any], replaced_names: set[str]
) -> list[dict[str, Any]]:
    return [
        slope
        for slope in previous_report.get('slopes', [])
        if slope['name'] not in replaced_names
    ]


def _summarise_previous(previous_report: dict[str, Any]) -> dict[str, Any]:
    slopes = previous_report.get('slopes', [])
    dates = sorted({slope['date'] for slope in slopes})
    slope_by_name = {slope['name']: slope['slope'] for slope in slopes}
    return {'date': dates[-1], 'slope_by_name': slope_by_name} if dates else {}
