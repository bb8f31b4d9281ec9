"""What the operators' address asks of this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from coltsfootstair.coordinator import ServerLoad
from coltsfootstair.daemon._reports import STATUS, TIMELINE
from coltsfootstair.document import State, find_dangers, parse, resolve_server_states
from coltsfootstair.errors import StoreUnavailableError
from coltsfootstair.operators import (
    DOCUMENT_KEY,
    Applied,
    DaemonState,
    DaemonStatus,
    DocumentStore,
    OwnerReport,
    OwnerStatus,
    RefusalCount,
    ServerStatus,
    StatusReport,
    VersionedText,
)
from coltsfootstair.ownership import token_of
from coltsfootstair.results import title
from coltsfootstair.timeline import EventName, TimelineEvent, format_rows, merge

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from coltsfootstair.daemon._application import Daemon
    from coltsfootstair.document import BackendServer
    from coltsfootstair.operators import ApplyResult

__all__ = ['DaemonReport', 'OperatorsAdapter']

UNREPORTED = ServerLoad('unknown', 0, 0, 0)
"""Stands for the load of a server whose coordinator gave no report."""


class DaemonReport(NamedTuple):
    """What one daemon says of itself and of the backend servers that it coordinates."""

    daemon: DaemonStatus
    backend_servers: tuple[ServerStatus, ...]


class OperatorsAdapter:
    """Answers operators out of the parts of one daemon, and out of what others report."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._documents = DocumentStore(daemon.store)

    def is_ready(self) -> bool:
        """Return whether callers are served."""
        return self._daemon.is_ready()

    def status(self) -> StatusReport:
        """Gather the state of all daemons that can be reached."""
        reports = self._reports()
        daemons = {name: report.daemon for name, report in reports.items()}
        for machine in self._daemon.peers.vm_by_name().values():
            listed = DaemonStatus(machine.name, machine.data_centre, DaemonState.UNREACHABLE)
            daemons.setdefault(machine.name, listed)
        return StatusReport(
            self._daemon.settings.name,
            max(report.daemon.version for report in reports.values()),
            tuple(daemons[name] for name in sorted(daemons)),
            tuple(self._servers(reports.values())),
            tuple(self._owners()),
        )

    def timeline(self) -> list[TimelineEvent]:
        """Gather and merge the time lines of all daemons that can be reached."""
        gathered = self._daemon.reports.gather(TIMELINE).values()
        return merge(msgspec.msgpack.decode(one, type=list[TimelineEvent]) for one in gathered)

    def document(self) -> VersionedText:
        """Return the document as the store has it, or else the one in force here."""
        try:
            return self._documents.read()
        except StoreUnavailableError:
            known = self._daemon.replica.get(DOCUMENT_KEY)
            return VersionedText(known.value.decode(), known.version)

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        """Put ``text`` in place of version ``base``, or of the present one."""
        history = self._daemon.document_history.text_by_version()
        return self._noted(
            self._documents.apply(text, base, force=force, load=self._load(), history=history)
        )

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        """Take a data centre out, or bring it back."""
        return self._noted(
            self._documents.set_data_centre(name, state, force=force, load=self._load())
        )

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        """Drain a backend server, or restore it."""
        return self._noted(
            self._documents.set_backend_server(name, state, force=force, load=self._load())
        )

    def find_dangers(self, text: str) -> list[str]:
        """Return what would be dangerous about applying ``text`` now."""
        present = parse(self.document().text, 'document')
        return [str(one) for one in find_dangers(present, parse(text, 'draft'), self._load())]

    def find_owner(self, service: str, key: str) -> OwnerReport | None:
        """Return who owns ``key``; ``None`` if the service has no keys of its own."""
        table = self._daemon.router.table(service)
        if table is None:
            return None
        number, row = table.find_row(key)
        lease = self._daemon.router.lease(row.owner)
        coordinator = lease.coordinator if lease is not None else ''
        token = token_of(row.epoch, lease.epoch if lease is not None else 0)
        why = f'The key falls into row {number}, whose owner has changed {row.epoch} times.'
        if row.next_owner:
            why += f' The row is moving to {row.next_owner}; it is served there afterwards.'
        return OwnerReport(
            service, key, number, row.owner, token, row.next_owner, coordinator, why
        )

    def report_status(self) -> bytes:
        """Write this daemon's report on itself."""
        router = self._daemon.router
        loads = self._daemon.coordinator.loads()
        servers = tuple(
            self._server_status(server, loads[server.name])
            for server in resolve_server_states(router.document)
            if server.name in loads and self._coordinates(server.name)
        )
        return msgspec.msgpack.encode(DaemonReport(self._own_status(), servers))

    def report_timeline(self) -> bytes:
        """Write this daemon's time line."""
        return msgspec.msgpack.encode(self._daemon.timeline.events())

    def _own_status(self) -> DaemonStatus:
        daemon = self._daemon
        age_s = daemon.knowledge.age_s()
        refusals = tuple(
            RefusalCount(int(code), title(code), requests)
            for code, requests in sorted(daemon.refusals.requests_by_code().items())
        )
        return DaemonStatus(
            daemon.settings.name,
            daemon.settings.data_centre,
            daemon.state(),
            daemon.incarnation,
            daemon.router.document_version,
            -1.0 if age_s == float('inf') else age_s,
            daemon.store_feed.reachable,
            refusals,
        )

    def _coordinates(self, server: str) -> bool:
        lease = self._daemon.router.lease(server)
        return lease is not None and lease.coordinator == self._daemon.settings.name

    def _reports(self) -> dict[str, DaemonReport]:
        gathered = self._daemon.reports.gather(STATUS)
        return {
            name: msgspec.msgpack.decode(data, type=DaemonReport)
            for name, data in gathered.items()
        }

    def _servers(self, reports: Iterable[DaemonReport]) -> list[ServerStatus]:
        reported = {one.name: one for report in reports for one in report.backend_servers}
        router = self._daemon.router
        return [
            reported.get(server.name) or self._server_status(server, UNREPORTED)
            for server in resolve_server_states(router.document)
        ]

    def _server_status(self, server: BackendServer, load: ServerLoad) -> ServerStatus:
        lease = self._daemon.router.lease(server.name)
        return ServerStatus(
            server.name,
            server.service,
            server.data_centre,
            server.state.value,
            lease.coordinator if lease is not None else '',
            lease.standby if lease is not None else '',
            load.phase,
            load.in_flight,
            load.waiting,
            load.limit,
            server.slots,
        )

    def _owners(self) -> Iterable[OwnerStatus]:
        for service in self._daemon.router.document.services:
            table = self._daemon.router.table(service.name)
            if table is None:
                continue
            rows_by_owner: dict[tuple[str, str], list[int]] = {}
            for number, row in table.rows_by_number().items():
                rows_by_owner.setdefault((row.owner, row.next_owner), []).append(number)
            for (owner, next_owner), rows in sorted(rows_by_owner.items()):
                text = format_rows(rows)
                yield OwnerStatus(service.name, owner, text, len(rows), next_owner)

    def _load(self) -> Mapping[str, float]:
        in_use: dict[str, float] = {}
        for report in self._reports().values():
            for server in report.backend_servers:
                in_use[server.service] = in_use.get(server.service, 0) + server.in_flight
        return in_use

    def _noted(self, result: ApplyResult) -> ApplyResult:
        if isinstance(result, Applied) and result.changes:
            self._daemon.timeline.record(
                EventName.DOCUMENT_ACCEPTED,
                version=result.version,
                changes='; '.join(result.changes),
            )
        elif not isinstance(result, Applied):
            self._daemon.timeline.record(EventName.DOCUMENT_REFUSED, reason=str(result))
        return result
