"""Runs the daemon program as processes, each with a link of its own to a store stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from soak._daemons import FAILURE_EVENTS, find_free_ports
from soak._proxy import LinkState, Proxy

if TYPE_CHECKING:
    from tests.coltsfootstair_platform.standin import StoreStandin

__all__ = ['Answer', 'Program', 'find_keeper', 'run_programs']

ROOT = Path(__file__).parents[2]
SETTINGS = """
node-name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
internal-port-range = [{inner}, {inner}]
bootstrap = {is_first_start}
bounds = ["grace-s=4", "drain-timeout-ms=2000"]
[listen-addrs]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[limits]
memory-mb = 300
[platform]
address = "127.0.0.1:{store}"
"""

START_TIMEOUT_S = 20.0
"""Time within which all programs must be ready, in seconds."""

KEPT_LINES_COUNT = 30
"""Log lines of each program that a failure shows."""

CALL_TIMEOUT_S = 3.0
"""Time after which a request counts as not answered, in seconds."""


class Answer(NamedTuple):
    """Answer of a program; the status is 0 if there was none."""

    status: int
    headers: dict[str, str]


class Program:
    """One daemon: its process, its log and its link to the store.

    :ivar failures: lines of all its logs that tell of a failure inside it, and ends of its
        process that nobody asked for
    :ivar started_at: when the present process was started, in seconds of the event loop
    :ivar versions: versions of the configuration that came into force, each with the time, in
        seconds of the event loop
    :ivar cpu_s: processor time of its ended processes, in seconds
    """

    def __init__(self, name: str, zone: str, link: Proxy, folder: Path) -> None:
        self.name = name
        self.link = link
        self.lines: list[str] = []
        self.failures: list[str] = []
        self.versions: list[tuple[float, int]] = []
        self.started_at = 0.0
        self.restart_count = 0
        self.cpu_s = 0.0
        self._folder = folder
        self._settings_path = folder / f'{name}.toml'
        self.callers, self.ready, self.inner = find_free_ports(3)
        self._zone = zone
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._is_end_expected = False

    async def start(self, *, is_first_start: bool = False) -> None:
        """Start the process."""
        self._settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self._zone,
                inner=self.inner,
                callers=self.callers,
                ready=self.ready,
                store=self.link.port,
                is_first_start=json.dumps(is_first_start),
            )
        )
        self._is_end_expected = False
        self.started_at = asyncio.get_running_loop().time()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'platform' / 'daemon.py'),
            env=os.environ
            | {
                'COLTSFOOTSTAIR_SETTINGS': str(self._settings_path),
                'PYTHONPATH': f'{ROOT / "src"}:{ROOT / "platform"}',
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=2**24,
        )
        self._reading = asyncio.create_task(self._read_log(self._process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            text = line.decode(errors='replace').rstrip()
            self.lines.append(text)
            if '"configuration in force"' in text:
                now = asyncio.get_running_loop().time()
                self.versions.append((now, json.loads(text)['version']))
            if 'Traceback' in text or any(f'"{event}"' in text for event in FAILURE_EVENTS):
                self.failures.append(f'{self.name}: {text[:400]}')
        status = await process.wait()
        if not self._is_end_expected:
            self.failures.append(f'{self.name} ended by itself with status {status}')

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def used_cpu_s(self) -> float:
        """Processor time of all processes of this daemon, in seconds."""
        if self._process is None or not self.is_running:
            return self.cpu_s
        fields = (
            Path(f'/proc/{self._process.pid}/stat').read_text().rpartition(') ')[2].split()
        )
        ticks = int(fields[11]) + int(fields[12])
        return self.cpu_s + ticks / os.sysconf('SC_CLK_TCK')

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait until the process has ended."""
        self._is_end_expected = True
        self.cpu_s = self.used_cpu_s
        process = self._process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
        if self._reading is not None:
            await self._reading
        self._process = None

    async def restart(self, number: signal.Signals) -> None:
        """End the process and start it again."""
        await self.end(number)
        self.restart_count += 1
        await self.start()

    async def call(self, host: str, path: str = '/x/a') -> Answer:
        """Send one lookup on a new connection."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._call(self.callers, host, path)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Answer(0, {})

    async def _call(self, port: int, host: str, path: str) -> Answer:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            request_id = f'{random.getrandbits(64):016x}'
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n'
                f'X-Request-Deadline: 2000\r\n\r\n'.encode()
            )
            first, *lines = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(':') for line in lines)
            }
            await reader.readexactly(int(headers['content-length']))
            return Answer(int(first.split(' ')[1]), headers)
        finally:
            writer.transport.abort()

    async def is_ready(self) -> bool:
        """Whether a load balancer would send callers to it."""
        try:
            async with asyncio.timeout(1.0):
                return (await self._call(self.ready, 'x', '/-/ready')).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def tail(self) -> str:
        """Return the last lines of the log, for failures."""
        return '\n'.join(line[:300] for line in self.lines[-KEPT_LINES_COUNT:])


def find_keeper(store: StoreStandin, programs: list[Program]) -> Program | None:
    """Return the daemon that holds the keeper lease by the store, if there is one."""
    lease: Any = store.get('coltsfootstair-keys', 'keeper') or {}
    return next((program for program in programs if program.name == lease.get('holder')), None)


@contextlib.asynccontextmanager
async def run_programs(
    count: int, store: StoreStandin, folder: Path
) -> AsyncIterator[list[Program]]:
    """Run daemons in two data centres until the block ends; they must be ready at its start.

    The logs are written to ``folder`` at the end.

    :param store: a store that is started and has a configuration
    """
    programs = []
    for number in range(1, count + 1):
        link = Proxy(store.port, random.Random(number))
        await link.start()
        zone = ('north', 'south')[number % 2]
        programs.append(Program(f'd{number}', zone, link, folder))
    try:
        for program in programs:
            await program.start(is_first_start=True)
        async with asyncio.timeout(START_TIMEOUT_S):
            for program in programs:
                while not await program.is_ready():
                    await asyncio.sleep(0.05)
        yield programs
    finally:
        for program in programs:
            program.link.set_state(LinkState.WHOLE)
        await asyncio.gather(*(program.end(signal.SIGKILL) for program in programs))
        for program in programs:
            program.link.stop()
            (folder / f'{program.name}.log').write_text('\n'.join(program.lines))
