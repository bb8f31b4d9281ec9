"""Search, filter and render lists of HTTP headers."""

from __future__ import annotations

from collections.abc import Collection, Sequence

__all__ = ['Headers', 'find_first_value', 'render_head', 'select_end_to_end']

Headers = Sequence[tuple[bytes, bytes]]
"""Pairs of name, spelled as sent, and value, in the order sent."""

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
"""Headers of one connection by RFC 9110, section 7.6.1, and headers that each connection
writes itself."""


def find_first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header.

    :param name: name of the header in lower case
    :return: ``None`` if there is no such header
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def select_end_to_end(
    headers: Headers, without: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers that a proxy forwards.

    Headers that ``Connection`` names are left out too.

    :param without: names in lower case of further headers to leave out
    """
    connection_options: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b'connection':
            connection_options.update(option.strip().lower() for option in value.split(b','))
    forwarded = []
    for key, value in headers:
        lower = key.lower()
        if lower in _HOP_BY_HOP or lower in without or lower in connection_options:
            continue
        forwarded.append((key, value))
    return forwarded


def render_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the first line and headers of a message, with the empty line that ends them."""
    lines = [first_line]
    lines.extend(key + b': ' + value for key, value in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
