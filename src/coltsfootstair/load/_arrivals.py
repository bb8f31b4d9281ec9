"""Works out when which request is to be sent; the same for the same seed."""

from __future__ import annotations

import bisect
import itertools
import random
from typing import NamedTuple

from coltsfootstair.load._loads import BookingLoad, LookupLoad

__all__ = ['Arrival', 'generate_arrivals']

RESEND_WITHIN_S = 0.05


class Arrival(NamedTuple):
    """A request that is due.

    :param at: seconds since the load began
    :param operation_id: empty for a request that may be repeated
    """

    at: float
    service: str
    key: str
    operation_id: str
    body: bytes


class _ZipfKeys:
    """Draws keys, the first ones most often."""

    def __init__(self, keys: int, exponent: float, source: random.Random) -> None:
        weights = (1.0 / rank**exponent for rank in range(1, keys + 1))
        self._cumulative = list(itertools.accumulate(weights))
        self._source = source

    def draw(self) -> str:
        place = self._source.random() * self._cumulative[-1]
        return f'key-{bisect.bisect(self._cumulative, place)}'


def generate_arrivals(
    load: LookupLoad | BookingLoad, seconds: float, seed: int
) -> list[Arrival]:
    """Return the requests of ``load``, as a Poisson process would send them."""
    source = random.Random(f'{seed} {load.service}')
    keys = _ZipfKeys(load.key_count, load.zipf_exponent, source)
    due: list[Arrival] = []
    at = source.expovariate(load.rate_per_s)
    for number in itertools.count():
        if at >= seconds:
            return sorted(due)
        name = f'{load.service}-{seed}-{number}'
        match load:
            case LookupLoad():
                due.append(Arrival(at, load.service, keys.draw(), '', name.encode()))
            case BookingLoad():
                booking = Arrival(at, load.service, keys.draw(), name, name.encode())
                due.append(booking)
                if source.random() < load.duplicate_share:
                    later = at + source.uniform(0, RESEND_WITHIN_S)
                    due.append(booking._replace(at=later))
        at += source.expovariate(load.rate_per_s)
    raise AssertionError('unreachable')
