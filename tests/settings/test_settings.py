"""Tests of a daemon's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from coltsfootstair.errors import BadInputError
from coltsfootstair.settings import DaemonSettings, load, parse

if TYPE_CHECKING:
    from pathlib import Path

EXAMPLE = """\
name = "north-1"
data_centre = "north"
[listen]
callers = "127.0.0.1:8001"
operators = "127.0.0.1:8002"
inner = "[::1]:0"
[store]
url = "http://127.0.0.1:7000"
"""


def test_settings_are_parsed() -> None:
    assert parse(EXAMPLE, 'x') == DaemonSettings(
        'north-1',
        'north',
        '127.0.0.1:8001',
        '127.0.0.1:8002',
        '[::1]:0',
        'http://127.0.0.1:7000',
    )
    assert parse(EXAMPLE + '[limits]\nupload_memory_mib = 8', 'x').upload_memory_mib == 8


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('name = "north-1"', '', 'name: missing; must be a name'),
        ('"north-1"', '3', 'name (line 1): must be a name'),
        ('127.0.0.1:8001', 'any:8001', 'listen.callers (line 4): must be IP:PORT'),
        ('8001', '65536', 'listen.callers (line 4): must be IP:PORT'),
        ('8001', '8002', 'listen.operators (line 5): must be another address than callers'),
        ('callers =', 'calls =', 'listen.calls (line 4): unknown field'),
        ('http://', 'ftp://', 'store.url (line 8): must be http://IP:PORT'),
        ('[store]', '[stores]', 'stores (line 7): unknown field'),
        ('[store]\nurl', 'store', 'listen.store (line 7): unknown field'),
    ],
)
def test_faults_name_the_field_and_its_line(old: str, new: str, expected: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        parse(EXAMPLE.replace(old, new), 'file.toml')
    assert any(f'file.toml: {expected}' in str(fault) for fault in caught.value.exceptions)


def test_unreadable_files_raise_bad_input_errors(tmp_path: Path) -> None:
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe')
    for path in (tmp_path, tmp_path / 'absent', binary):
        with pytest.raises(BadInputError, match='file'):
            load(path)
