"""Loads: kind, rate and size of the requests that are generated."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['BookingLoad', 'Load', 'LookupLoad', 'UploadLoad']


class LookupLoad(NamedTuple):
    """Idempotent requests, a few keys of which are much more frequent than others.

    :param rate_per_s: requests per second, whether or not earlier ones are answered
    :param key_count: number of different keys
    :param zipf_exponent: exponent of the Zipf distribution of the keys; 0 is uniform
    """

    service: str
    rate_per_s: float
    key_count: int = 1000
    zipf_exponent: float = 0.8


class BookingLoad(NamedTuple):
    """Requests that may run at most once, each with an operation id.

    :param duplicate_share: share of the requests that are sent twice, the second time through
        a daemon that is chosen anew
    """

    service: str
    rate_per_s: float
    key_count: int = 1000
    zipf_exponent: float = 0.8
    duplicate_share: float = 0.1


class UploadLoad(NamedTuple):
    """Large bodies that are sent slowly.

    :param uploader_count: number of callers, each of which uploads one body after another
    :param bytes_per_s: rate at which each of these callers sends
    """

    service: str
    uploader_count: int
    size_bytes: int
    bytes_per_s: float


Load = LookupLoad | BookingLoad | UploadLoad
