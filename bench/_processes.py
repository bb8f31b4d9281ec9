"""Starts a deployment as processes of their own, and does things to it."""

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
STARTED_WITHIN_S = 60.0
SERVED_WITHIN_S = 60.0
ENDED_WITHIN_S = 60.0
POLL_S = 0.05
PROBE_KEYS = 40
STARTED_AT_ONCE = 3


class _Process(NamedTuple):
    """A process, and the file that takes its log."""

    running: subprocess.Popen[bytes]
    log: Path


class Processes:
    """A store, backend servers and daemons; each is a process."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = SystemClock()
        self._folder = tempfile.TemporaryDirectory(prefix='coltsfootstair-bench-')
        self._process_by_name: dict[str, _Process] = {}
        self._ready_by_name: dict[str, dict[str, str]] = {}
        self._truth_by_lost: dict[str, BackendServerTruth] = {}
        self._interventions: list[Intervention] = []
        self._pause = threading.Event()

    def __enter__(self) -> Processes:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        daemons = {each.name for each in self.plan.daemons}
        others = set(self._process_by_name) - daemons
        for names in (daemons, others):
            self._end(names)
        self._folder.cleanup()

    def start(self) -> None:
        """Start everything, and wait until keys are served through every daemon."""
        self._start({'store': ['standin', 'store', '--listen', ANY_PORT]})
        self._start({s.name: _server_options(s) for s in self.plan.servers})
        self._start({each.name: self._daemon_options(each) for each in self.plan.daemons})
        addresses = {s.name: self._ready_by_name[s.name]['address'] for s in self.plan.servers}
        self._document = build_document(self.plan, addresses)
        result = self._operators().apply(render(self._document), None, force=False)
        if not isinstance(result, Applied):
            raise RuntimeError(f'the document was refused: {result}')
        self._await_service()

    def daemons(self) -> list[str]:
        """Return the callers' addresses of the daemons."""
        return [self._ready_by_name[each.name]['callers'] for each in self.plan.daemons]

    def address(self, name: str) -> str:
        """Return the address of a stand-in."""
        return self._ready_by_name[name]['address']

    def coordinator(self, server: str) -> str:
        """Return the name of the daemon that coordinates a backend server."""
        servers = self._operators().status()['backend_servers']
        return next(str(s['coordinator']) for s in servers if s['name'] == server)

    def set_data_centre(self, name: str, state: State) -> None:
        """Take a data centre out or bring it back, as operators do."""
        result = self._operators().set_data_centre(name, state, force=False)
        if not isinstance(result, Applied):
            raise RuntimeError(f'the change was refused: {result}')
        kind = (
            InterventionKind.TAKEN_OUT if state is State.OUT else InterventionKind.BROUGHT_BACK
        )
        self._note(kind, name, self.plan.find_server_names(name))

    def fault(self, name: str, **change: object) -> None:
        """Give a backend server a fault."""
        self._call(name, 'POST', '/-/fault', json.dumps(change).encode())

    def slow(self, name: str, slow_ms: float) -> None:
        """Add to each request of a backend server that reports nothing of it."""
        self.fault(name, slow_ms=slow_ms, load_report='lie')

    def lose(self, name: str) -> None:
        """Kill a backend server; its truth is asked for just before."""
        self._truth_by_lost[name] = self._truth(name)
        process = self._process_by_name[name]
        process.running.kill()
        self._note(InterventionKind.LOST, name, frozenset({name}))
        process.running.wait()

    def store_calls(self) -> StoreTruth:
        """Return the calls of the store so far."""
        return msgspec.json.decode(self._call('store', 'GET', '/-/truth'), type=StoreTruth)

    def observe(self, samples: Sequence[Sample], started_at: float) -> RunRecord:
        """Return what has been seen since ``started_at``."""
        ended_at = self.clock.monotonic()
        watched = [
            ServerRecord(
                server, self._truth_by_lost.get(server.name) or self._truth(server.name)
            )
            for server in self._document.backend_servers
        ]
        return RunRecord(
            tuple(watched),
            tuple(samples),
            tuple(self._interventions),
            self.plan.find_divided_services(),
            started_at,
            ended_at,
            self.plan.find_upload_services(),
        )

    def _start(self, options_by_name: dict[str, list[str]]) -> None:
        names = list(options_by_name)
        for first in range(0, len(names), STARTED_AT_ONCE):
            batch = names[first : first + STARTED_AT_ONCE]
            for name in batch:
                self._launch(name, options_by_name[name])
            for name in batch:
                self._ready_by_name[name] = self._await_ready(name)

    def _launch(self, name: str, options: list[str]) -> None:
        log = Path(self._folder.name, f'{name}.log')
        command = [sys.executable, '-m', 'coltsfootstair', *options]
        with log.open('wb') as out:
            running = subprocess.Popen(command, stdout=out, stderr=out)
        self._process_by_name[name] = _Process(running, log)

    def _await_ready(self, name: str) -> dict[str, str]:
        process = self._process_by_name[name]
        give_up = self.clock.monotonic() + STARTED_WITHIN_S
        while self.clock.monotonic() < give_up and process.running.poll() is None:
            for line in process.log.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    entry: dict[str, Any] = json.loads(line)
                    if entry.get('event') == 'ready':
                        return entry
            self._pause.wait(POLL_S)
        raise RuntimeError(f'{name} did not start: {process.log.read_text()[-500:]}')

    def _end(self, names: set[str]) -> None:
        running = [
            self._process_by_name[n].running for n in names if n in self._process_by_name
        ]
        for process in running:
            process.terminate()
        for process in running:
            try:
                process.wait(ENDED_WITHIN_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _daemon_options(self, daemon: DaemonPlan) -> list[str]:
        settings = {
            'name': daemon.name,
            'data_centre': daemon.data_centre,
            'listen': dict.fromkeys(('callers', 'operators', 'inner'), ANY_PORT),
            'store': {'url': f'http://{self._ready_by_name["store"]["address"]}'},
        }
        path = Path(self._folder.name, f'{daemon.name}.toml')
        path.write_text(tomli_w.dumps(settings))
        return ['daemon', '--settings', str(path)]

    def _operators(self) -> OperatorsClient:
        return OperatorsClient(self._ready_by_name[self.plan.daemons[0].name]['operators'])

    def _note(self, kind: InterventionKind, what: str, servers: frozenset[str]) -> None:
        now = self.clock.monotonic()
        self._interventions.append(Intervention(kind, now, servers, f'{what} {kind}'))

    def _truth(self, name: str) -> BackendServerTruth:
        return msgspec.json.decode(
            self._call(name, 'GET', '/-/truth'), type=BackendServerTruth
        )

    def _call(self, name: str, method: str, path: str, body: bytes = b'') -> bytes:
        connection = http.client.HTTPConnection(self._ready_by_name[name]['address'])
        with contextlib.closing(connection):
            connection.request(method, path, body)
            return connection.getresponse().read()

    def _await_service(self) -> None:
        give_up = self.clock.monotonic() + SERVED_WITHIN_S
        caller = Caller(self.clock)
        waiting = [
            (daemon, service.name, f'key-{number}')
            for daemon in self.daemons()
            for service in self.plan.services
            for number in range(PROBE_KEYS)
        ]
        while waiting:
            daemon, service, key = waiting[-1]
            request = Request(service, key, '', b'probe', len(b'probe'))
            answer = caller.send(daemon, request) if caller.connect(daemon) else None
            if answer is not None and answer.outcome is Outcome.COMPLETE:
                waiting.pop()
            elif self.clock.monotonic() > give_up:
                raise RuntimeError(f'{waiting[-1]} is not served: {answer}')
            else:
                self._pause.wait(POLL_S)
        caller.close()


def _server_options(server: ServerPlan) -> list[str]:
    options = [
        'standin',
        'backend-server',
        *('--listen', ANY_PORT),
        *('--name', server.name),
        *('--data-centre', server.data_centre),
        *('--slots', str(server.slots)),
        *('--connections', str(server.connections)),
        *('--service-ms', str(server.service_ms)),
    ]
    return options if server.checks_grants else [*options, '--no-fencing']
