"""Operation ids, and fingerprints of the requests that use them."""

from __future__ import annotations

import uuid

import xxhash

__all__ = ['fingerprint', 'generate_operation_id', 'id_age_s', 'is_generated_id']

UUID7_VERSION = 7
TIME_SHIFT_BITS = 80
CLOCK_SKEW_S = 5.0
"""How far ahead of the local clock the time of an id may be, in seconds."""

VERSION_SHIFT_BITS = 76
VARIANT_SHIFT_BITS = 62
RANDOM_LOW_MASK = (1 << VARIANT_SHIFT_BITS) - 1
GENERATED_PREFIX = 'entry:'
"""Prefix of the operation ids that entry daemons generate."""


def generate_operation_id(calendar_s: float, random_bits: int) -> str:
    """Return an operation id for a request without one: a UUIDv7 with a prefix.

    :param calendar_s: the calendar time as seconds since 1970 in UTC
    :param random_bits: a random number of 74 bits
    """
    value = int(calendar_s * 1000) << TIME_SHIFT_BITS
    value |= UUID7_VERSION << VERSION_SHIFT_BITS
    value |= (random_bits >> VARIANT_SHIFT_BITS) << (VARIANT_SHIFT_BITS + 2)
    value |= (0b10 << VARIANT_SHIFT_BITS) | (random_bits & RANDOM_LOW_MASK)
    return f'{GENERATED_PREFIX}{uuid.UUID(int=value)}'


def is_generated_id(operation_id: str) -> bool:
    """Return whether a daemon generated the id; it is not sent to backend servers then."""
    return operation_id.startswith(GENERATED_PREFIX)


def id_age_s(operation_id: str, calendar_s: float) -> float | None:
    """Return how long ago an operation id that is a UUIDv7 was created, in seconds.

    ``None`` if the id is of another kind, or if its time is more than ``CLOCK_SKEW_S`` ahead.

    :param calendar_s: the calendar time as seconds since 1970 in UTC
    """
    try:
        parsed = uuid.UUID(operation_id.removeprefix(GENERATED_PREFIX))
    except ValueError:
        return None
    if parsed.version != UUID7_VERSION:
        return None
    age_s = calendar_s - (parsed.int >> TIME_SHIFT_BITS) / 1000
    return max(age_s, 0.0) if age_s >= -CLOCK_SKEW_S else None


def fingerprint(method: str, target: str, key: str, body: bytes) -> bytes:
    """Return a digest of a request, which shows whether its operation id is used again.

    :param target: the path of the request
    :param body: the body, or its length if the whole body is not in memory
    """
    digest = xxhash.xxh3_128()
    for part in (method.encode(), target.encode(), key.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
