"""Tests that a daemon's log explains a late, a refused and an unknown outcome."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from coltsfootstair.explain import explain, read_lines
from coltsfootstair.http1 import Address
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    StoreStandin,
    build_configuration,
    run_listeners,
)
from tests.gateway.harness import Caller, ReceivedAnswer, run_with_time_limit

ROOT = Path(__file__).parents[2]
SETTINGS = """
node-name = "{name}"
ip = "127.0.0.1"
zone = "north"
internal-port-range = [{inner}, {inner}]
bounds = ["grace-s=3"]
[listen-addrs]
front = "{front}"
ready = "127.0.0.1:{ready}"
[limits]
memory-mb = 300
[platform]
address = "127.0.0.1:{store}"
"""


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]


async def _wait_until_ready(port: int) -> None:
    while True:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET /-/ready HTTP/1.1\r\n\r\n')
            line = await reader.readline()
            writer.close()
            if b' 200 ' in line:
                return
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _run_daemon(tmp_path: Path, store: StoreStandin) -> AsyncIterator[Address]:
    """Run the platform's program as a process; its log is ``tmp_path/log``."""
    front, ready, inner = _find_free_ports(3)
    settings = tmp_path / 'node.toml'
    address = Address('127.0.0.1', front)
    settings.write_text(
        SETTINGS.format(name='d1', front=address, ready=ready, inner=inner, store=store.port)
    )
    with (tmp_path / 'log').open('wb') as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'platform' / 'daemon.py'),
            env=os.environ | {'COLTSFOOTSTAIR_SETTINGS': str(settings)},
            stdout=log,
        )
        try:
            async with asyncio.timeout(20.0):
                await _wait_until_ready(ready)
            await asyncio.sleep(0.5)
            yield address
        finally:
            process.terminate()
            await process.wait()


async def _call_gateway(address: Address, route: str, request_id: str) -> ReceivedAnswer:
    caller = Caller(*await asyncio.open_connection(address.host, address.port))
    caller.send(route, body=None if route == 'lookups' else b'x', X_Request_Id=request_id)
    answered = await caller.read_answer()
    caller.writer.close()
    return answered


async def _answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(0.6)
    writer.write(CALENDAR.build_answer(request))
    return True


async def _hang(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(30.0)
    return False


CALENDAR = ServerStandin('calendar-1', _answer_slowly)


@pytest.fixture
def log(tmp_path: Path) -> Path:
    """Return the log of a daemon after three requests.

    One is answered late, one ends with an unknown outcome, and one is refused.
    """

    async def work() -> list[int]:
        store, desk = StoreStandin(), ServerStandin('desk-1', _hang)
        async with run_listeners(store, CALENDAR, desk):
            await store.put('config', 'main', build_configuration())
            await store.put('servers', CALENDAR.name, CALENDAR.build_entry('calendar'))
            await store.put('servers', desk.name, desk.build_entry('desk'))
            async with _run_daemon(tmp_path, store) as address:
                statuses = [
                    (await _call_gateway(address, 'lookups', 'late')).status,
                    (await _call_gateway(address, 'bookings', 'unknown')).status,
                ]
                await store.delete('servers', desk.name)
                await asyncio.sleep(0.8)
                statuses.append((await _call_gateway(address, 'bookings', 'refused')).status)
                return statuses

    assert run_with_time_limit(work()) == [200, 504, 503]
    return tmp_path / 'log'


def test_each_cause_is_explained_from_the_log_alone(log: Path) -> None:
    lines = read_lines(log.read_text().splitlines())
    late = '\n'.join(explain('late', lines))
    assert 'answered late' in late
    assert 'calendar-1 took 6' in late
    unknown = '\n'.join(explain('unknown', lines))
    assert 'sent server=desk-1' in unknown
    assert 'ran: unknown' in unknown
    refused = '\n'.join(explain('refused', lines))
    assert 'desk has no server' in refused
    assert 'ran: no' in refused
    assert explain('never seen', lines) == []


def test_the_command_prints_the_explanation_or_the_error(log: Path) -> None:
    def run(*args: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, '-m', 'coltsfootstair', 'explain', *args]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    found = run('late', str(log))
    assert found.returncode == 0
    assert 'calendar-1 took' in found.stdout
    missing = run('nobody', str(log))
    assert missing.returncode == 1
    assert 'nobody' in missing.stderr
    unreadable = run('late', str(log.parent / 'none'))
    assert unreadable.returncode == 2
    assert 'readable' in unreadable.stderr


def test_lines_of_other_programs_are_ignored() -> None:
    lines = read_lines(
        [
            'no json at all',
            '{"event": "no time"}',
            '  1.5 vm-1 {"event": "ready", "timestamp": "2026-01-01T00:00:00Z"}',
            '{broken',
        ]
    )
    assert [line.event for line in lines] == ['ready']
