"""Renders the page that shows the outcome of a change."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.operators._pages import render_page
from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
    Unavailable,
)

if TYPE_CHECKING:
    from coltsfootstair.operators._http import Response

__all__ = ['render_result']


def render_result(result: ApplyResult, token: str) -> Response:
    """Return a page that shows the outcome of a change."""
    match result:
        case Applied(version, changes):
            title, status = f'Accepted as version {version}', HTTPStatus.OK
            lines = changes or ('Nothing to change: the document has these values already.',)
        case Conflict(version, changes, detail):
            title, status = 'Another change came first', HTTPStatus.CONFLICT
            lines = (
                f'Version {version} is the present one; your change was not applied to it.',
                *changes,
                *((detail,) if detail else ()),
            )
        case Dangerous(dangers):
            title, status = 'Not applied: dangerous', HTTPStatus.PRECONDITION_REQUIRED
            lines = dangers
        case Faulty(faults):
            title, status = (
                'Not applied: faults in the document',
                HTTPStatus.UNPROCESSABLE_ENTITY,
            )
            lines = faults
        case Unavailable(detail):
            title, status = 'The store did not answer', HTTPStatus.SERVICE_UNAVAILABLE
            lines = (detail,)
    return render_page('result', status, title=title, lines=lines, token=token)
