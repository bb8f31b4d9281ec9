"""Tests of the commands that run a stand-in."""

from __future__ import annotations

import http.client
import json
import subprocess
import sys

import pytest

COMMAND = [sys.executable, '-m', 'coltsfootstair', 'standin']
KINDS = {
    'store': ['store'],
    'backend-server': ['backend-server', '--name', 'b1', '--data-centre', 'lake'],
}


@pytest.mark.parametrize('kind', KINDS)
def test_standin_runs_until_terminated(kind: str) -> None:
    command = [*COMMAND, *KINDS[kind], '--listen', '127.0.0.1:0']
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        ready = json.loads(process.stderr.readline())
        connection = http.client.HTTPConnection(ready['address'])
        connection.request('GET', '/-/truth')
        assert connection.getresponse().status == 200
        process.terminate()
        assert process.wait() == 0
        process.stderr.read()
        connection.close()
    assert ready['event'] == 'ready'


@pytest.mark.parametrize(
    'options',
    [
        ['--listen', 'here:1'],
        ['--listen', '127.0.0.1:0', '--slots', '0'],
        ['--listen', '127.0.0.1:0', '--service-ms', 'nan'],
    ],
)
def test_bad_option_is_reported_on_one_line(options: list[str]) -> None:
    result = subprocess.run(
        [*COMMAND, *KINDS['backend-server'], *options], capture_output=True, text=True
    )
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1
    assert options[-2] in result.stderr
