"""A derived figure of the capacity page."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['Figure']


class Figure(NamedTuple):
    """A number worked out from inputs, slopes and figures before it.

    :param role: the section that lists it
    :param formula: arithmetic over names; ``NAME_peak`` is the greatest measured value
        of a slope, ``NAME_at0`` its cost at size 0
    """

    role: str
    name: str
    formula: str
    unit: str
    about: str
