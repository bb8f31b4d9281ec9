"""What the operators' address asks of this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.operators import (
    DaemonState,
    DaemonStatus,
    DocumentStore,
    OwnerReport,
    OwnerStatus,
    ServerStatus,
    StatusReport,
    VersionedText,
)
from coltsfootstair.ownership import token_of

if TYPE_CHECKING:
    from coltsfootstair.daemon._application import Daemon
    from coltsfootstair.document import BackendServer, State
    from coltsfootstair.operators import ApplyResult
    from coltsfootstair.timeline import TimelineEvent

__all__ = ['OperatorsAdapter']


class OperatorsAdapter:
    """Answers operators out of the parts of one daemon."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._documents = DocumentStore(daemon.store)

    def ready(self) -> bool:
        """Return whether callers are served."""
        return self._daemon.is_ready()

    def status(self) -> StatusReport:
        """Gather the state of this daemon, and the platform's list of the others."""
        router = self._daemon.router
        servers = tuple(self._server_status(item) for item in router.document.backend_servers)
        owners = tuple(
            owner
            for service in router.document.services
            for owner in self._owners(service.name)
        )
        daemons = tuple(
            self._daemon_status(machine.name, machine.data_centre)
            for machine in self._daemon.peers.vm_by_name().values()
        )
        name = self._daemon.settings.name
        return StatusReport(name, router.document_version, daemons, servers, owners)

    def timeline(self) -> list[TimelineEvent]:
        """Return this daemon's time line."""
        return []

    def document(self) -> VersionedText:
        """Return the document as the store has it."""
        return self._documents.read()

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        """Put ``text`` in place of version ``base``, or of the present one."""
        return self._documents.apply(text, base, force=force, load={}, history={})

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        """Take a data centre out, or bring it back."""
        return self._documents.set_data_centre(name, state, force=force, load={})

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        """Drain a backend server, or restore it."""
        return self._documents.set_backend_server(name, state, force=force, load={})

    def dangers(self, text: str) -> list[str]:
        """Return what would be dangerous about applying ``text`` now."""
        return []

    def owner_of(self, service: str, key: str) -> OwnerReport | None:
        """Return who owns ``key``; ``None`` if the service has no keys of its own."""
        table = self._daemon.router.table(service)
        if table is None:
            return None
        number, row = table.owner_of(key)
        lease = self._daemon.router.lease(row.owner)
        coordinator = lease.coordinator if lease is not None else ''
        token = token_of(row.epoch, lease.epoch if lease is not None else 0)
        return OwnerReport(
            service, key, number, row.owner, token, row.next_owner, coordinator, ''
        )

    def _daemon_status(self, name: str, data_centre: str) -> DaemonStatus:
        if name != self._daemon.settings.name:
            return DaemonStatus(name, data_centre, DaemonState.UNREACHABLE)
        return DaemonStatus(
            name,
            data_centre,
            DaemonState.READY if self._daemon.is_ready() else DaemonState.STARTING,
            self._daemon.incarnation,
            self._daemon.router.document_version,
            store_reachable=self._daemon.store_watch.reachable,
        )

    def _server_status(self, server: BackendServer) -> ServerStatus:
        lease = self._daemon.router.lease(server.name)
        return ServerStatus(
            server.name,
            server.service,
            server.data_centre,
            server.state.value,
            lease.coordinator if lease is not None else '',
            slots=server.slots,
        )

    def _owners(self, service: str) -> list[OwnerStatus]:
        table = self._daemon.router.table(service)
        if table is None:
            return []
        return [
            OwnerStatus(service, number, number, row.owner, row.epoch, row.next_owner)
            for number, row in sorted(table.rows_by_number().items())
        ]
