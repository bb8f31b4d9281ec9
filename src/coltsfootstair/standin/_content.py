"""Reads what a request carries, as far as a backend server records it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from coltsfootstair.standin._http import Exchange
    from coltsfootstair.standin._truth import RequestTruth

__all__ = ['ECHO_LIMIT_BYTES', 'Content', 'is_upload', 'new_truth', 'read']

ECHO_LIMIT_BYTES = 64 * 1024
_MALFORMED = -1


class Content(NamedTuple):
    """What came as a body.

    :param head: its first ``ECHO_LIMIT_BYTES``
    :param length: all of its bytes
    """

    head: bytes
    length: int
    sha256: str


def new_truth(exchange: Exchange, now: float) -> RequestTruth:
    """Return the record of a request that has just come."""
    headers = exchange.headers
    return {
        'request_id': headers.get('Coltsfootstair-Request-Id', ''),
        'operation_id': headers.get('Idempotency-Key', ''),
        'service': headers.get('Coltsfootstair-Service', ''),
        'key': headers.get('Coltsfootstair-Key', ''),
        'slot': _number(headers.get('Coltsfootstair-Slot')),
        'token': _number(headers.get('Coltsfootstair-Token')),
        'start': now,
        'end': None,
        'bytes': 0,
        'status': None,
    }


def read(exchange: Exchange, truth: RequestTruth) -> Content:
    """Read the body to its end, counting its bytes in ``truth`` as they come."""
    head = bytearray()
    digest = hashlib.sha256()
    for piece in exchange.pieces():
        digest.update(piece)
        truth['bytes'] += len(piece)
        head += piece[: ECHO_LIMIT_BYTES - len(head)]
    return Content(bytes(head), truth['bytes'], digest.hexdigest())


def is_upload(exchange: Exchange, content: Content) -> bool:
    """Tell whether the answer is a digest and not the body itself."""
    kind = exchange.headers.get('Coltsfootstair-Kind', '')
    return kind == 'upload' or content.length > ECHO_LIMIT_BYTES


def _number(text: str | None) -> int | None:
    if text is None:
        return None
    return int(text) if text.isdecimal() else _MALFORMED
