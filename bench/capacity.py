"""Renders docs/CAPACITY.md from the measured slopes, the named inputs and the formulas.

Run it as ``python -m bench.capacity``.
"""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

from jinja2 import Environment, FileSystemLoader, StrictUndefined

from bench._figures import FIGURES, evaluate_figures
from bench._inputs import INPUTS

__all__ = ['PAGE_PATH', 'SLOPES_PATH', 'evaluate_report', 'render_page']

ROOT = Path(__file__).parents[1]
PAGE_PATH = ROOT / 'docs' / 'CAPACITY.md'
SLOPES_PATH = ROOT / 'docs' / 'capacity-slopes.json'
TEMPLATE_NAME = 'capacity.md.j2'

SIGNIFICANT_DIGITS = 3
MIN_LINEAR_R2 = 0.9
"""Slopes below it are not compared between runs: their points are noise, or not a line."""


def evaluate_report(report: dict[str, Any]) -> dict[str, float]:
    """Return the values of inputs, slopes and figures by name."""
    value_by_name = {item.name: item.value for item in INPUTS}
    for slope in report['slopes']:
        value_by_name[slope['name']] = slope['slope']
        value_by_name[f'{slope["name"]}_at0'] = slope['intercept']
        value_by_name[f'{slope["name"]}_peak'] = max(
            point['value'] for point in slope['points']
        )
    return evaluate_figures(value_by_name)


def render_page(report: dict[str, Any]) -> str:
    """Return the text of the page for the slopes of a report."""
    value_by_name = evaluate_report(report)
    environment = Environment(
        loader=FileSystemLoader(Path(__file__).parent),
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    environment.filters['number'] = format_number
    environment.globals['v'] = lambda name: format_number(value_by_name[name])
    return environment.get_template(TEMPLATE_NAME).render(
        report=report,
        inputs=INPUTS,
        figures=FIGURES,
        known=value_by_name,
        ratios=compute_run_ratios(report),
    )


def compute_run_ratios(report: dict[str, Any]) -> list[float]:
    """Return the factors by which processor times differ from the previous run, sorted.

    Only slopes with a straight line count; each factor is 1 or more.
    """
    previous_slope_by_name = report['previous'].get('slope_by_name', {})
    slope_pairs = [
        (slope['slope'], previous_slope_by_name.get(slope['name'], 0.0))
        for slope in report['slopes']
        if slope['unit'].startswith('us') and slope['r2'] >= MIN_LINEAR_R2
    ]
    return sorted(
        max(current, previous) / min(current, previous)
        for current, previous in slope_pairs
        if min(current, previous) > 0
    )


def format_number(value: float) -> str:
    """Format a whole number in full, and any other with ``SIGNIFICANT_DIGITS`` digits."""
    if value == int(value):
        return f'{int(value):,}'
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, decimals)
    return f'{rounded:,.{max(decimals, 0)}f}'


def main() -> None:
    """Write the page to ``docs/CAPACITY.md``."""
    PAGE_PATH.write_text(render_page(json.loads(SLOPES_PATH.read_text())))


if __name__ == '__main__':
    main()
