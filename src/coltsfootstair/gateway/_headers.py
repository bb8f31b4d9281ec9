"""Headers of the requests and answers that daemons exchange for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.http1 import Headers

__all__ = [
    'ACCOUNT_HEADER',
    'LEAVING_HEADER',
    'REQUEST_ID_HEADER',
    'RESULT_HEADER',
    'SERVED_BY_HEADER',
    'WORKSPACE_HEADER',
    'build_relayed_answer_headers',
    'select_callers_headers',
]

WORKSPACE_HEADER = b'coltsfootstair-workspace'
"""Header with the name of the workspace to which a relayed request belongs."""

SERVED_BY_HEADER = b'coltsfootstair-served-by'
"""Header with the name of the backend server, in answers to relayed requests."""

LEAVING_HEADER = b'coltsfootstair-leaving'
"""Header with the value 1 if that server has said that it is leaving."""

ACCOUNT_HEADER = b'coltsfootstair-attempts'
"""Header with what a relayed request has spent, in the request and in its answer."""

RESULT_HEADER = b'coltsfootstair-result'
"""Header of a daemon's own refusals."""

REQUEST_ID_HEADER = b'coltsfootstair-request-id'
"""Header with the id of the request, in a daemon's own refusals and its answers to others."""

_BETWEEN_DAEMONS = frozenset(
    {WORKSPACE_HEADER, SERVED_BY_HEADER, LEAVING_HEADER, ACCOUNT_HEADER}
)


def select_callers_headers(headers: Headers) -> Headers:
    """Return the headers of a request or answer without those between daemons."""
    return [(name, value) for name, value in headers if name.lower() not in _BETWEEN_DAEMONS]


def build_relayed_answer_headers(
    server_name: str, request_id: bytes | None, *, is_leaving: bool
) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell another daemon of the backend server that has answered."""
    headers = [(SERVED_BY_HEADER, server_name.encode())]
    if request_id is not None:
        headers.append((REQUEST_ID_HEADER, request_id))
    if is_leaving:
        headers.append((LEAVING_HEADER, b'1'))
    return headers
