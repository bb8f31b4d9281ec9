"""Starts a whole system in this process, and intervenes in it."""

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
START_TIMEOUT_S = 30.0
PROBE_PAUSE_S = 0.05
PROBE_KEY_COUNT = 20


class NotServingError(ColtsfootstairError):
    """The system did not serve requests in time."""


class ChangeRefusedError(ColtsfootstairError):
    """A daemon refused an operators' change."""


class System:
    """A store, backend servers and daemons, all running in this process."""

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
                checks_grants=server.checks_grants,
                clock=clock,
            )
            for server in plan.servers
        }
        addresses = {name: server.address for name, server in self._server_by_name.items()}
        self._document = build_document(plan, addresses)
        self._daemons: list[Daemon] = []
        self._interventions: list[Intervention] = []
        # Never set: only waited for, to sleep.
        self._pause = threading.Event()

    def start(self) -> None:
        """Start everything, and wait until each daemon serves requests for every service.

        :raises NotServingError: a service was not served in time
        :raises ChangeRefusedError: the operators' document was refused
        """
        self._store.start()
        for server in self._server_by_name.values():
            server.start()
        self._daemons = [
            Daemon(self._build_settings(each), self._clock) for each in self.plan.daemons
        ]
        for daemon in self._daemons:
            daemon.start()
        _check_applied(
            self._create_operators_client().apply(render(self._document), None, force=False)
        )
        self._wait_until_serving()

    def stop(self) -> bool:
        """Shut the daemons down gracefully; return whether all requests had ended."""
        with ThreadPoolExecutor() as executor:
            stopped_cleanly = list(executor.map(Daemon.stop, self._daemons))
        for server in self._server_by_name.values():
            server.stop()
        self._store.stop()
        return all(stopped_cleanly)

    def list_caller_addresses(self) -> list[str]:
        """Return the addresses for callers of the daemons that are ready."""
        return [daemon.callers.address for daemon in self._daemons if daemon.is_ready()]

    def take_out(self, data_centre: str) -> None:
        """Take a data centre out, as operators do."""
        self._set_data_centre_state(data_centre, State.OUT)
        self._record_intervention(
            InterventionKind.TAKEN_OUT, data_centre, self.plan.find_server_names(data_centre)
        )

    def bring_back(self, data_centre: str) -> None:
        """Bring a data centre back; its backend servers are cold, as after a restart."""
        names = self.plan.find_server_names(data_centre)
        for name in names:
            self._server_by_name[name].set_fault(BackendServerFault(cold=True))
        self._set_data_centre_state(data_centre, State.IN)
        self._record_intervention(InterventionKind.BROUGHT_BACK, data_centre, names)

    def slow_server(self, server: str, slow_ms: float) -> None:
        """Slow a backend server down, and make its health answers hide its load.

        :param slow_ms: milliseconds added to each request; 0 ends the fault
        """
        fault = BackendServerFault(slow_ms=slow_ms, load_report='lie')
        self._server_by_name[server].set_fault(fault)
        if slow_ms:
            self._record_intervention(InterventionKind.SLOWED, server, frozenset({server}))

    def kill_server(self, server: str) -> None:
        """Stop a backend server without draining it."""
        self._record_intervention(InterventionKind.LOST, server, frozenset({server}))
        self._server_by_name[server].stop()

    def build_run_record(self, samples: list[Sample], started_at: float) -> RunRecord:
        """Return the record of the run that began at ``started_at``, in monotonic seconds."""
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

    def _build_settings(self, daemon: DaemonPlan) -> DaemonSettings:
        url = f'http://{self._store.address}'
        addresses = (ANY_PORT, ANY_PORT, ANY_PORT)
        return DaemonSettings(daemon.name, daemon.data_centre, *addresses, url)

    def _set_data_centre_state(self, data_centre: str, state: State) -> None:
        result = self._create_operators_client().set_data_centre(
            data_centre, state, force=True
        )
        _check_applied(result)

    def _create_operators_client(self) -> OperatorsClient:
        return OperatorsClient(self._daemons[0].operators.address)

    def _record_intervention(
        self, kind: InterventionKind, subject: str, servers: frozenset[str]
    ) -> None:
        now = self._clock.monotonic()
        self._interventions.append(Intervention(kind, now, servers, f'{subject} {kind}'))

    def _wait_until_serving(self) -> None:
        deadline = self._clock.monotonic() + START_TIMEOUT_S
        caller = Caller(self._clock)
        unserved = [
            (s.name, f'key-{n}') for s in self.plan.services for n in range(PROBE_KEY_COUNT)
        ]
        while unserved:
            if self._clock.monotonic() > deadline:
                raise NotServingError(
                    f'service and key {unserved[-1]} not served within {START_TIMEOUT_S:g} s'
                )
            if self._is_served(caller, *unserved[-1]):
                unserved.pop()
            else:
                self._pause.wait(PROBE_PAUSE_S)
        caller.close()

    def _is_served(self, caller: Caller, service: str, key: str) -> bool:
        request = Request(service, key, '', b'probe', len(b'probe'))
        return all(
            caller.connect(address)
            and caller.send(address, request).outcome is Outcome.COMPLETE
            for address in [daemon.callers.address for daemon in self._daemons]
        )


def _check_applied(result: ApplyResult) -> None:
    if not isinstance(result, Applied):
        raise ChangeRefusedError(f'a daemon refused the change: {result}')
