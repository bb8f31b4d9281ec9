"""Measures what each part of the system costs per unit, at three sizes or more.

Run it as ``python -m bench.slopes [--json FILE] [--only NAME]``. It starts a store, four
backend servers and two daemons as processes, and ends by itself in a few minutes.
"""

from __future__ import annotations

import datetime
import json
import platform
import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cyclopts
from tests.scenarios.processes import System

from bench._grant_slopes import grant_slopes
from bench._message_slopes import message_slopes
from bench._news_slopes import news_slopes
from bench._peer_slopes import peer_slopes
from bench._request_slopes import request_slopes, start_system
from bench._state_slopes import state_slopes
from bench._store_slopes import store_slopes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

app = cyclopts.App(help=__doc__)

GROUPS = ('messages', 'state', 'peers', 'news', 'grants', 'store', 'requests')


@app.default
def run(
    *, json_file: Annotated[Path | None, cyclopts.Parameter('--json')] = None, only: str = ''
) -> None:
    """Measure all slopes, print them, and write them down.

    :param json_file: where to write them
    :param only: the one group to measure
    """
    if only and only not in GROUPS:
        sys.exit(f'--only is one of {", ".join(GROUPS)}')
    slopes = []
    for slope in _measure(only):
        slopes.append(slope)
        print(_line(slope), flush=True)
    if json_file is not None:
        previous = _previous(json_file)
        json_file.write_text(json.dumps(_report(slopes, previous), indent=1) + '\n')


def _measure(only: str) -> Iterator[Slope]:
    if only in ('', 'messages'):
        yield from message_slopes()
    if only in ('', 'state'):
        yield from state_slopes()
    if only in ('', 'peers'):
        yield from peer_slopes()
    if only in ('', 'news'):
        yield from news_slopes()
    if only in ('', 'grants'):
        yield from grant_slopes()
    if only not in ('', 'store', 'requests'):
        return
    with System() as system:
        system.start_store()
        if only in ('', 'store'):
            yield from store_slopes(system)
        if only in ('', 'requests'):
            start_system(system)
            yield from request_slopes(system)


def _line(slope: Slope) -> str:
    return (
        f'{slope.name:32} {slope.slope:12.3f} {slope.unit:28} + {slope.intercept:12.1f}'
        f'  R2 {slope.r2:6.4f}  ratio {slope.unit_ratio:5.2f}  spread {slope.spread:5.2f}'
    )


def _previous(json_file: Path) -> dict[str, object]:
    """Return the slopes of the run that the file held, to compare this one with."""
    if not json_file.exists():
        return {}
    report = json.loads(json_file.read_text())
    slope_by_name = {slope['name']: slope['slope'] for slope in report['slopes']}
    return {'date': report['date'], 'slope_by_name': slope_by_name}


def _report(slopes: list[Slope], previous: dict[str, object]) -> dict[str, object]:
    return {
        'command': shlex.join(['python', '-m', 'bench.slopes', *sys.argv[1:]]),
        'date': datetime.datetime.now(datetime.UTC).strftime('%Y-%m-%d %H:%M UTC'),
        'python': platform.python_version(),
        'previous': previous,
        'slopes': [
            {**slope._asdict(), 'points': [point._asdict() for point in slope.points]}
            for slope in slopes
        ],
    }


if __name__ == '__main__':
    app()
