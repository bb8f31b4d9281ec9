"""Reads the headers and the body of a request that a backend server records."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from coltsfootstair.standin._http import Exchange
    from coltsfootstair.standin._truth import RequestTruth

__all__ = [
    'ECHO_LIMIT_BYTES',
    'Content',
    'build_request_truth',
    'is_answered_with_digest',
    'read_content',
]

ECHO_LIMIT_BYTES = 64 * 1024
"""Longest body that is sent back whole; the answer to a longer one is a digest."""

_MALFORMED = -1
"""Recorded for a header that should be a number and is not."""


class Content(NamedTuple):
    """The body of a request.

    :param head: its first ``ECHO_LIMIT_BYTES``
    :param length: number of bytes of the whole body
    :param sha256: digest of the whole body, in hexadecimal
    """

    head: bytes
    length: int
    sha256: str


def build_request_truth(exchange: Exchange, now: float) -> RequestTruth:
    """Return the record of a request that has just arrived."""
    headers = exchange.headers
    return {
        'request_id': headers.get('Coltsfootstair-Request-Id', ''),
        'operation_id': headers.get('Idempotency-Key', ''),
        'service': headers.get('Coltsfootstair-Service', ''),
        'key': headers.get('Coltsfootstair-Key', ''),
        'slot': _parse_number(headers.get('Coltsfootstair-Slot')),
        'token': _parse_number(headers.get('Coltsfootstair-Token')),
        'start': now,
        'end': None,
        'bytes': 0,
        'status': None,
    }


def read_content(exchange: Exchange, truth: RequestTruth) -> Content:
    """Read the body to its end, and count its bytes in ``truth`` as they arrive."""
    head = bytearray()
    digest = hashlib.sha256()
    for chunk in exchange.iter_body():
        digest.update(chunk)
        truth['bytes'] += len(chunk)
        head += chunk[: ECHO_LIMIT_BYTES - len(head)]
    return Content(bytes(head), truth['bytes'], digest.hexdigest())


def is_answered_with_digest(exchange: Exchange, content: Content) -> bool:
    """Check whether the answer is a digest instead of the body itself."""
    kind = exchange.headers.get('Coltsfootstair-Kind', '')
    return kind == 'upload' or content.length > ECHO_LIMIT_BYTES


def _parse_number(text: str | None) -> int | None:
    if text is None:
        return None
    return int(text) if text.isdecimal() else _MALFORMED
