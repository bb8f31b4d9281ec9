"""Tests of the commands that check files."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.document.examples import EXAMPLE as DOCUMENT
from tests.settings.test_settings import EXAMPLE as SETTINGS

from coltsfootstair.cli import app

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ('command', 'text', 'code', 'lines'),
    [
        ('settings', SETTINGS, 0, 0),
        ('settings', SETTINGS.replace('8001', 'x').replace('"north"', '""'), 2, 2),
        ('config', DOCUMENT, 0, 0),
        ('config', DOCUMENT.replace('slots = 4', 'slots = 0'), 2, 2),
        ('config', 'name = """a\nb\n', 2, 1),
    ],
)
def test_check_prints_one_line_per_fault(
    command: str,
    text: str,
    code: int,
    lines: int,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'file.toml'
    path.write_text(text)
    with pytest.raises(SystemExit) as exit_info:
        app([command, 'check', str(path)])
    errors = capsys.readouterr().err.splitlines()
    assert (exit_info.value.code, len(errors)) == (code, lines)
    assert all(line.startswith(f'{path}: ') for line in errors)
