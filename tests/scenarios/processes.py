"""Starts stand-ins and daemons as processes of their own, for scenarios and the bench."""

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
END_TIMEOUT_S = 20.0
POLL_S = 0.02


class Answer(NamedTuple):
    """An HTTP answer, read whole; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body's JSON."""
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
    check: Callable[[], bool], what: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until ``check`` holds; whatever it raises on the way counts as not yet."""
    give_up = time.monotonic() + timeout_s
    pause = threading.Event()
    while time.monotonic() < give_up:
        with contextlib.suppress(OSError, ValueError, KeyError, http.client.HTTPException):
            if check():
                return
        pause.wait(POLL_S)
    raise TimeoutError(f'not within {timeout_s} s: {what}')


class Process:
    """One ``coltsfootstair`` process, and the JSON lines that it logs."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, '-m', 'coltsfootstair', *arguments]
        root = Path(__file__).parents[2]
        environment = {**os.environ, 'PYTHONPATH': str(root / 'src')}
        self.lines: list[str] = []
        self.ready: dict[str, Any] = {}
        self._is_ready = threading.Event()
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
        """Wait for the line that says ready, and return it."""
        if not self._is_ready.wait(READY_TIMEOUT_S) or not self.ready:
            raise TimeoutError('not ready: ' + '\n'.join(self.lines[-20:]))
        return self.ready

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, which this object has started."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the end and return the exit status."""
        return self._process.wait(timeout_s)

    def stop(self) -> None:
        """End the process, at once if it has not ended yet."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(END_TIMEOUT_S)

    def _read(self, stream: IO[str]) -> None:
        for line in stream:
            self.lines.append(line.rstrip())
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get('event') == 'ready':
                    self.ready = event
                    self._is_ready.set()
        self._is_ready.set()


class System:
    """A store, backend servers and daemons, all processes of their own on loopback."""

    def __init__(self) -> None:
        self.process_by_name: dict[str, Process] = {}
        self.address_by_backend_server: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='coltsfootstair-')
        self.store_address = ''

    def __enter__(self) -> System:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.process_by_name.values():
            process.stop()
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
        """Start a daemon; ``extra`` is added to its settings."""
        settings = Path(self._folder.name) / f'{name}.toml'
        settings.write_text(
            f"name = '{name}'\ndata_centre = '{data_centre}'\n"
            "[listen]\ncallers = '127.0.0.1:0'\noperators = '127.0.0.1:0'\n"
            f"inner = '{inner}'\n[store]\nurl = 'http://{self.store_address}'\n{extra}"
        )
        self._start(name, 'daemon', '--settings', str(settings))

    def restart_daemon(self, name: str) -> None:
        """Start a daemon that has ended with the settings that it had."""
        settings = Path(self._folder.name) / f'{name}.toml'
        self._start(name, 'daemon', '--settings', str(settings))

    def wait_ready(self) -> None:
        """Wait until all processes serve."""
        for name, process in self.process_by_name.items():
            ready = process.wait_ready()
            if 'callers' not in ready and name != 'store':
                self.address_by_backend_server[name] = ready['address']

    def get_callers_address(self, daemon: str) -> str:
        """Return a daemon's address for callers."""
        return str(self.process_by_name[daemon].wait_ready()['callers'])

    def get_operators_address(self, daemon: str) -> str:
        """Return a daemon's address for operators."""
        return str(self.process_by_name[daemon].wait_ready()['operators'])

    def read_truth(self, name: str) -> Any:
        """Return what a stand-in says of itself."""
        return call(self._standin(name), 'GET', '/-/truth').json()

    def set_fault(self, name: str, **faults: object) -> None:
        """Switch faults of a stand-in."""
        body = json.dumps(faults).encode()
        answer = call(self._standin(name), 'POST', '/-/fault', body)
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

    def run_command(self, *arguments: str, expect: int = 0) -> str:
        """Run a command to its end and return what it printed."""
        done = self.run_unchecked(*arguments)
        assert done.returncode == expect, (arguments, done)
        return done.stdout

    def run_unchecked(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command to its end."""
        root = Path(__file__).parents[2]
        return subprocess.run(
            [sys.executable, '-m', 'coltsfootstair', *arguments],
            capture_output=True,
            text=True,
            timeout=END_TIMEOUT_S * 2,
            check=False,
            env={**os.environ, 'PYTHONPATH': str(root / 'src')},
        )

    def wait_served(self, daemons: list[str], requests: list[tuple[str, str]]) -> None:
        """Wait until each daemon answers a GET of each (path, key)."""
        for daemon in daemons:
            for path, key in requests:
                self._wait_answered(daemon, path, key)

    def _wait_answered(self, daemon: str, path: str, key: str) -> None:
        wait_until(lambda: self.get(daemon, path, key).status == 200, path)

    def get(self, daemon: str, path: str, key: str = '') -> Answer:
        """Send a GET through a daemon."""
        headers = {'Coltsfootstair-Key': key} if key else {}
        return call(self.get_callers_address(daemon), 'GET', path, headers=headers)

    def _standin(self, name: str) -> str:
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
    """Write an operators' document.

    :param services: (name, divided by key, kind)
    :param backend_servers: (name, service, data centre, address)
    """
    lines: list[str] = []
    for name in data_centres:
        lines += ['[[data_centres]]', f"name = '{name}'"]
    for name, divided, kind in services:
        lines += ['[[services]]', f"name = '{name}'", f"kind = '{kind}'"]
        lines += [f'divided_by_key = {str(divided).lower()}', f'data_centres = {data_centres}']
    for name, service, data_centre, address in backend_servers:
        lines += ['[[backend_servers]]', f"name = '{name}'", f"service = '{service}'"]
        lines += [f"data_centre = '{data_centre}'", f"address = '{address}'"]
        lines += [f'slots = {slots}', 'connections = 110']
        lines += [f'checks_grants = {str(checks_grants).lower()}']
    return '\n'.join(lines) + '\n'
