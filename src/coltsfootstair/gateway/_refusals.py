"""Renders refusals for callers."""

from __future__ import annotations

import json

from coltsfootstair.http1 import Reply
from coltsfootstair.results import Refusal, http_status, title

__all__ = ['render_refusal']


def render_refusal(refusal: Refusal, request_id: bytes | None) -> Reply:
    """Return the reply that reports ``refusal`` to a caller."""
    headers = [
        (b'Content-Type', b'application/problem+json'),
        (b'Coltsfootstair-Result', str(int(refusal.code)).encode()),
    ]
    if request_id is not None:
        headers.append((b'Coltsfootstair-Request-Id', request_id))
    if refusal.retry_after_s is not None:
        headers.append((b'Retry-After', f'{refusal.retry_after_s:.2f}'.encode()))
    body = json.dumps(
        {
            'code': int(refusal.code),
            'title': title(refusal.code),
            'ran': refusal.ran.value,
            'detail': refusal.detail,
        }
    ).encode()
    return Reply(http_status(refusal.code), headers, body)
