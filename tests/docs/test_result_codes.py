"""The page of result codes says just what the code says."""

from __future__ import annotations

from pathlib import Path

from coltsfootstair.results import ResultCode, http_status, title

PAGE = Path(__file__).parents[2] / 'docs' / 'result-codes.md'


def test_table_matches_the_code() -> None:
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith('| ')][1:]
    stated = [tuple(cell.strip() for cell in row.strip('|').split('|')[:3]) for row in rows]
    assert stated == [
        (str(int(code)), str(http_status(code)), title(code)) for code in ResultCode
    ]
