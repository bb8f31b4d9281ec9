"""What callers ask for, and how often."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ['BookingLoad', 'Load', 'LookupLoad', 'UploadLoad']


class LookupLoad(NamedTuple):
    """Idempotent requests, for keys of which few are asked for often.

    :param rate_per_s: requests a second, whether or not earlier ones are answered
    :param key_count: how many keys there are
    :param zipf_exponent: of the Zipf distribution that keys follow; 0 is uniform
    """

    service: str
    rate_per_s: float
    key_count: int = 1000
    zipf_exponent: float = 0.8


class BookingLoad(NamedTuple):
    """Requests that may run once, each with an operation id.

    :param duplicate_share: the share of requests sent a second time through another daemon
    """

    service: str
    rate_per_s: float
    key_count: int = 1000
    zipf_exponent: float = 0.8
    duplicate_share: float = 0.1


class UploadLoad(NamedTuple):
    """Large bodies that come slowly.

    :param uploader_count: callers that upload one body after the other
    :param bytes_per_s: how fast each crew sends
    """

    service: str
    uploader_count: int
    size_bytes: int
    bytes_per_s: float


Load = LookupLoad | BookingLoad | UploadLoad
