"""Shows the outcome of a change."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.operators._pages import page
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

__all__ = ['result_page']


def result_page(result: ApplyResult, token: str) -> Response:
    """Return a page that says what became of a change."""
    match result:
        case Applied(version, changes):
            title, status = f'Accepted as version {version}', HTTPStatus.OK
            lines = changes or ('All was so already.',)
        case Conflict(version, changes, detail):
            title, status = 'Another change came first', HTTPStatus.CONFLICT
            lines = (
                f'Version {version} is in place; nothing of yours was changed after it.',
                *changes,
                *((detail,) if detail else ()),
            )
        case Dangerous(dangers):
            title, status = 'Not done: dangerous', HTTPStatus.PRECONDITION_REQUIRED
            lines = dangers
        case Faulty(faults):
            title, status = 'Not done: faults', HTTPStatus.UNPROCESSABLE_ENTITY
            lines = faults
        case Unavailable(detail):
            title, status = 'The store did not answer', HTTPStatus.SERVICE_UNAVAILABLE
            lines = (detail,)
    return page('result', status, title=title, lines=lines, token=token)
