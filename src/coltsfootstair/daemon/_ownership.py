"""The task that claims backend servers, assigns tables and renews grants."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.admission import Observed
from coltsfootstair.backend import BackendServerPort, Grant
from coltsfootstair.coordinator import (
    RightsGiven,
    RightsTaken,
    RowsGranted,
    ServerObserved,
)
from coltsfootstair.document import effective_servers
from coltsfootstair.errors import (
    CallFailedError,
    StoreConflictError,
    StoreUnavailableError,
)
from coltsfootstair.leases import LeaseRecord, encode_record, record_key
from coltsfootstair.ownership import (
    encode_shard,
    initial_assignment,
    ranked_names,
    shard_key,
    token_of,
    usable_servers,
)
from coltsfootstair.store import ABSENT

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator import Coordinator
    from coltsfootstair.daemon._peers import PeerDirectory
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.routing import Router
    from coltsfootstair.store import Store

__all__ = ['OwnershipTask']

logger = structlog.get_logger()

STEP_S = 0.1
GRANT_S = 0.4
PROBE_TIMEOUT_S = 0.5


class _Held(NamedTuple):
    """A backend server that this daemon coordinates."""

    port: BackendServerPort
    instance: str


class OwnershipTask:
    """Claims servers nobody coordinates, and grants their rows to those it holds."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        incarnation: str,
        clock: Clock,
        store: Store,
        router: Router,
        peers: PeerDirectory,
        coordinator: Coordinator,
        open_port: Callable[[BackendServer], BackendServerPort],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._clock = clock
        self._store = store
        self._router = router
        self._peers = peers
        self._coordinator = coordinator
        self._open_port = open_port
        self._held_by_name: dict[str, _Held] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='ownership', daemon=True)

    def start(self) -> None:
        """Begin to claim and grant."""
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(STEP_S):
            try:
                self._step()
            except (StoreUnavailableError, StoreConflictError) as error:
                logger.info('ownership step put off', why=str(error))

    def _step(self) -> None:
        service_by_name = {item.name: item for item in self._router.document.services}
        for server in effective_servers(self._router.document):
            lease = self._router.lease(server.name)
            if lease is None:
                self._claim(server)
            elif (lease.coordinator, lease.incarnation) == (self._name, self._incarnation):
                self._hold(server, service_by_name[server.service], lease)
        for name in service_by_name:
            self._assign(name)

    def _claim(self, server: BackendServer) -> None:
        machines = self._peers.vm_by_name().values()
        near = [item.name for item in machines if item.data_centre == server.data_centre]
        candidates = near or [item.name for item in machines]
        if not candidates or ranked_names(server.name, candidates)[0] != self._name:
            return
        record = LeaseRecord(self._name, self._incarnation, '', '', 1)
        self._store.put(record_key(server.name), encode_record(record), expected=ABSENT)

    def _assign(self, service: str) -> None:
        names = list(self._peers.vm_by_name())
        servers = usable_servers(self._router.document, service)
        known = self._router.table(service) is not None
        if known or not servers or not names or ranked_names(service, names)[0] != self._name:
            return
        for shard in initial_assignment(service, servers):
            key = shard_key(service, shard.number)
            self._store.put(key, encode_shard(shard), expected=ABSENT)

    def _hold(self, server: BackendServer, service: Service, lease: LeaseRecord) -> None:
        held = self._held_by_name.get(server.name)
        if held is None:
            held = _Held(self._open_port(server), '')
        self._coordinator.tell(RightsGiven(server, service))
        try:
            health = held.port.probe(PROBE_TIMEOUT_S)
        except CallFailedError:
            self._coordinator.tell(ServerObserved(server.name, Observed(ok=False)))
            return
        asked = self._clock.monotonic()
        held = held._replace(instance=health.instance)
        self._held_by_name[server.name] = held
        observed = Observed(True, health.instance, health.cold, health.load)
        self._coordinator.tell(ServerObserved(server.name, observed))
        if service.divided_by_key:
            self._grant(server, held, lease, health.clock + GRANT_S, asked + GRANT_S)

    def _grant(
        self,
        server: BackendServer,
        held: _Held,
        lease: LeaseRecord,
        until: float,
        valid_until: float,
    ) -> None:
        table = self._router.table(server.service)
        if table is None:
            return
        token_by_row = {
            number: token_of(row.epoch, lease.epoch)
            for number, row in table.rows_by_number().items()
            if row.owner == server.name and not row.next_owner
        }
        grants = [Grant(row, row, token) for row, token in sorted(token_by_row.items())]
        try:
            reply = held.port.grant(grants, until, held.instance, PROBE_TIMEOUT_S)
        except CallFailedError:
            return
        if reply.accepted:
            self._coordinator.tell(RowsGranted(server.name, token_by_row, valid_until))
        else:
            self._coordinator.tell(RightsTaken(server.name))
