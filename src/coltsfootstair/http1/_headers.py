"""Header lists and which of their entries concern only one connection."""

from __future__ import annotations

from collections.abc import Collection, Sequence

__all__ = ['Headers', 'find_first_value', 'render_head', 'select_end_to_end']

Headers = Sequence[tuple[bytes, bytes]]
"""Names as sent, with their values, in the order sent."""

_HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    }
)
"""RFC 9110 section 7.6.1, and what is written anew for each connection."""


def find_first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of ``name``, which is in lower case, or ``None``."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def select_end_to_end(
    headers: Headers, without: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers to pass on, less those in ``without`` (names in lower case)."""
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    kept = []
    for key, value in headers:
        lower = key.lower()
        if lower in _HOP_BY_HOP or lower in without or lower in named:
            continue
        kept.append((key, value))
    return kept


def render_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the head of a message, with the empty line that ends it."""
    lines = [first_line]
    lines.extend(key + b': ' + value for key, value in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
