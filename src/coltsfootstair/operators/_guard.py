"""Protects forms against cross-site request forgery."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from http import HTTPStatus
from urllib.parse import urlsplit

from coltsfootstair.operators._http import HttpError, Request

__all__ = ['TOKEN_FIELD', 'FormGuard']

COOKIE_NAME = 'coltsfootstair-form'
TOKEN_FIELD = 'csrf'


class FormGuard:
    """Issues a cookie to each browser and derives the token in its forms from it."""

    def __init__(self) -> None:
        self._secret = secrets.token_bytes(32)

    def get_or_issue_cookie(self, request: Request) -> tuple[str, tuple[tuple[str, str], ...]]:
        """Return the browser's cookie, or a new one and the headers that set it."""
        known = request.read_cookie(COOKIE_NAME)
        if known:
            return known, ()
        value = secrets.token_urlsafe(32)
        header = f'{COOKIE_NAME}={value}; Path=/; HttpOnly; SameSite=Strict'
        return value, (('Set-Cookie', header),)

    def compute_token(self, cookie: str) -> str:
        """Return the token for the forms that are shown to the browser with ``cookie``."""
        return hmac.new(self._secret, cookie.encode(), hashlib.sha256).hexdigest()

    def check(self, request: Request, token: str) -> None:
        """Check that a posted form came from a page of this console.

        :raises HttpError: the form did not come from this console
        """
        cookie = request.read_cookie(COOKIE_NAME)
        if not cookie or not hmac.compare_digest(
            self.compute_token(cookie).encode(), token.encode()
        ):
            raise HttpError(
                HTTPStatus.FORBIDDEN,
                'the form is not from this console, or the daemon has restarted since; '
                'open the page again',
            )
        if not _has_same_origin(request):
            raise HttpError(HTTPStatus.FORBIDDEN, 'the form is from another site')


def _has_same_origin(request: Request) -> bool:
    headers = request.headers_by_name
    if headers.get('sec-fetch-site', 'same-origin') not in ('same-origin', 'none'):
        return False
    origin = headers.get('origin')
    return origin is None or urlsplit(origin).netloc == headers.get('host')
