"""Requests and responses of the operators' address."""

from __future__ import annotations

import json
from collections.abc import Iterable
from http import HTTPStatus
from http.cookies import CookieError, SimpleCookie
from typing import Any, NamedTuple
from urllib.parse import parse_qs

__all__ = [
    'MAX_BODY_BYTES',
    'HttpError',
    'Request',
    'Response',
    'build_json_response',
    'read_request',
]

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Longest body that is read, in bytes; a form carries the document percent-encoded."""

SECURITY_HEADERS = (
    ('Cache-Control', 'no-store'),
    (
        'Content-Security-Policy',
        (
            "default-src 'none'; style-src 'self'; form-action 'self'; "
            "base-uri 'none'; frame-ancestors 'none'"
        ),
    ),
    ('Cross-Origin-Opener-Policy', 'same-origin'),
    ('Cross-Origin-Resource-Policy', 'same-origin'),
    ('Referrer-Policy', 'same-origin'),
    ('X-Content-Type-Options', 'nosniff'),
    ('X-Frame-Options', 'DENY'),
)


class HttpError(Exception):
    """A request that is refused, with its status and an explanation."""

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class Request(NamedTuple):
    """A request with its complete body.

    :param headers_by_name: values by name in lower case
    """

    method: str
    path: str
    query: dict[str, list[str]]
    headers_by_name: dict[str, str]
    body: bytes

    def parse_form(self) -> dict[str, list[str]]:
        """Return the fields of a posted form.

        :raises HttpError: the body is not a form
        """
        try:
            return parse_qs(self.body.decode(), keep_blank_values=True, max_num_fields=1000)
        except ValueError:
            raise HttpError(
                HTTPStatus.BAD_REQUEST, 'the body cannot be parsed as a form'
            ) from None

    def read_cookie(self, name: str) -> str:
        """Return the value of the cookie ``name``, or an empty string."""
        try:
            morsel = SimpleCookie(self.headers_by_name.get('cookie', '')).get(name)
        except CookieError:
            return ''
        return morsel.value if morsel else ''


class Response(NamedTuple):
    """A response; the security headers are added when it is sent."""

    status: HTTPStatus
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def build_headers(self) -> list[tuple[str, str]]:
        """Return the headers to send."""
        return [
            ('Content-Type', self.content_type),
            ('Content-Length', str(len(self.body))),
            *SECURITY_HEADERS,
            *self.headers,
        ]


def build_json_response(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Return a response with ``value`` as JSON."""
    body = json.dumps(value, indent=2).encode() + b'\n'
    return Response(status, 'application/json', body)


def read_request(environ: dict[str, Any]) -> Request:
    """Read a request from a WSGI environment.

    :raises HttpError: the body is too long
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        raise HttpError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too long')
    return Request(
        environ['REQUEST_METHOD'],
        environ.get('PATH_INFO', '/').encode('latin-1').decode('utf-8', 'replace'),
        parse_qs(environ.get('QUERY_STRING', ''), keep_blank_values=True),
        dict(_iter_headers(environ)),
        environ['wsgi.input'].read(length),
    )


def _iter_headers(environ: dict[str, Any]) -> Iterable[tuple[str, str]]:
    for name, value in environ.items():
        if name.startswith('HTTP_'):
            yield name.removeprefix('HTTP_').replace('_', '-').lower(), value
