"""A derived figure of the capacity page."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['Figure']


class Figure(NamedTuple):
    """A number computed from inputs, slopes and earlier figures.

    :param role: the section of the page that lists it
    :param formula: arithmetic expression over names; ``NAME_peak`` is the greatest
        measured value of a slope, ``NAME_at0`` its cost at size 0
    :param about: what the number is, as the page shows it
    """

    role: str
    name: str
    formula: str
    unit: str
    about: str
