"""Tests of the operators' commands against a fake daemon over HTTP."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.document.examples import EXAMPLE
from tests.operators.fakes import FakeDaemon, serve_daemon

from coltsfootstair.cli import app
from coltsfootstair.document import parse, render


@pytest.fixture
def address() -> Iterator[str]:
    with serve_daemon(FakeDaemon()) as served_address:
        yield served_address


def run_command(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str, list[str]]:
    code = 0
    try:
        app(list(words))
    except SystemExit as exit_info:
        code = int(exit_info.code or 0)
    captured = capsys.readouterr()
    return code, captured.out, captured.err.splitlines()


@pytest.mark.parametrize(
    ('words', 'code', 'output', 'error'),
    [
        ('data-centre take-out north', 0, 'accepted as version 2', ''),
        ('data-centre bring-back north', 0, 'nothing to change in version 1', ''),
        ('data-centre take-out nrth', 2, '', 'document: data centre: "nrth" is unknown'),
        ('backend-server drain slots-1', 0, 'accepted as version 2', ''),
        ('backend-server restore slots-1', 0, 'nothing to change in version 1', ''),
        ('backend-server drain a/b', 2, '', 'document: backend server: "a/b" is unknown'),
        ('status', 0, 'north-1 refused 7: 304', ''),
        ('timeline', 0, 'request refused', ''),
        ('config show', 0, '# version 1\n[[data_centres]]', ''),
    ],
)  # fmt: skip
def test_command_exits_with_code_and_prints_result(
    words: str,
    code: int,
    output: str,
    error: str,
    address: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    result = run_command(capsys, *words.split(), '--daemon', address)
    assert result[0] == code
    assert output in result[1]
    assert [line[: len(error)] for line in result[2]] == ([error] if error else [])


def test_dangerous_change_requires_force(
    address: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(capsys, 'data-centre', 'take-out', 'north', '--daemon', address)[0] == 0
    code, _, errors = run_command(
        capsys, 'data-centre', 'take-out', 'south', '--daemon', address
    )
    assert (code, len(errors)) == (1, 1)
    assert (
        'dangerous change needs --force: service slots: its last data centre would be out'
        in errors[0]
    )
    forced = run_command(
        capsys, 'data-centre', 'take-out', 'south', '--force', '--daemon', address
    )
    assert forced[0] == 0


def test_apply_prints_the_version_or_the_conflict(
    address: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'document.toml'
    path.write_text(EXAMPLE.replace('110', '100'))
    apply = ('config', 'apply', str(path), '--daemon', address)
    code, output, _ = run_command(capsys, *apply, '--base', '1')
    assert (code, output.split()[-1]) == (0, '2')
    assert run_command(capsys, *apply)[1].split()[-1] == '2'
    code, _, errors = run_command(capsys, *apply, '--base', '1')
    assert (code, len(errors)) == (1, 1)
    assert 'conflict: version 2 came first' in errors[0]
    path.write_text(EXAMPLE.replace('slots = 4', 'slots = 0'))
    code, _, errors = run_command(capsys, *apply)
    assert code == 2
    assert errors[0].startswith(f'{path}: backend_servers[1].slots (line 18): must be')


def test_json_output_is_valid(address: str, capsys: pytest.CaptureFixture[str]) -> None:
    _, output, errors = run_command(capsys, 'status', '--json', '--daemon', address)
    assert json.loads(output)['daemons'][0]['version'] == 1
    assert errors == []
    events = json.loads(run_command(capsys, 'timeline', '--json', '--daemon', address)[1])
    assert events[1]['fields']['request_id'] == 'r-1'


def test_shown_document_parses_to_the_same(
    address: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = run_command(capsys, 'config', 'show', '--daemon', address)[1]
    assert render(parse(text, 'shown')) == render(parse(EXAMPLE, 'example'))


@pytest.mark.parametrize(
    ('address', 'code', 'error'),
    [
        ('127.0.0.1:1', 1, 'daemon 127.0.0.1:1 cannot be reached'),
        (
            'localhost:80',
            2,
            'command line: --daemon: "localhost:80" is not allowed; must be IP:PORT',
        ),
    ],
)
def test_unusable_address_is_reported_on_one_line(
    address: str, code: int, error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    result = run_command(capsys, 'status', '--daemon', address)
    assert (result[0], len(result[2])) == (code, 1)
    assert result[2][0].startswith(error)
