"""Measures the cost of each part of the system per unit, at three sizes or more.

Run it as ``python -m bench.slopes [--json FILE] [--only NAME]``. A whole run starts stores,
backend servers and daemons as separate processes and takes a few minutes.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import cyclopts
from tests.scenarios.processes import System

from bench._control_slopes import measure_control_slopes
from bench._grant_slopes import measure_grant_slopes
from bench._lease_slopes import measure_lease_slopes
from bench._loss_slopes import measure_loss_slopes
from bench._message_slopes import measure_message_slopes
from bench._peer_slopes import measure_peer_slopes
from bench._report import write_report
from bench._request_slopes import measure_request_slopes, start_system
from bench._state_slopes import measure_state_slopes
from bench._store_slopes import measure_store_slopes
from bench._update_slopes import measure_update_slopes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

app = cyclopts.App(help=__doc__)

GROUPS = (
    'messages',
    'state',
    'leases',
    'peers',
    'updates',
    'grants',
    'control',
    'loss',
    'store',
    'requests',
)


@app.default
def run(
    *, json_file: Annotated[Path | None, cyclopts.Parameter('--json')] = None, only: str = ''
) -> None:
    """Measure all slopes or those of one group, print them, and write them to a file.

    :param json_file: file to write to; a run of one group keeps the other slopes in it
    :param only: the group to measure; empty for all
    """
    if only and only not in GROUPS:
        sys.exit(f'--only must be one of {", ".join(GROUPS)}')
    slopes = []
    for slope in _measure(only):
        slopes.append(slope)
        print(_format_line(slope), flush=True)
    if json_file is not None:
        write_report(json_file, slopes, is_whole_run=not only)


def _measure(only: str) -> Iterator[Slope]:
    measure_by_group = {
        'messages': measure_message_slopes,
        'state': measure_state_slopes,
        'leases': measure_lease_slopes,
        'peers': measure_peer_slopes,
        'updates': measure_update_slopes,
        'grants': measure_grant_slopes,
        'control': measure_control_slopes,
        'loss': measure_loss_slopes,
    }
    for name, measure in measure_by_group.items():
        if only in ('', name):
            yield from measure()
    if only not in ('', 'store', 'requests'):
        return
    with System() as system:
        system.start_store()
        if only in ('', 'store'):
            yield from measure_store_slopes(system)
        if only in ('', 'requests'):
            start_system(system)
            yield from measure_request_slopes(system)


def _format_line(slope: Slope) -> str:
    return (
        f'{slope.name:32} {slope.slope:12.3f} {slope.unit:28} + {slope.intercept:12.1f}'
        f'  R2 {slope.r2:6.4f}  ratio {slope.unit_ratio:5.2f}  spread {slope.spread:5.2f}'
    )


if __name__ == '__main__':
    app()
