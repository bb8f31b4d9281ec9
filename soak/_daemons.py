"""The daemons of a run: real processes, their signals, logs and readiness."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from soak._checker import Promise

if TYPE_CHECKING:
    from soak._bounds import Bounds
    from soak._checker import Truth
    from soak._fault_log import Calm

__all__ = ['Daemon', 'DaemonPorts', 'free_ports']

ROOT = Path(__file__).parents[1]
SETTINGS = """
node-name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
internal-port-range = [{ports.inner}, {ports.inner}]
bounds = {bounds}
[listen-addrs]
front = "127.0.0.1:{ports.callers}"
ready = "127.0.0.1:{ports.ready}"
[limits]
memory-mb = 300
[platform]
address = "127.0.0.1:{store}"
"""

RESTART_S = 0.5
"""How long after its end a process is started again, in seconds."""

QUESTION_S = 0.5
"""Seconds between two questions of the balancer, and its patience for an answer."""

MISSES = 2
"""Questions in a row without a 200 that take a daemon out of rotation."""

FIRST_PORT, FIRST_EPHEMERAL_PORT = 12_000, 32_768
"""Ports from which those of daemons are taken; the latter is Linux's usual first one of
connections that state none."""

KEPT_LINES = 4000
FAILURES = ('task failed', 'request failed inside the daemon', 'work of the keeper failed')
"""Log events by which a daemon says that it failed itself."""


class DaemonPorts(NamedTuple):
    """Where a daemon listens on loopback."""

    callers: int
    ready: int
    inner: int


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on, and that no connection is given by itself.

    A port of the ephemeral range could be taken by another connection while its daemon is
    down.
    """
    ports: list[int] = []
    source = random.SystemRandom()
    while len(ports) < count:
        port = source.randrange(FIRST_PORT, FIRST_EPHEMERAL_PORT)
        with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            if port not in ports:
                ports.append(port)
    return ports


class Daemon:
    """One VM: its process is started again after each end, as the platform does.

    :param command: the program and its arguments
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        store_port: int,
        folder: Path,
        bounds: Bounds,
        calm: Calm,
        truth: Truth,
        command: list[str],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.ports = DaemonPorts(*free_ports(3))
        self.in_rotation = False
        self.stopping = False
        self.log: deque[str] = deque(maxlen=KEPT_LINES)
        self._bounds = bounds
        self._calm = calm
        self._truth = truth
        self._command = command
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=data_centre,
                ports=self.ports,
                bounds=json.dumps(bounds.stated()),
                store=store_port,
            )
        )
        self._process: asyncio.subprocess.Process | None = None
        self._may_start = asyncio.Event()
        self._may_start.set()
        self._ended_by_us = False
        self._closing = False

    async def run(self) -> None:
        """Keep the process running until ``close``."""
        while not self._closing:
            await self._may_start.wait()
            self.stopping = self._ended_by_us = False
            process = self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._command,
                cwd=ROOT,
                env=os.environ | {'COLTSFOOTSTAIR_SETTINGS': str(self._settings)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            await self._read_log(process)
            status = await process.wait()
            self.in_rotation = False
            if not self._ended_by_us:
                tail = list(self.log)[-3:]
                self._truth.broken(Promise.STEADY, f'{self.name} ended: {status}, {tail}')
            await asyncio.sleep(RESTART_S)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            text = line.decode(errors='replace').rstrip()
            self.log.append(text)
            if any(f'"{event}"' in text for event in FAILURES) or 'Traceback' in text:
                self._truth.broken(Promise.STEADY, f'{self.name}: {text[:500]}')

    async def watch_readiness(self) -> None:
        """Ask as the balancer does, over a kept connection, until cancelled."""
        misses = 0
        while True:
            try:
                async with asyncio.timeout(QUESTION_S):
                    reader, writer = await asyncio.open_connection(
                        '127.0.0.1', self.ports.ready
                    )
            except (OSError, TimeoutError):
                misses += 1
            else:
                misses = await self._ask_until_it_ends(reader, writer, misses)
            if misses >= MISSES:
                self.in_rotation = False
            await asyncio.sleep(QUESTION_S)

    async def _ask_until_it_ends(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, misses: int
    ) -> int:
        """Ask on one connection; return how many questions in a row got no 200."""
        try:
            while misses < MISSES:
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                async with asyncio.timeout(QUESTION_S):
                    head = await reader.readuntil(b'\r\n\r\n')
                if b' 200 ' in head.partition(b'\r\n')[0]:
                    misses, self.in_rotation = 0, True
                else:
                    misses += 1
                await asyncio.sleep(QUESTION_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            misses += 1
        finally:
            writer.transport.abort()
        return misses

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, which this object has started."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self, down_s: float) -> None:
        """Kill the process, and let it start again later."""
        self._ended_by_us = True
        self._may_start.clear()
        self._calm.begin(self.name)
        self.signal(signal.SIGKILL)
        await asyncio.sleep(down_s)
        self._may_start.set()
        self._calm.end(self.name)

    async def stop(self) -> None:
        """Send a SIGTERM, and a SIGKILL once the grace is over."""
        process = self._process
        if process is None or self.stopping:
            return
        self._ended_by_us = self.stopping = True
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._bounds.grace_s):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    async def pause(self, for_s: float) -> None:
        """Freeze the process for some time."""
        self._calm.begin(self.name)
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)
        self._calm.end(self.name)

    async def close(self) -> None:
        """End the process for good."""
        self._closing = self._ended_by_us = True
        self._may_start.set()
        process = self._process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
