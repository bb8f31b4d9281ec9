"""Starts a whole system in this process, and does things to it."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from coltsfootstair.daemon import Daemon
from coltsfootstair.demo._plan import build_document
from coltsfootstair.demo._run_record import (
    Intervention,
    InterventionKind,
    RunRecord,
    ServerRecord,
)
from coltsfootstair.document import State, render
from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.load import Caller, Outcome, Request
from coltsfootstair.operators import Applied, ApplyResult, OperatorsClient
from coltsfootstair.settings import DaemonSettings
from coltsfootstair.standin import BackendServerFault, BackendServerStandin, StoreStandin

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.demo._plan import DaemonPlan, Plan
    from coltsfootstair.load import Sample

__all__ = ['ChangeRefusedError', 'NotServingError', 'System']

ANY_PORT = '127.0.0.1:0'
SERVES_WITHIN_S = 30.0
PROBE_PAUSE_S = 0.05
PROBE_KEYS = 20


class NotServingError(ColtsfootstairError):
    """The system did not begin to serve in time."""


class ChangeRefusedError(ColtsfootstairError):
    """A daemon did not put the operators' change in force."""


class System:
    """A store, backend servers and daemons, all in this process."""

    def __init__(self, plan: Plan, clock: Clock) -> None:
        self.plan = plan
        self._clock = clock
        self._store = StoreStandin(ANY_PORT, clock=clock)
        self._server_by_name = {
            server.name: BackendServerStandin(
                ANY_PORT,
                server.name,
                server.data_centre,
                slots=server.slots,
                connections=server.connections,
                service_ms=server.service_ms,
                fencing=server.checks_grants,
                clock=clock,
            )
            for server in plan.servers
        }
        addresses = {name: server.address for name, server in self._server_by_name.items()}
        self._document = build_document(plan, addresses)
        self._daemons: list[Daemon] = []
        self._interventions: list[Intervention] = []
        self._pause = threading.Event()

    def start(self) -> None:
        """Start everything, and wait until every service is answered.

        :raises NotServingError: it is not, in time
        """
        self._store.start()
        for server in self._server_by_name.values():
            server.start()
        self._daemons = [
            Daemon(self._settings(each), self._clock) for each in self.plan.daemons
        ]
        for daemon in self._daemons:
            daemon.start()
        _check_applied(self._operators().apply(render(self._document), None, force=False))
        self._await_service()

    def stop(self) -> bool:
        """Shut the daemons down gracefully; return whether nothing was left in flight."""
        with ThreadPoolExecutor() as executor:
            clean = list(executor.map(Daemon.stop, self._daemons))
        for server in self._server_by_name.values():
            server.stop()
        self._store.stop()
        return all(clean)

    def daemons(self) -> list[str]:
        """Return the addresses that the balancer sends callers to."""
        return [daemon.callers.address for daemon in self._daemons if daemon.is_ready()]

    def take_out(self, data_centre: str) -> None:
        """Take a data centre out, as operators do."""
        self._set_state(data_centre, State.OUT)
        self._note(
            InterventionKind.TAKEN_OUT, data_centre, self.plan.find_server_names(data_centre)
        )

    def bring_back(self, data_centre: str) -> None:
        """Bring a data centre back; its backend servers have started anew, cold."""
        names = self.plan.find_server_names(data_centre)
        for name in names:
            self._server_by_name[name].set_fault(BackendServerFault(cold=True))
        self._set_state(data_centre, State.IN)
        self._note(InterventionKind.BROUGHT_BACK, data_centre, names)

    def slow(self, server: str, slow_ms: float) -> None:
        """Add ``slow_ms`` milliseconds to each request; 0 ends it."""
        fault = BackendServerFault(slow_ms=slow_ms, load_report='lie')
        self._server_by_name[server].set_fault(fault)
        if slow_ms:
            self._note(InterventionKind.SLOWED, server, frozenset({server}))

    def lose(self, server: str) -> None:
        """End a backend server at once."""
        self._note(InterventionKind.LOST, server, frozenset({server}))
        self._server_by_name[server].stop()

    def observe(self, samples: list[Sample], started_at: float) -> RunRecord:
        """Return what has been seen since ``started_at``."""
        ended_at = self._clock.monotonic()
        server_by_name = {server.name: server for server in self._document.backend_servers}
        return RunRecord(
            tuple(
                ServerRecord(server_by_name[name], standin.get_truth())
                for name, standin in self._server_by_name.items()
            ),
            tuple(samples),
            tuple(self._interventions),
            self.plan.find_divided_services(),
            started_at,
            ended_at,
            self.plan.find_upload_services(),
        )

    def _settings(self, daemon: DaemonPlan) -> DaemonSettings:
        url = f'http://{self._store.address}'
        addresses = (ANY_PORT, ANY_PORT, ANY_PORT)
        return DaemonSettings(daemon.name, daemon.data_centre, *addresses, url)

    def _set_state(self, data_centre: str, state: State) -> None:
        result = self._operators().set_data_centre(data_centre, state, force=True)
        _check_applied(result)

    def _operators(self) -> OperatorsClient:
        return OperatorsClient(self._daemons[0].operators.address)

    def _note(self, kind: InterventionKind, what: str, servers: frozenset[str]) -> None:
        now = self._clock.monotonic()
        self._interventions.append(Intervention(kind, now, servers, f'{what} {kind}'))

    def _await_service(self) -> None:
        give_up = self._clock.monotonic() + SERVES_WITHIN_S
        caller = Caller(self._clock)
        waiting = [(s.name, f'key-{n}') for s in self.plan.services for n in range(PROBE_KEYS)]
        while waiting:
            if self._clock.monotonic() > give_up:
                raise NotServingError(f'{waiting[-1]} was not served in {SERVES_WITHIN_S:g} s')
            if self._is_served(caller, *waiting[-1]):
                waiting.pop()
            else:
                self._pause.wait(PROBE_PAUSE_S)
        caller.close()

    def _is_served(self, caller: Caller, service: str, key: str) -> bool:
        request = Request(service, key, '', b'probe', len(b'probe'))
        return all(
            caller.connect(daemon) and caller.send(daemon, request).outcome is Outcome.COMPLETE
            for daemon in [daemon.callers.address for daemon in self._daemons]
        )


def _check_applied(result: ApplyResult) -> None:
    if not isinstance(result, Applied):
        raise ChangeRefusedError(f'the change was refused: {result}')
