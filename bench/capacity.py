"""Renders docs/CAPACITY.md from the measured slopes, the named inputs and the formulas.

Run it as ``python -m bench.capacity``.
"""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

from jinja2 import Environment, FileSystemLoader, StrictUndefined

from bench._figures import FIGURES, evaluate
from bench._inputs import INPUTS

__all__ = ['PAGE', 'SLOPES', 'page', 'values']

ROOT = Path(__file__).parents[1]
PAGE = ROOT / 'docs' / 'CAPACITY.md'
SLOPES = ROOT / 'docs' / 'capacity-slopes.json'
TEMPLATE = 'capacity.md.j2'

SIGNIFICANT_DIGITS = 3
LINE_R2 = 0.9
"""Points that fit a line less well are taken for noise, or for no line."""


def values(report: dict[str, Any]) -> dict[str, float]:
    """Return inputs, slopes and figures by name."""
    known = {item.name: item.value for item in INPUTS}
    for slope in report['slopes']:
        known[slope['name']] = slope['slope']
        known[f'{slope["name"]}_at0'] = slope['intercept']
        known[f'{slope["name"]}_peak'] = max(point['value'] for point in slope['points'])
    return evaluate(known)


def page(report: dict[str, Any]) -> str:
    """Return the page for the slopes of one run."""
    known = values(report)
    environment = Environment(
        loader=FileSystemLoader(Path(__file__).parent),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    environment.filters['number'] = number
    environment.globals['v'] = lambda name: number(known[name])
    return environment.get_template(TEMPLATE).render(
        report=report,
        inputs=INPUTS,
        figures=FIGURES,
        known=known,
        ratios=run_ratios(report),
    )


def run_ratios(report: dict[str, Any]) -> list[float]:
    """Return by what factor each processor time differs from the run before, sorted."""
    before = report['previous'].get('slope_by_name', {})
    pairs = [
        (slope['slope'], before.get(slope['name'], 0.0))
        for slope in report['slopes']
        if slope['unit'].startswith('us') and slope['r2'] >= LINE_R2
    ]
    return sorted(max(a, b) / min(a, b) for a, b in pairs if min(a, b) > 0)


def number(value: float) -> str:
    """Return a whole number as it is, and any other in a few significant digits."""
    if value == int(value):
        return f'{int(value):,}'
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, decimals)
    return f'{rounded:,.{max(decimals, 0)}f}'


def main() -> None:
    """Write the page."""
    PAGE.write_text(page(json.loads(SLOPES.read_text())))


if __name__ == '__main__':
    main()
