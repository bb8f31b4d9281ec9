"""Records changes in the state of a daemon on its time line."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from coltsfootstair.leases import LEASE_PREFIX
from coltsfootstair.timeline import EventName, format_rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from coltsfootstair.coordinator import ServerLoad
    from coltsfootstair.leases import LeaseRecord
    from coltsfootstair.routing import Router
    from coltsfootstair.store import VersionedObject
    from coltsfootstair.timeline import Timeline

__all__ = ['OwnershipRecorder', 'StateRecorder']

POLL_INTERVAL_S = 0.2
"""Interval at which states without events of their own are checked, in seconds."""

TABLE_PREFIX = 'tables/'


class OwnershipRecorder:
    """Records changes of leases and owners of the servers that this daemon coordinates.

    So each change is recorded by one daemon only.

    It must subscribe to the replica after the router, because it compares the router's
    answers with the router's previous answers.
    """

    def __init__(self, own_name: str, router: Router, timeline: Timeline) -> None:
        self._own_name = own_name
        self._router = router
        self._timeline = timeline
        self._lease_by_server: dict[str, LeaseRecord] = {}
        self._owners_by_service: dict[str, dict[int, tuple[str, str]]] = {}
        self._lock = threading.Lock()

    def apply_object(self, item: VersionedObject) -> None:
        """Apply a change of the replica."""
        with self._lock:
            if item.key.startswith(LEASE_PREFIX):
                self._apply_lease(item.key.removeprefix(LEASE_PREFIX))
            elif item.key.startswith(TABLE_PREFIX):
                self._apply_table(item.key.split('/')[1])

    def _apply_lease(self, server: str) -> None:
        lease, previous = self._router.lease(server), self._lease_by_server.get(server)
        if lease is None:
            return
        self._lease_by_server[server] = lease
        was_coordinator = previous is not None and previous.coordinator == self._own_name
        is_coordinator = lease.coordinator == self._own_name
        if is_coordinator and (previous is None or previous.epoch != lease.epoch):
            self._timeline.record(
                EventName.COORDINATOR_STARTED,
                server=server,
                epoch=lease.epoch,
                before=previous.coordinator if previous is not None else '',
            )
            self._record_owned_rows(server)
        if was_coordinator and not is_coordinator:
            self._timeline.record(
                EventName.COORDINATOR_STOPPED, server=server, after=lease.coordinator
            )
        if (
            is_coordinator
            and lease.standby
            and (previous is None or previous.standby != lease.standby)
        ):
            self._timeline.record(
                EventName.STANDBY_CHANGED, server=server, standby=lease.standby
            )

    def _apply_table(self, service: str) -> None:
        table = self._router.table(service)
        if table is None:
            return
        owners = {
            number: (row.owner, row.next_owner) for number, row in table.collect_rows().items()
        }
        previous = self._owners_by_service.get(service, {})
        self._owners_by_service[service] = owners
        assigned: dict[str, list[int]] = {}
        released: dict[str, list[int]] = {}
        moving: dict[str, list[int]] = {}
        for number, (owner, next_owner) in owners.items():
            old_owner, old_next = previous.get(number, ('', ''))
            if owner != old_owner:
                released.setdefault(old_owner, []).append(number)
                assigned.setdefault(owner, []).append(number)
            if next_owner and next_owner != old_next:
                moving.setdefault(owner, []).append(number)
        self._record_rows(EventName.OWNER_RELEASED, service, released)
        self._record_rows(EventName.OWNER_MOVING, service, moving)
        self._record_rows(EventName.OWNER_ASSIGNED, service, assigned)

    def _record_owned_rows(self, server: str) -> None:
        """Record all rows of a server, as another daemon has coordinated it until now."""
        for service, owners in self._owners_by_service.items():
            rows = [number for number, (owner, _) in owners.items() if owner == server]
            self._record_rows(EventName.OWNER_ASSIGNED, service, {server: rows})

    def _record_rows(
        self, name: EventName, service: str, rows_by_server: dict[str, list[int]]
    ) -> None:
        for server, rows in rows_by_server.items():
            lease = self._lease_by_server.get(server)
            if rows and lease is not None and lease.coordinator == self._own_name:
                text = format_rows(rows)
                self._timeline.record(name, service=service, server=server, rows=text)


class StateRecorder:
    """Polls states that have no events of their own, and records their changes.

    :param loads: returns the load of each coordinated server
    :param is_document_fresh: whether the document in force may still be relied on
    :param store_reachable: whether the store answered the last call
    :param peers: returns the daemons to which a stream is open
    """

    def __init__(
        self,
        timeline: Timeline,
        loads: Callable[[], dict[str, ServerLoad]],
        is_document_fresh: Callable[[], bool],
        store_reachable: Callable[[], bool],
        peers: Callable[[], Iterable[str]],
    ) -> None:
        self._timeline = timeline
        self._loads = loads
        self._is_document_fresh = is_document_fresh
        self._store_reachable = store_reachable
        self._peers = peers
        self._phase_by_server: dict[str, str] = {}
        self._known_peers: set[str] = set()
        self._was_fresh = True
        self._was_reachable = True
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='state-recorder', daemon=True)

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def poll(self) -> None:
        """Record what has changed since the last call."""
        self._poll_servers()
        self._poll_peers()
        fresh, reachable = self._is_document_fresh(), self._store_reachable()
        if fresh != self._was_fresh:
            self._timeline.record(
                EventName.DOCUMENT_FRESH if fresh else EventName.DOCUMENT_STALE
            )
        if reachable != self._was_reachable:
            self._timeline.record(EventName.STORE_FOUND if reachable else EventName.STORE_LOST)
        self._was_fresh, self._was_reachable = fresh, reachable

    def _poll_servers(self) -> None:
        for server, load in self._loads().items():
            if self._phase_by_server.get(server) != load.phase:
                self._phase_by_server[server] = load.phase
                self._timeline.record(
                    EventName.SERVER_PHASE,
                    server=server,
                    phase=load.phase,
                    in_flight=load.in_flight,
                    limit=load.limit,
                )

    def _poll_peers(self) -> None:
        peers = set(self._peers())
        for peer in sorted(peers - self._known_peers):
            self._timeline.record(EventName.PEER_FOUND, peer=peer)
        for peer in sorted(self._known_peers - peers):
            self._timeline.record(EventName.PEER_LOST, peer=peer)
        self._known_peers = peers

    def _run(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            self.poll()
