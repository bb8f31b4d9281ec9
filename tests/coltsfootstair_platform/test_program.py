"""Tests of the daemon program: signals, and changes of the settings while it runs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.gateway import Gateway
from coltsfootstair.http1 import StatusServer
from coltsfootstair_platform import _program
from tests.coltsfootstair_platform.standin import (
    StoreStandin,
    build_configuration,
    run_listeners,
)
from tests.gateway.harness import run_with_time_limit

ROOT = Path(__file__).parents[2]
PROGRAM = str(ROOT / 'platform' / 'daemon.py')
SETTINGS = """
node-name = "d1"
ip = "127.0.0.1"
zone = "north"
internal-port-range = [0, 0]
bounds = ["grace-s={grace}"]
[listen-addrs]
front = "127.0.0.1:0"
[limits]
memory-mb = 300
[platform]
address = "127.0.0.1:{store}"
"""


def test_a_reload_while_the_program_starts_does_not_end_it(tmp_path: Path) -> None:
    """SIGHUP ended the process before the event loop had a handler (seed 127 of the soak)."""
    path = tmp_path / 'node.toml'
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, PROGRAM],
        env=os.environ | {'COLTSFOOTSTAIR_SETTINGS': str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    # Opening the pipe succeeds once the program reads its settings: the imports are done, and
    # the event loop does not run yet.
    with path.open('w') as settings:
        process.send_signal(signal.SIGHUP)
        settings.write('no settings')
    _, errors = process.communicate(timeout=20.0)
    assert process.returncode == 2
    assert errors.count('\n') == 1


async def _read_log_until(
    process: asyncio.subprocess.Process, event: str
) -> dict[str, object]:
    """Return the first line of the log with this event."""
    assert process.stdout is not None
    async for line in process.stdout:
        entry = json.loads(line)
        if entry['event'] == event:
            return dict(entry)
    raise AssertionError(f'the log ended without {event!r}')


def test_a_reload_applies_valid_settings_and_refuses_invalid_ones(tmp_path: Path) -> None:
    path = tmp_path / 'node.toml'

    async def work() -> tuple[dict[str, object], dict[str, object], int]:
        store = StoreStandin()
        async with run_listeners(store):
            await store.put('config', 'main', build_configuration())
            path.write_text(SETTINGS.format(grace=5, store=store.port))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                PROGRAM,
                env=os.environ | {'COLTSFOOTSTAIR_SETTINGS': str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            await _read_log_until(process, 'ready')
            path.write_text(SETTINGS.format(grace=3, store=store.port))
            process.send_signal(signal.SIGHUP)
            reloaded = await _read_log_until(process, 'settings reloaded')
            path.write_text('no settings')
            process.send_signal(signal.SIGHUP)
            refused = await _read_log_until(process, 'settings refused')
            process.terminate()
            await _read_log_until(process, 'stopped')
            return reloaded, refused, await process.wait()

    reloaded, refused, status = run_with_time_limit(work())
    assert reloaded['changed'] == ['grace_s']
    assert refused['file'] == str(path)
    assert status == 0


@pytest.mark.parametrize(('given_up_task', 'status'), [(None, 0), ('keeper', 1)])
def test_a_daemon_that_gave_up_a_task_ends_with_status_1(
    given_up_task: str | None, status: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS.format(grace=5, store=1))
    monkeypatch.setenv('COLTSFOOTSTAIR_SETTINGS', str(path))
    monkeypatch.setattr(_program, 'configure', lambda **_fields: None)
    monkeypatch.setattr(_program, 'DroppingStream', lambda _descriptor: None)

    async def run_gateway(gateway: Gateway) -> None:
        gateway.given_up_task = given_up_task

    monkeypatch.setattr(Gateway, 'run', run_gateway)
    assert _program.main() == status


def test_open_status_connections_cause_no_error_when_the_server_closes() -> None:
    """Asyncio printed a traceback for each open load balancer connection at daemon exit."""
    loop_errors: list[dict[str, object]] = []

    async def answer_status(_: bytes) -> tuple[int, bytes]:
        return 200, b''

    async def work() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: loop_errors.append(context))
        server = StatusServer(answer_status, SystemClock())
        await server.open('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        server.close()

    asyncio.run(work())
    assert loop_errors == []
