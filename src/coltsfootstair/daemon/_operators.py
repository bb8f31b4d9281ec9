"""Provides the operators' interface with the state of a daemon."""

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

UNREPORTED_LOAD = ServerLoad('unknown', 0, 0, 0)
"""Load shown for a backend server whose coordinator has not sent a report."""


class DaemonReport(NamedTuple):
    """Report of one daemon on itself and on the backend servers that it coordinates."""

    daemon: DaemonStatus
    backend_servers: tuple[ServerStatus, ...]


class OperatorsAdapter:
    """Answers operators from the state of one daemon and the reports of the others."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self._documents = DocumentStore(daemon.store)

    def is_ready(self) -> bool:
        """Return whether the daemon serves callers."""
        return self._daemon.is_ready()

    def status(self) -> StatusReport:
        """Return the state of all daemons; those that do not answer show as unreachable."""
        reports = self._gather_reports()
        daemons = {name: report.daemon for name, report in reports.items()}
        for vm in self._daemon.peers.vm_by_name().values():
            listed = DaemonStatus(vm.name, vm.data_centre, DaemonState.UNREACHABLE)
            daemons.setdefault(vm.name, listed)
        return StatusReport(
            self._daemon.settings.name,
            max(report.daemon.version for report in reports.values()),
            tuple(daemons[name] for name in sorted(daemons)),
            tuple(self._build_server_statuses(reports.values())),
            tuple(self._iter_owner_statuses()),
        )

    def timeline(self) -> list[TimelineEvent]:
        """Return the merged time lines of all daemons that can be reached."""
        gathered = self._daemon.reports.gather(TIMELINE).values()
        return merge(
            msgspec.msgpack.decode(data, type=list[TimelineEvent]) for data in gathered
        )

    def document(self) -> VersionedText:
        """Return the document in the store; if it is unreachable, the one in force here."""
        try:
            return self._documents.read()
        except StoreUnavailableError:
            known = self._daemon.replica.get(DOCUMENT_KEY)
            return VersionedText(known.value.decode(), known.version)

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        """Replace the document by ``text``.

        :param base: version that must be in the store; ``None`` for any
        :param force: whether to apply dangerous changes as well
        """
        history = self._daemon.document_history.text_by_version()
        return self._record_result(
            self._documents.apply(
                text,
                base,
                force=force,
                load=self._count_in_flight_by_service(),
                history=history,
            )
        )

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        """Take a data centre out or bring it back."""
        return self._record_result(
            self._documents.set_data_centre(
                name, state, force=force, load=self._count_in_flight_by_service()
            )
        )

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        """Drain or restore a backend server."""
        return self._record_result(
            self._documents.set_backend_server(
                name, state, force=force, load=self._count_in_flight_by_service()
            )
        )

    def find_dangers(self, text: str) -> list[str]:
        """Return the dangers of applying ``text`` now."""
        present = parse(self.document().text, 'document')
        return [
            str(one)
            for one in find_dangers(
                present, parse(text, 'draft'), self._count_in_flight_by_service()
            )
        ]

    def find_owner(self, service: str, key: str) -> OwnerReport | None:
        """Return the owner of ``key``; ``None`` if the service has no table of keys."""
        table = self._daemon.router.table(service)
        if table is None:
            return None
        number, row = table.find_row(key)
        lease = self._daemon.router.lease(row.owner)
        coordinator = lease.coordinator if lease is not None else ''
        token = token_of(row.epoch, lease.epoch if lease is not None else 0)
        explanation = (
            f'The key falls into row {number}, whose owner has changed {row.epoch} times.'
        )
        if row.next_owner:
            explanation += (
                f' The row is moving to {row.next_owner}; it is served there afterwards.'
            )
        return OwnerReport(
            service, key, number, row.owner, token, row.next_owner, coordinator, explanation
        )

    def report_status(self) -> bytes:
        """Return the encoded report of this daemon on itself."""
        router = self._daemon.router
        loads = self._daemon.coordinator.loads()
        servers = tuple(
            self._build_server_status(server, loads[server.name])
            for server in resolve_server_states(router.document)
            if server.name in loads and self._is_coordinated_here(server.name)
        )
        return msgspec.msgpack.encode(DaemonReport(self._build_own_status(), servers))

    def report_timeline(self) -> bytes:
        """Return the encoded time line of this daemon."""
        return msgspec.msgpack.encode(self._daemon.timeline.events())

    def _build_own_status(self) -> DaemonStatus:
        daemon = self._daemon
        age_s = daemon.replica_tracker.age_s()
        refusals = tuple(
            RefusalCount(int(code), title(code), requests)
            for code, requests in sorted(
                daemon.refusal_recorder.request_count_by_code().items()
            )
        )
        return DaemonStatus(
            daemon.settings.name,
            daemon.settings.data_centre,
            daemon.state(),
            daemon.incarnation,
            daemon.router.document_version,
            -1.0 if age_s == float('inf') else age_s,  # -1: the age is unknown
            daemon.store_feed.is_reachable,
            refusals,
        )

    def _is_coordinated_here(self, server: str) -> bool:
        lease = self._daemon.router.lease(server)
        return lease is not None and lease.coordinator == self._daemon.settings.name

    def _gather_reports(self) -> dict[str, DaemonReport]:
        gathered = self._daemon.reports.gather(STATUS)
        return {
            name: msgspec.msgpack.decode(data, type=DaemonReport)
            for name, data in gathered.items()
        }

    def _build_server_statuses(self, reports: Iterable[DaemonReport]) -> list[ServerStatus]:
        reported = {
            status.name: status for report in reports for status in report.backend_servers
        }
        router = self._daemon.router
        return [
            reported.get(server.name) or self._build_server_status(server, UNREPORTED_LOAD)
            for server in resolve_server_states(router.document)
        ]

    def _build_server_status(self, server: BackendServer, load: ServerLoad) -> ServerStatus:
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

    def _iter_owner_statuses(self) -> Iterable[OwnerStatus]:
        for service in self._daemon.router.document.services:
            table = self._daemon.router.table(service.name)
            if table is None:
                continue
            rows_by_owner: dict[tuple[str, str], list[int]] = {}
            for number, row in table.collect_rows().items():
                rows_by_owner.setdefault((row.owner, row.next_owner), []).append(number)
            for (owner, next_owner), rows in sorted(rows_by_owner.items()):
                text = format_rows(rows)
                yield OwnerStatus(service.name, owner, text, len(rows), next_owner)

    def _count_in_flight_by_service(self) -> Mapping[str, float]:
        in_flight_by_service: dict[str, float] = {}
        for report in self._gather_reports().values():
            for server in report.backend_servers:
                in_flight_by_service[server.service] = (
                    in_flight_by_service.get(server.service, 0) + server.in_flight
                )
        return in_flight_by_service

    def _record_result(self, result: ApplyResult) -> ApplyResult:
        if isinstance(result, Applied) and result.changes:
            self._daemon.timeline.record(
                EventName.DOCUMENT_ACCEPTED,
                version=result.version,
                changes='; '.join(result.changes),
            )
        elif not isinstance(result, Applied):
            self._daemon.timeline.record(EventName.DOCUMENT_REFUSED, reason=str(result))
        return result
