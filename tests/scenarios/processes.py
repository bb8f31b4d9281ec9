"""Starts stand-ins and daemons as separate processes, for scenarios and benchmarks."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

__all__ = ['Answer', 'Process', 'System', 'build_document_text', 'call', 'wait_until']

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class Answer(NamedTuple):
    """An HTTP answer with its whole body; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request and read its answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    finally:
        connection.close()


def wait_until(
    check: Callable[[], bool], description: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until ``check`` returns true.

    Errors of connections and of missing or malformed answers count as false.

    :param description: what is waited for
    :raises TimeoutError: it did not return true in time
    """
    deadline = time.monotonic() + timeout_s
    pause = threading.Event()
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError, KeyError, http.client.HTTPException):
            if check():
                return
        pause.wait(POLL_INTERVAL_S)
    raise TimeoutError(f'not within {timeout_s} s: {description}')


class Process:
    """One ``coltsfootstair`` process, and the JSON lines that it logs."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, '-m', 'coltsfootstair', *arguments]
        root = Path(__file__).parents[2]
        environment = {**os.environ, 'PYTHONPATH': str(root / 'src')}
        self.lines: list[str] = []
        self.ready_line: dict[str, Any] = {}
        self._is_ready_or_ended = threading.Event()
        self._process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environment
        )
        assert self._process.stderr is not None
        reader = threading.Thread(target=self._read, args=(self._process.stderr,), daemon=True)
        reader.start()

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def wait_ready(self) -> dict[str, Any]:
        """Wait until the process logs that it is ready, and return this log line.

        :raises TimeoutError: it did not become ready in time, or ended before
        """
        if not self._is_ready_or_ended.wait(READY_TIMEOUT_S) or not self.ready_line:
            raise TimeoutError(
                'the process is not ready; the end of its log: ' + '\n'.join(self.lines[-20:])
            )
        return self.ready_line

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for the end of the process, and return its exit status."""
        return self._process.wait(timeout_s)

    def kill_if_running(self) -> None:
        """Kill the process if it is still running."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(EXIT_TIMEOUT_S)

    def _read(self, stream: IO[str]) -> None:
        for line in stream:
            self.lines.append(line.rstrip())
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get('event') == 'ready':
                    self.ready_line = event
                    self._is_ready_or_ended.set()
        self._is_ready_or_ended.set()


class System:
    """A store, backend servers and daemons, each a process that listens on loopback."""

    def __init__(self) -> None:
        self.process_by_name: dict[str, Process] = {}
        self.address_by_backend_server: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='coltsfootstair-')
        self.store_address = ''

    def __enter__(self) -> System:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.process_by_name.values():
            process.kill_if_running()
        self._folder.cleanup()

    def start_store(self, *options: str) -> None:
        """Start the platform's store."""
        process = self._start('store', 'standin', 'store', '--listen', '127.0.0.1:0', *options)
        self.store_address = process.wait_ready()['address']

    def start_backend_server(
        self, name: str, data_centre: str, *options: str, listen: str = '127.0.0.1:0'
    ) -> None:
        """Start a backend server."""
        command = ['standin', 'backend-server', '--listen', listen, '--name', name]
        self._start(name, *command, '--data-centre', data_centre, *options)

    def start_daemon(
        self, name: str, data_centre: str, *, extra: str = '', inner: str = '127.0.0.1:0'
    ) -> None:
        """Start a daemon.

        :param extra: TOML that is appended to its settings
        :param inner: address for other daemons
        """
        settings = Path(self._folder.name) / f'{name}.toml'
        settings.write_text(
            f"name = '{name}'\ndata_centre = '{data_centre}'\n"
            "[listen]\ncallers = '127.0.0.1:0'\noperators = '127.0.0.1:0'\n"
            f"inner = '{inner}'\n[store]\nurl = 'http://{self.store_address}'\n{extra}"
        )
        self._start(name, 'daemon', '--settings', str(settings))

    def restart_daemon(self, name: str) -> None:
        """Start a daemon that has ended again, with the same settings."""
        settings = Path(self._folder.name) / f'{name}.toml'
        self._start(name, 'daemon', '--settings', str(settings))

    def wait_ready(self) -> None:
        """Wait until all processes are ready."""
        for name, process in self.process_by_name.items():
            ready_line = process.wait_ready()
            # Neither a daemon nor the store, so a backend server.
            if 'callers' not in ready_line and name != 'store':
                self.address_by_backend_server[name] = ready_line['address']

    def get_callers_address(self, daemon: str) -> str:
        """Return a daemon's address for callers."""
        return str(self.process_by_name[daemon].wait_ready()['callers'])

    def get_operators_address(self, daemon: str) -> str:
        """Return a daemon's address for operators."""
        return str(self.process_by_name[daemon].wait_ready()['operators'])

    def read_truth(self, name: str) -> Any:
        """Return what a stand-in has recorded."""
        return call(self._get_standin_address(name), 'GET', '/-/truth').json()

    def set_fault(self, name: str, **faults: object) -> None:
        """Change the injected faults of a stand-in."""
        body = json.dumps(faults).encode()
        answer = call(self._get_standin_address(name), 'POST', '/-/fault', body)
        assert answer.status == 200, answer

    def apply_document(self, daemon: str, text: str) -> None:
        """Apply an operators' document through the command line."""
        path = Path(self._folder.name) / 'document.toml'
        path.write_text(text)
        self.run_command(
            'config',
            'apply',
            str(path),
            '--force',
            '--daemon',
            self.get_operators_address(daemon),
        )

    def run_command(self, *arguments: str, expected_status: int = 0) -> str:
        """Run a command to its end, check its exit status, and return what it printed."""
        completed = self.run_unchecked(*arguments)
        assert completed.returncode == expected_status, (arguments, completed)
        return completed.stdout

    def run_unchecked(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command to its end, without checking its exit status."""
        root = Path(__file__).parents[2]
        return subprocess.run(
            [sys.executable, '-m', 'coltsfootstair', *arguments],
            capture_output=True,
            text=True,
            timeout=EXIT_TIMEOUT_S * 2,
            check=False,
            env={**os.environ, 'PYTHONPATH': str(root / 'src')},
        )

    def wait_until_served(self, daemons: list[str], requests: list[tuple[str, str]]) -> None:
        """Wait until each daemon answers a GET of each (path, key) with status 200."""
        for daemon in daemons:
            for path, key in requests:
                self._wait_until_answered(daemon, path, key)

    def _wait_until_answered(self, daemon: str, path: str, key: str) -> None:
        wait_until(lambda: self.get(daemon, path, key).status == 200, path)

    def get(self, daemon: str, path: str, key: str = '') -> Answer:
        """Send a GET through a daemon."""
        headers = {'Coltsfootstair-Key': key} if key else {}
        return call(self.get_callers_address(daemon), 'GET', path, headers=headers)

    def _get_standin_address(self, name: str) -> str:
        return self.store_address if name == 'store' else self.address_by_backend_server[name]

    def _start(self, name: str, *arguments: str) -> Process:
        process = Process(*arguments)
        self.process_by_name[name] = process
        return process


def build_document_text(
    data_centres: list[str],
    services: list[tuple[str, bool, str]],
    backend_servers: Iterator[tuple[str, str, str, str]] | list[tuple[str, str, str, str]],
    *,
    checks_grants: bool = True,
    slots: int = 4,
) -> str:
    """Return the text of an operators' document.

    :param services: (name, divided by key, kind)
    :param backend_servers: (name, service, data centre, address)
    """
    lines: list[str] = []
    for name in data_centres:
        lines += ['[[data_centres]]', f"name = '{name}'"]
    for name, is_divided, kind in services:
        lines += ['[[services]]', f"name = '{name}'", f"kind = '{kind}'"]
        lines += [
            f'divided_by_key = {str(is_divided).lower()}',
            f'data_centres = {data_centres}',
        ]
    for name, service, data_centre, address in backend_servers:
        lines += ['[[backend_servers]]', f"name = '{name}'", f"service = '{service}'"]
        lines += [f"data_centre = '{data_centre}'", f"address = '{address}'"]
        lines += [f'slots = {slots}', 'connections = 110']
        lines += [f'checks_grants = {str(checks_grants).lower()}']
    return '\n'.join(lines) + '\n'
