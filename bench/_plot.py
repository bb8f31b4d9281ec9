"""Plots of the requests of each second."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot

from coltsfootstair.demo import RunRecord, summarise_by_second

__all__ = ['plot_requests']

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.5


def plot_requests(record_by_name: Mapping[str, RunRecord], path: Path) -> None:
    """Write a PNG file with the answered, refused and failed requests of each second."""
    mpl.use('Agg')
    plot_count = len(record_by_name)
    figure, axes = pyplot.subplots(
        plot_count, 1, squeeze=False, figsize=(WIDTH_INCHES, HEIGHT_INCHES * plot_count)
    )
    for axis, (name, record) in zip(axes[:, 0], record_by_name.items(), strict=True):
        services = frozenset(sample.service for sample in record.samples)
        plotted_seconds = summarise_by_second(record, services)
        second_numbers = [second.number for second in plotted_seconds]
        axis.plot(
            second_numbers,
            [second.latency.answered for second in plotted_seconds],
            label='answered',
        )
        axis.plot(
            second_numbers,
            [second.latency.refused for second in plotted_seconds],
            label='refused',
        )
        axis.plot(
            second_numbers,
            [second.latency.failed for second in plotted_seconds],
            label='failed',
        )
        for second in plotted_seconds:
            if second.title:
                axis.axvline(second.number, linestyle=':', color='gray')
                axis.annotate(second.title, (second.number, 0), rotation=90, fontsize='small')
        axis.set_title(name)
        axis.set_xlabel('seconds')
        axis.set_ylabel('requests due in a second')
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
