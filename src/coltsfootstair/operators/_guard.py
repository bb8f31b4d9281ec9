"""Refuses forms that a page of another site makes a browser send."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from http import HTTPStatus
from urllib.parse import urlsplit

from coltsfootstair.operators._http import HttpError, Request

__all__ = ['TOKEN_FIELD', 'FormGuard']

COOKIE = 'coltsfootstair-form'
TOKEN_FIELD = 'csrf'


class FormGuard:
    """Gives each browser a cookie, and each form a token that goes with it."""

    def __init__(self) -> None:
        self._secret = secrets.token_bytes(32)

    def cookie(self, request: Request) -> tuple[str, tuple[tuple[str, str], ...]]:
        """Return the browser's cookie, and the headers that set it if it has none."""
        known = request.cookie(COOKIE)
        if known:
            return known, ()
        value = secrets.token_urlsafe(32)
        header = f'{COOKIE}={value}; Path=/; HttpOnly; SameSite=Strict'
        return value, (('Set-Cookie', header),)

    def token(self, cookie: str) -> str:
        """Return the token for forms on pages shown to the browser with ``cookie``."""
        return hmac.new(self._secret, cookie.encode(), hashlib.sha256).hexdigest()

    def check(self, request: Request, token: str) -> None:
        """Check that a posted form came from a page of this console.

        :raises HttpError: it did not
        """
        cookie = request.cookie(COOKIE)
        if not cookie or not hmac.compare_digest(self.token(cookie).encode(), token.encode()):
            raise HttpError(
                HTTPStatus.FORBIDDEN,
                'the form is not from this console, or the daemon has restarted since; '
                'open the page again',
            )
        if not _same_origin(request):
            raise HttpError(HTTPStatus.FORBIDDEN, 'the form is from another site')


def _same_origin(request: Request) -> bool:
    headers = request.headers_by_name
    if headers.get('sec-fetch-site', 'same-origin') not in ('same-origin', 'none'):
        return False
    origin = headers.get('origin')
    return origin is None or urlsplit(origin).netloc == headers.get('host')
