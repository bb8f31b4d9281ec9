"""Fingerprints by which repeats of a request are recognized."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ['FINGERPRINT_BYTES', 'compute_fingerprints']

FINGERPRINT_BYTES = 12
"""Length of a fingerprint; collisions of thousands of suspects are out of reach."""


def compute_fingerprints(
    host: bytes,
    method: bytes,
    target: bytes,
    key: int | None,
    body: bytes | bytearray,
    caller: str,
) -> tuple[bytes, bytes]:
    """Return the fingerprints of a request's content, without and with its caller.

    A request may end its servers whoever sends it, or only as one caller sends it. Headers
    differ between repeats and are left out.
    """
    content = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    _add_parts(content, [host.lower(), method, target, str(key).encode(), body])
    by_caller = content.copy()
    _add_parts(by_caller, [b'caller', caller.encode()])
    return content.digest(), by_caller.digest()


def _add_parts(digest: hashlib.blake2b, parts: Iterable[bytes | bytearray]) -> None:
    for part in parts:
        # With the length, so that parts can't run into each other.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
