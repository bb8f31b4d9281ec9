"""Renders the console's pages from their templates."""

from __future__ import annotations

import functools
from http import HTTPStatus
from importlib import resources
from typing import Any

import jinja2

from coltsfootstair.operators._http import Response

__all__ = ['page', 'style']

HTML_TYPE = 'text/html; charset=utf-8'


@functools.cache
def _environment() -> jinja2.Environment:
    return jinja2.Environment(
        loader=jinja2.PackageLoader('coltsfootstair.operators', 'templates'),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )


def page(template: str, status: HTTPStatus = HTTPStatus.OK, **values: Any) -> Response:
    """Return the page made of ``template`` and ``values``; all values are escaped."""
    text = _environment().get_template(f'{template}.html').render(**values)
    return Response(status, HTML_TYPE, text.encode())


@functools.cache
def style() -> Response:
    """Return the style sheet."""
    sheet = resources.files('coltsfootstair.operators') / 'templates' / 'style.css'
    return Response(HTTPStatus.OK, 'text/css; charset=utf-8', sheet.read_bytes())
