"""Headers of the requests and answers that daemons exchange for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.http1 import find_first_value

if TYPE_CHECKING:
    from coltsfootstair.http1 import Headers

__all__ = [
    'LEAVING_HEADER',
    'RELAYED_HEADER',
    'RESULT_HEADER',
    'SERVED_BY_HEADER',
    'build_relayed_answer_headers',
    'is_relayed',
    'select_callers_headers',
]

RELAYED_HEADER = b'coltsfootstair-relayed'
"""Header of a request that another daemon sends for its caller; it is not relayed again."""

SERVED_BY_HEADER = b'coltsfootstair-served-by'
"""Header with the name of the backend server, in answers to relayed requests."""

LEAVING_HEADER = b'coltsfootstair-leaving'
"""Header with the value 1 if that server has said that it is leaving."""

RESULT_HEADER = b'coltsfootstair-result'
"""Header of a daemon's own refusals."""

_BETWEEN_DAEMONS = frozenset({RELAYED_HEADER, SERVED_BY_HEADER, LEAVING_HEADER})


def is_relayed(headers: Headers) -> bool:
    """Whether another daemon has sent a request for its caller."""
    return find_first_value(headers, RELAYED_HEADER) is not None


def select_callers_headers(headers: Headers) -> Headers:
    """Return the headers of a request or answer without those between daemons."""
    return [(name, value) for name, value in headers if name.lower() not in _BETWEEN_DAEMONS]


def build_relayed_answer_headers(
    server_name: str, *, is_leaving: bool
) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell another daemon of the backend server that has answered."""
    headers = [(SERVED_BY_HEADER, server_name.encode())]
    if is_leaving:
        headers.append((LEAVING_HEADER, b'1'))
    return headers
