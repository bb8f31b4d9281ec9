"""Renders the pages of the console from their templates."""

from __future__ import annotations

import functools
from http import HTTPStatus
from importlib import resources
from typing import Any

import jinja2

from coltsfootstair.operators._http import Response

__all__ = ['load_style_sheet', 'render_page']

HTML_CONTENT_TYPE = 'text/html; charset=utf-8'


@functools.cache
def _load_environment() -> jinja2.Environment:
    return jinja2.Environment(
        loader=jinja2.PackageLoader('coltsfootstair.operators', 'templates'),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )


def render_page(template: str, status: HTTPStatus = HTTPStatus.OK, **values: Any) -> Response:
    """Return the page that ``template`` renders from ``values``; all values are escaped."""
    text = _load_environment().get_template(f'{template}.html').render(**values)
    return Response(status, HTML_CONTENT_TYPE, text.encode())


@functools.cache
def load_style_sheet() -> Response:
    """Return the style sheet."""
    sheet = resources.files('coltsfootstair.operators') / 'templates' / 'style.css'
    return Response(HTTPStatus.OK, 'text/css; charset=utf-8', sheet.read_bytes())
