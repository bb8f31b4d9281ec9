"""Fits a straight line through costs measured at several sizes."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ['RUNS_PER_SIZE', 'Point', 'Slope', 'fit_slope', 'measure_slope']

RUNS_PER_SIZE = 3
"""Runs of each size, of which the median counts."""


class Point(NamedTuple):
    """The cost at one size.

    :param size: how many of what the slope is counted by
    :param value: the median of the repeated runs
    :param low: the least of them
    :param high: the greatest of them
    """

    size: float
    value: float
    low: float
    high: float


class Slope(NamedTuple):
    """A cost as a function of a size, by least squares.

    :param unit: the unit of ``slope``, such as ``us per row``
    :param slope: the cost of one more
    :param intercept: the cost at size 0
    :param r2: 1 if the points lie on a straight line
    :param unit_ratio: cost of one at the greatest size over that at the least size
    :param spread: the widest relative range of repeated runs of one size
    """

    name: str
    unit: str
    about: str
    slope: float
    intercept: float
    r2: float
    unit_ratio: float
    spread: float
    points: list[Point]


def fit_slope(name: str, unit: str, about: str, points: Sequence[Point]) -> Slope:
    """Return the line through ``points``, which are sorted by size."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    first, last = points[0], points[-1]
    per_first = first.value / first.size
    return Slope(
        name,
        unit,
        about,
        line.slope,
        line.intercept,
        _r_squared(sizes, values),
        last.value / last.size / per_first if per_first else 0.0,
        max(_spread(point) for point in points),
        list(points),
    )


def measure_slope(
    name: str,
    unit: str,
    about: str,
    sizes: Sequence[int],
    cost: Callable[[int], float],
    runs_per_size: int = RUNS_PER_SIZE,
) -> Slope:
    """Call ``cost`` with each of ``sizes`` a few times and return the line."""
    cost(sizes[0])
    points = []
    for size in sizes:
        costs = sorted(cost(size) for _ in range(runs_per_size))
        points.append(Point(size, statistics.median(costs), costs[0], costs[-1]))
    return fit_slope(name, unit, about, points)


def _r_squared(sizes: list[float], values: list[float]) -> float:
    # A cost that never changes lies on a line, but has no correlation.
    if len(set(values)) == 1:
        return 1.0
    return statistics.correlation(sizes, values) ** 2


def _spread(point: Point) -> float:
    return (point.high - point.low) / point.value if point.value else 0.0
