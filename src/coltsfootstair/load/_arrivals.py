"""Schedules the requests of a load; the same seed gives the same schedule."""

from __future__ import annotations

import bisect
import itertools
import random
from typing import NamedTuple

from coltsfootstair.load._loads import BookingLoad, LookupLoad

__all__ = ['Arrival', 'generate_arrivals']

MAX_DUPLICATE_DELAY_S = 0.05
"""Longest time after a booking at which its duplicate is sent, in seconds."""


class Arrival(NamedTuple):
    """A scheduled request.

    :param offset_s: seconds from the start of the load until the request is due
    :param operation_id: empty for an idempotent request
    """

    offset_s: float
    service: str
    key: str
    operation_id: str
    body: bytes


class _ZipfKeys:
    """Draws keys from a Zipf distribution; the first key is the most frequent."""

    def __init__(
        self, key_count: int, zipf_exponent: float, random_source: random.Random
    ) -> None:
        weights = (1.0 / rank**zipf_exponent for rank in range(1, key_count + 1))
        self._cumulative = list(itertools.accumulate(weights))
        self._random_source = random_source

    def draw(self) -> str:
        point = self._random_source.random() * self._cumulative[-1]
        return f'key-{bisect.bisect(self._cumulative, point)}'


def generate_arrivals(
    load: LookupLoad | BookingLoad, duration_s: float, seed: int
) -> list[Arrival]:
    """Return the requests of ``load``, as a Poisson process at its rate generates them.

    :param duration_s: length of the load, in seconds
    """
    random_source = random.Random(f'{seed} {load.service}')
    key_source = _ZipfKeys(load.key_count, load.zipf_exponent, random_source)
    arrivals: list[Arrival] = []
    offset_s = random_source.expovariate(load.rate_per_s)
    for number in itertools.count():
        if offset_s >= duration_s:
            return sorted(arrivals)
        # The body of the request, and the operation id of a booking.
        unique_text = f'{load.service}-{seed}-{number}'
        match load:
            case LookupLoad():
                arrivals.append(
                    Arrival(
                        offset_s, load.service, key_source.draw(), '', unique_text.encode()
                    )
                )
            case BookingLoad():
                booking = Arrival(
                    offset_s,
                    load.service,
                    key_source.draw(),
                    unique_text,
                    unique_text.encode(),
                )
                arrivals.append(booking)
                if random_source.random() < load.duplicate_share:
                    duplicate_offset_s = offset_s + random_source.uniform(
                        0, MAX_DUPLICATE_DELAY_S
                    )
                    arrivals.append(booking._replace(offset_s=duplicate_offset_s))
        offset_s += random_source.expovariate(load.rate_per_s)
    raise AssertionError('unreachable')
