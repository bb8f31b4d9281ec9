"""Tests of the result codes."""

from __future__ import annotations

import pytest

from coltsfootstair.results import ResultCode, http_status, title


@pytest.mark.parametrize('code', list(ResultCode))
def test_each_code_has_status_and_title(code: ResultCode) -> None:
    assert 200 <= http_status(code) < 600
    assert title(code)


def test_titles_are_distinct() -> None:
    titles = [title(code) for code in ResultCode]
    assert len(set(titles)) == len(titles)
