"""Tests of the log lines of a process."""

from __future__ import annotations

import io

import structlog

from coltsfootstair.logs import configure


def test_a_logged_exception_has_no_values_of_the_request_that_failed() -> None:
    """Guards against callers' keys in the log, among the local variables of a traceback."""
    stream = io.StringIO()
    earlier = structlog.get_config()
    configure(stream=stream)
    try:
        _fail({'key': 'secret-of-a-caller'})
    finally:
        structlog.configure(**earlier)
    assert 'request failed' in stream.getvalue()
    assert 'ZeroDivisionError' in stream.getvalue()
    assert 'secret-of-a-caller' not in stream.getvalue()


def _fail(headers: dict[str, str]) -> None:
    try:
        len(headers) // 0
    except ZeroDivisionError:
        structlog.get_logger().exception('request failed')
