"""The daemons of a run: processes, the signals sent to them, their logs and readiness."""

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
from soak._program import INJECTED, SIGNAL_BY_TASK

if TYPE_CHECKING:
    from soak._bounds import Bounds
    from soak._checker import PromiseChecker
    from soak._fault_log import FaultLog

__all__ = ['Daemon', 'DaemonPorts', 'find_free_ports']

ROOT = Path(__file__).parents[1]
SETTINGS_TEMPLATE = """
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

RESTART_DELAY_S = 0.5
"""Time between the end of a process and its restart."""

PROBE_INTERVAL_S = 0.5
"""Time between two readiness probes of the load balancer, and the timeout of each."""

STARTING_S = 1.0
"""Time after the start of a process in which SIGHUP may find no handler, in seconds."""

TASK_RECOVERY_S = 6.0
"""Time after which a task that has failed must have worked again, in seconds."""

RECOVERING_TASKS = ('follower of ', 'keeper', 'expiry of ')
"""Beginnings of the names of tasks that all daemons run for as long as they live."""

FAILED_PROBES_COUNT = 2
"""Consecutive probes not answered with 200 after which a daemon leaves the rotation."""

FIRST_PORT, FIRST_EPHEMERAL_PORT = 12_000, 32_768
"""First port for daemons, and the first port of Linux's default ephemeral range, below which
their ports are chosen; ports of that range are given to outgoing connections."""

KEPT_LOG_LINES_COUNT = 4000
"""Log lines kept of each daemon."""

FAILURE_EVENTS = (
    'task failed',
    'request failed inside the daemon',
    'work of the keeper failed',
)
"""Log events that report a failure inside a daemon."""


class DaemonPorts(NamedTuple):
    """Loopback ports that a daemon listens on."""

    callers: int
    ready: int
    inner: int


def find_free_ports(count: int) -> list[int]:
    """Return ports below the ephemeral range that no process listens on.

    A port of the ephemeral range could be given to an outgoing connection while its daemon
    is down.
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
    """A VM with a daemon whose process is restarted whenever it ends, as by the platform.

    :param store_port: the loopback port through which the daemon reaches the store
    :param folder: where the settings file is written
    :param command: arguments of the Python interpreter: the program and its arguments
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        ports: DaemonPorts,
        store_port: int,
        folder: Path,
        bounds: Bounds,
        fault_log: FaultLog,
        checker: PromiseChecker,
        command: list[str],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.ports = ports
        self.is_in_rotation = False
        self.is_stopping = False
        self.start_count = 0
        self.log_lines: deque[str] = deque(maxlen=KEPT_LOG_LINES_COUNT)
        self._bounds = bounds
        self._fault_log = fault_log
        self._checker = checker
        self._command = command
        self._settings_path = folder / f'{name}.toml'
        self._settings_path.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                zone=data_centre,
                ports=self.ports,
                bounds=json.dumps(bounds.format_settings()),
                store=store_port,
            )
        )
        self._process: asyncio.subprocess.Process | None = None
        self._may_start = asyncio.Event()
        self._may_start.set()
        self._is_end_expected = False
        self._is_closing = False
        self._started_at = 0.0
        self._failed_tasks: set[str] = set()
        self._checks: set[asyncio.Task[None]] = set()

    async def keep_running(self) -> None:
        """Start the process, and restart it whenever it ends, until ``close`` is called."""
        while not self._is_closing:
            await self._may_start.wait()
            self.is_stopping = self._is_end_expected = False
            self.start_count += 1
            self._failed_tasks.clear()
            self._started_at = asyncio.get_running_loop().time()
            process = self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._command,
                cwd=ROOT,
                env=os.environ | {'COLTSFOOTSTAIR_SETTINGS': str(self._settings_path)},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            await self._read_log(process)
            status = await process.wait()
            self.is_in_rotation = False
            if not self._is_end_expected:
                tail = list(self.log_lines)[-3:]
                self._checker.report_violation(
                    Promise.NO_DAEMON_FAILURE,
                    f'{self.name} ended with status {status}: {tail}',
                )
            await asyncio.sleep(RESTART_DELAY_S)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            text = line.decode(errors='replace').rstrip()
            self.log_lines.append(text)
            if INJECTED in text:
                self._expect_recovery(json.loads(text).get('task', ''))
                continue
            if '"task works again"' in text:
                self._failed_tasks.discard(json.loads(text)['task'])
            if any(f'"{event}"' in text for event in FAILURE_EVENTS) or 'Traceback' in text:
                self._checker.report_violation(
                    Promise.NO_DAEMON_FAILURE, f'{self.name}: {text[:500]}'
                )

    def _expect_recovery(self, task: str) -> None:
        """Report a violation if a task that has failed doesn't work again in time."""
        if not task.startswith(RECOVERING_TASKS):
            return
        self._failed_tasks.add(task)
        check = asyncio.ensure_future(self._check_recovery(task, self.start_count))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check_recovery(self, task: str, start_count: int) -> None:
        await asyncio.sleep(TASK_RECOVERY_S)
        while not self._fault_log.is_fault_free(self.name):
            await asyncio.sleep(PROBE_INTERVAL_S)
        is_same_process = self.start_count == start_count and not self._is_end_expected
        if is_same_process and task in self._failed_tasks:
            self._checker.report_violation(
                Promise.NO_DAEMON_FAILURE,
                f'{self.name}: {task} does not work {TASK_RECOVERY_S} s after it failed',
            )

    async def probe_readiness(self) -> None:
        """Probe readiness over persistent connections, as the load balancer does.

        Run until cancelled.
        """
        failed_count = 0
        while True:
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    reader, writer = await asyncio.open_connection(
                        '127.0.0.1', self.ports.ready
                    )
            except (OSError, TimeoutError):
                failed_count += 1
            else:
                failed_count = await self._probe_over_connection(reader, writer, failed_count)
            if failed_count >= FAILED_PROBES_COUNT:
                self.is_in_rotation = False
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe_over_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, failed_count: int
    ) -> int:
        """Probe over one connection until it fails.

        :return: number of consecutive probes that were not answered with 200
        """
        try:
            while failed_count < FAILED_PROBES_COUNT:
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    head = await reader.readuntil(b'\r\n\r\n')
                if b' 200 ' in head.partition(b'\r\n')[0]:
                    failed_count, self.is_in_rotation = 0, True
                else:
                    failed_count += 1
                await asyncio.sleep(PROBE_INTERVAL_S)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            failed_count += 1
        finally:
            writer.transport.abort()
        return failed_count

    def reload(self) -> None:
        """Send a SIGHUP, unless the interpreter may not run the program's first line yet."""
        if asyncio.get_running_loop().time() - self._started_at > STARTING_S:
            self.send_signal(signal.SIGHUP)

    def end_task(self, task: str) -> None:
        """Let a long-lived task fail, if the daemon is ready and thus has the hook."""
        if self.is_in_rotation and not self.is_stopping:
            self.send_signal(SIGNAL_BY_TASK[task])

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self, down_s: float) -> None:
        """Kill the process and do not restart it for ``down_s`` seconds."""
        self._is_end_expected = True
        self._may_start.clear()
        self._fault_log.record_start(self.name)
        self.send_signal(signal.SIGKILL)
        await asyncio.sleep(down_s)
        self._may_start.set()
        self._fault_log.record_end(self.name)

    async def stop(self) -> None:
        """Send a SIGTERM, and a SIGKILL if the process runs beyond the grace period."""
        process = self._process
        if process is None or self.is_stopping:
            return
        self._is_end_expected = self.is_stopping = True
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._bounds.grace_s):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    async def pause(self, duration_s: float) -> None:
        """Suspend the process for ``duration_s`` seconds."""
        self._fault_log.record_start(self.name)
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.send_signal(signal.SIGCONT)
        self._fault_log.record_end(self.name, is_thaw_or_heal=True)

    async def close(self) -> None:
        """Kill the process and do not restart it."""
        for check in self._checks:
            check.cancel()
        self._is_closing = self._is_end_expected = True
        self._may_start.set()
        process = self._process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
