"""What can be read from an operation id, and fingerprints of what it was used for."""

from __future__ import annotations

import uuid

import xxhash

__all__ = ['fingerprint', 'generate_operation_id', 'id_age_s', 'is_generated_id']

UUID7 = 7
TIME_SHIFT_BITS = 80
CLOCK_SKEW_S = 5.0
VERSION_SHIFT_BITS = 76
VARIANT_SHIFT_BITS = 62
RANDOM_LOW_MASK = (1 << VARIANT_SHIFT_BITS) - 1
OWN_PREFIX = 'entry:'


def generate_operation_id(calendar_s: float, random_bits: int) -> str:
    """Return an operation id for a request whose caller gave none; it holds its time.

    :param random_bits: a random number of 74 bits
    """
    value = int(calendar_s * 1000) << TIME_SHIFT_BITS
    value |= UUID7 << VERSION_SHIFT_BITS
    value |= (random_bits >> VARIANT_SHIFT_BITS) << (VARIANT_SHIFT_BITS + 2)
    value |= (0b10 << VARIANT_SHIFT_BITS) | (random_bits & RANDOM_LOW_MASK)
    return f'{OWN_PREFIX}{uuid.UUID(int=value)}'


def is_generated_id(operation_id: str) -> bool:
    """Tell whether a daemon made the id; backend servers are not sent such ids."""
    return operation_id.startswith(OWN_PREFIX)


def id_age_s(operation_id: str, calendar_s: float) -> float | None:
    """Return how long ago a UUIDv7 was made, in seconds.

    ``None`` if the id is another kind, or if its time lies too far ahead to be believed.

    :param calendar_s: the calendar time as seconds since 1970 in UTC
    """
    try:
        parsed = uuid.UUID(operation_id.removeprefix(OWN_PREFIX))
    except ValueError:
        return None
    if parsed.version != UUID7:
        return None
    age_s = calendar_s - (parsed.int >> TIME_SHIFT_BITS) / 1000
    return max(age_s, 0.0) if age_s >= -CLOCK_SKEW_S else None


def fingerprint(method: str, target: str, key: str, body: bytes) -> bytes:
    """Return a digest of a request; another use of its id gives another one.

    :param body: the body, or its length where it is not held
    """
    digest = xxhash.xxh3_128()
    for part in (method.encode(), target.encode(), key.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
