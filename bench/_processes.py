"""A deployment that runs as separate processes, with operators' changes and faults."""

from __future__ import annotations

import contextlib
import http.client
import json
import subprocess
import sys
import tempfile
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import tomli_w

from coltsfootstair.clock import SystemClock
from coltsfootstair.demo import (
    DaemonPlan,
    Intervention,
    InterventionKind,
    Plan,
    RunRecord,
    ServerPlan,
    ServerRecord,
    build_document,
)
from coltsfootstair.document import State, render
from coltsfootstair.load import Caller, Outcome, Request, Sample
from coltsfootstair.operators import Applied, OperatorsClient
from coltsfootstair.standin import BackendServerTruth, StoreTruth

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ['Processes']

ANY_PORT = '127.0.0.1:0'
START_TIMEOUT_S = 60.0
SERVED_TIMEOUT_S = 60.0
"""Longest wait until every key is served through every daemon, in seconds."""

STOP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
PROBE_KEY_COUNT = 40
CONCURRENT_START_COUNT = 3
"""Number of processes that are started at the same time."""


class _Process(NamedTuple):
    """A running process and the file that its log goes to."""

    popen: subprocess.Popen[bytes]
    log_path: Path


class Processes:
    """A store, backend servers and daemons, each in a process of its own.

    :param plan: the backend servers and daemons to start
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = SystemClock()
        self._folder = tempfile.TemporaryDirectory(prefix='coltsfootstair-bench-')
        self._process_by_name: dict[str, _Process] = {}
        self._ready_line_by_name: dict[str, dict[str, str]] = {}
        self._truth_by_killed_server: dict[str, BackendServerTruth] = {}
        self._interventions: list[Intervention] = []
        # Never set: only waited for, to sleep.
        self._pause = threading.Event()

    def __enter__(self) -> Processes:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        daemon_names = {daemon.name for daemon in self.plan.daemons}
        other_names = set(self._process_by_name) - daemon_names
        # Daemons stop first: they finish their requests, for which they need the others.
        for names in (daemon_names, other_names):
            self._stop(names)
        self._folder.cleanup()

    def start(self) -> None:
        """Start all processes and wait until keys are served through every daemon.

        :raises RuntimeError: if a process does not start, the document is refused, or a key
            is not served in time
        """
        self._start({'store': ['standin', 'store', '--listen', ANY_PORT]})
        self._start(
            {server.name: _make_server_arguments(server) for server in self.plan.servers}
        )
        self._start(
            {daemon.name: self._make_daemon_arguments(daemon) for daemon in self.plan.daemons}
        )
        addresses = {
            server.name: self._ready_line_by_name[server.name]['address']
            for server in self.plan.servers
        }
        self._document = build_document(self.plan, addresses)
        result = self._make_operators_client().apply(render(self._document), None, force=False)
        if not isinstance(result, Applied):
            raise RuntimeError(f"the daemon refused the operators' document: {result}")
        self._wait_until_served()

    def list_caller_addresses(self) -> list[str]:
        """Return the addresses of the daemons for callers."""
        return [
            self._ready_line_by_name[daemon.name]['callers'] for daemon in self.plan.daemons
        ]

    def get_address(self, name: str) -> str:
        """Return the address of a stand-in."""
        return self._ready_line_by_name[name]['address']

    def find_coordinator(self, server: str) -> str:
        """Return the name of the daemon that coordinates a backend server."""
        servers = self._make_operators_client().status()['backend_servers']
        return next(str(entry['coordinator']) for entry in servers if entry['name'] == server)

    def set_data_centre_state(self, name: str, state: State) -> None:
        """Take a data centre out or bring it back by an operators' change.

        :raises RuntimeError: if the daemon refuses the change
        """
        result = self._make_operators_client().set_data_centre(name, state, force=False)
        if not isinstance(result, Applied):
            raise RuntimeError(
                f'the daemon refused to change the state of a data centre: {result}'
            )
        kind = (
            InterventionKind.TAKEN_OUT if state is State.OUT else InterventionKind.BROUGHT_BACK
        )
        self._record_intervention(kind, name, self.plan.find_server_names(name))

    def set_fault(self, name: str, **faults: object) -> None:
        """Set faults of a backend server."""
        self._call(name, 'POST', '/-/fault', json.dumps(faults).encode())

    def slow_down(self, name: str, slow_ms: float) -> None:
        """Slow down a backend server, whose load reports do not show it.

        :param slow_ms: milliseconds added to each request
        """
        self.set_fault(name, slow_ms=slow_ms, load_report='lie')

    def kill_backend_server(self, name: str) -> None:
        """Kill a backend server, after reading its record of requests."""
        self._truth_by_killed_server[name] = self._read_truth(name)
        process = self._process_by_name[name]
        process.popen.kill()
        self._record_intervention(InterventionKind.LOST, name, frozenset({name}))
        process.popen.wait()

    def read_store_calls(self) -> StoreTruth:
        """Return the number of calls that the store has counted so far."""
        return msgspec.json.decode(self._call('store', 'GET', '/-/truth'), type=StoreTruth)

    def build_run_record(self, samples: Sequence[Sample], started_at: float) -> RunRecord:
        """Return what callers and backend servers have recorded since ``started_at``.

        :param started_at: monotonic seconds
        """
        ended_at = self.clock.monotonic()
        server_records = [
            ServerRecord(
                server,
                self._truth_by_killed_server.get(server.name) or self._read_truth(server.name),
            )
            for server in self._document.backend_servers
        ]
        return RunRecord(
            tuple(server_records),
            tuple(samples),
            tuple(self._interventions),
            self.plan.find_divided_services(),
            started_at,
            ended_at,
            self.plan.find_upload_services(),
        )

    def _start(self, arguments_by_name: dict[str, list[str]]) -> None:
        names = list(arguments_by_name)
        for first in range(0, len(names), CONCURRENT_START_COUNT):
            batch = names[first : first + CONCURRENT_START_COUNT]
            for name in batch:
                self._launch(name, arguments_by_name[name])
            for name in batch:
                self._ready_line_by_name[name] = self._wait_until_ready(name)

    def _launch(self, name: str, arguments: list[str]) -> None:
        log_path = Path(self._folder.name, f'{name}.log')
        command = [sys.executable, '-m', 'coltsfootstair', *arguments]
        with log_path.open('wb') as log_file:
            popen = subprocess.Popen(command, stdout=log_file, stderr=log_file)
        self._process_by_name[name] = _Process(popen, log_path)

    def _wait_until_ready(self, name: str) -> dict[str, str]:
        process = self._process_by_name[name]
        deadline = self.clock.monotonic() + START_TIMEOUT_S
        while self.clock.monotonic() < deadline and process.popen.poll() is None:
            for line in process.log_path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    entry: dict[str, Any] = json.loads(line)
                    if entry.get('event') == 'ready':
                        return entry
            self._pause.wait(POLL_INTERVAL_S)
        raise RuntimeError(
            f'{name} did not start; the end of its log: {process.log_path.read_text()[-500:]}'
        )

    def _stop(self, names: set[str]) -> None:
        processes = [
            self._process_by_name[name].popen
            for name in names
            if name in self._process_by_name
        ]
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _make_daemon_arguments(self, daemon: DaemonPlan) -> list[str]:
        settings = {
            'name': daemon.name,
            'data_centre': daemon.data_centre,
            'listen': dict.fromkeys(('callers', 'operators', 'inner'), ANY_PORT),
            'store': {'url': f'http://{self._ready_line_by_name["store"]["address"]}'},
        }
        path = Path(self._folder.name, f'{daemon.name}.toml')
        path.write_text(tomli_w.dumps(settings))
        return ['daemon', '--settings', str(path)]

    def _make_operators_client(self) -> OperatorsClient:
        return OperatorsClient(
            self._ready_line_by_name[self.plan.daemons[0].name]['operators']
        )

    def _record_intervention(
        self, kind: InterventionKind, subject: str, servers: frozenset[str]
    ) -> None:
        now = self.clock.monotonic()
        self._interventions.append(Intervention(kind, now, servers, f'{subject} {kind}'))

    def _read_truth(self, name: str) -> BackendServerTruth:
        return msgspec.json.decode(
            self._call(name, 'GET', '/-/truth'), type=BackendServerTruth
        )

    def _call(self, name: str, method: str, path: str, body: bytes = b'') -> bytes:
        connection = http.client.HTTPConnection(self._ready_line_by_name[name]['address'])
        with contextlib.closing(connection):
            connection.request(method, path, body)
            return connection.getresponse().read()

    def _wait_until_served(self) -> None:
        deadline = self.clock.monotonic() + SERVED_TIMEOUT_S
        caller = Caller(self.clock)
        unserved = [
            (daemon, service.name, f'key-{number}')
            for daemon in self.list_caller_addresses()
            for service in self.plan.services
            for number in range(PROBE_KEY_COUNT)
        ]
        while unserved:
            daemon, service, key = unserved[-1]
            request = Request(service, key, '', b'probe', len(b'probe'))
            answer = caller.send(daemon, request) if caller.connect(daemon) else None
            if answer is not None and answer.outcome is Outcome.COMPLETE:
                unserved.pop()
            elif self.clock.monotonic() > deadline:
                raise RuntimeError(
                    f'no answer for (daemon, service, key) {unserved[-1]}: {answer}'
                )
            else:
                self._pause.wait(POLL_INTERVAL_S)
        caller.close()


def _make_server_arguments(server: ServerPlan) -> list[str]:
    arguments = [
        'standin',
        'backend-server',
        *('--listen', ANY_PORT),
        *('--name', server.name),
        *('--data-centre', server.data_centre),
        *('--slots', str(server.slots)),
        *('--connections', str(server.connections)),
        *('--service-ms', str(server.service_ms)),
    ]
    return arguments if server.checks_grants else [*arguments, '--no-fencing']
