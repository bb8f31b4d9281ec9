"""Fit of a straight line to costs measured at several sizes."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ['RUNS_PER_SIZE', 'Point', 'Slope', 'fit_slope', 'measure_slope']

RUNS_PER_SIZE = 3
"""Number of runs of each size; their median is the cost."""


class Point(NamedTuple):
    """The cost at one size.

    :param size: number of the units that the slope counts, such as rows
    :param value: the median of the repeated runs
    :param low: the lowest value of them
    :param high: the highest value of them
    """

    size: float
    value: float
    low: float
    high: float


class Slope(NamedTuple):
    """A cost as a linear function of a size, fitted by least squares.

    :param unit: the unit of ``slope``, such as ``us per row``
    :param about: what the cost is, as the capacity page shows it
    :param slope: the cost of one more unit of size
    :param intercept: the cost at size 0
    :param r2: coefficient of determination, 1 if the points lie on a straight line
    :param unit_ratio: cost per unit of size at the largest size, divided by the same at
        the smallest size
    :param spread: greatest relative range of the runs of one size: highest less lowest
        value, over the median
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
    """Fit a line to ``points``, which are sorted by size."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    first, last = points[0], points[-1]
    first_unit_cost = first.value / first.size
    return Slope(
        name,
        unit,
        about,
        line.slope,
        line.intercept,
        _compute_r_squared(sizes, values),
        last.value / last.size / first_unit_cost if first_unit_cost else 0.0,
        max(_compute_spread(point) for point in points),
        list(points),
    )


def measure_slope(
    name: str,
    unit: str,
    about: str,
    sizes: Sequence[int],
    measure_cost: Callable[[int], float],
    runs_per_size: int = RUNS_PER_SIZE,
) -> Slope:
    """Measure the cost of each size several times and fit a line.

    One call with the first size comes before the counted ones, to warm up.

    :param measure_cost: returns the cost of the size that it is given
    """
    measure_cost(sizes[0])
    points = []
    for size in sizes:
        costs = sorted(measure_cost(size) for _ in range(runs_per_size))
        points.append(Point(size, statistics.median(costs), costs[0], costs[-1]))
    return fit_slope(name, unit, about, points)


def _compute_r_squared(sizes: list[float], values: list[float]) -> float:
    # Constant costs lie on a line, but their correlation is undefined.
    if len(set(values)) == 1:
        return 1.0
    return statistics.correlation(sizes, values) ** 2


def _compute_spread(point: Point) -> float:
    return (point.high - point.low) / point.value if point.value else 0.0
