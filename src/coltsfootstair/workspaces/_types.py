"""Types of workspaces."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

__all__ = ['Workspace', 'digest_key']

DIGEST_BYTES = 16


class Workspace(NamedTuple):
    """A workspace, whose callers send one of its keys.

    :param priority: goes before that of a route; 0 is the most urgent, ``None`` if not set
    :param limit_per_s: requests a second that it may make over all daemons together; 0 for no
        limit
    :param burst: requests beyond it after a time without any
    """

    name: str
    priority: int | None = None
    limit_per_s: float = 0.0
    burst: float = 0.0


def digest_key(key: bytes) -> bytes:
    """Return what stands for a key in memory, so that no dump or log has the key itself."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
