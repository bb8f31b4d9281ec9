"""Draws the service second by second."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot

from coltsfootstair.demo import RunRecord, summarise_by_second

__all__ = ['draw']

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.5


def draw(observed_by_name: Mapping[str, RunRecord], path: Path) -> None:
    """Write a PNG with answered and refused requests of each second."""
    mpl.use('Agg')
    rows = len(observed_by_name)
    figure, axes = pyplot.subplots(
        rows, 1, squeeze=False, figsize=(WIDTH_INCHES, HEIGHT_INCHES * rows)
    )
    for axis, (name, observed) in zip(axes[:, 0], observed_by_name.items(), strict=True):
        services = frozenset(sample.service for sample in observed.samples)
        shown = summarise_by_second(observed, services)
        numbers = [each.number for each in shown]
        axis.plot(numbers, [each.latency.answered for each in shown], label='answered')
        axis.plot(numbers, [each.latency.refused for each in shown], label='refused')
        axis.plot(numbers, [each.latency.failed for each in shown], label='failed')
        for each in shown:
            if each.title:
                axis.axvline(each.number, linestyle=':', color='gray')
                axis.annotate(each.title, (each.number, 0), rotation=90, fontsize='small')
        axis.set_title(name)
        axis.set_xlabel('seconds')
        axis.set_ylabel('requests due in a second')
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
