"""The task that admits, dispatches and answers requests of coordinated backend servers."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from coltsfootstair.admission import (
    AssignSlot,
    CoordinationChanged,
    DrainChanged,
    Finished,
    InheritedRequests,
    Interrupted,
    LimitsChanged,
    Outcome,
    Refuse,
    Submitted,
    Tick,
    Withdrawn,
    handle,
    new_state,
)
from coltsfootstair.coordinator._messages import (
    CancelExchange,
    CoordinationAllowed,
    CoordinationRevoked,
    ExchangeEnded,
    ExchangeInterrupted,
    ReplicationReceived,
    RowHandoverReceived,
    RowsGranted,
    RowsOwned,
    ServerLoad,
    ServerProbed,
    StandbyConnectFinished,
    StandbyRoleEnded,
    StreamClosed,
    SubmitExchange,
)
from coltsfootstair.coordinator._operations import OperationDeduplicator
from coltsfootstair.coordinator._replication_receiver import (
    ReplicationReceiver,
    build_handover_messages,
)
from coltsfootstair.coordinator._runner import ExchangeRunner, build_retryable_refusal
from coltsfootstair.coordinator._server import CoordinatedServer
from coltsfootstair.document import ServiceKind, State
from coltsfootstair.inner import ReplicationConfirmed
from coltsfootstair.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from coltsfootstair.admission import Effect, Event
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator._exchange import Exchange
    from coltsfootstair.coordinator._messages import CoordinatorEvent
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.inner import RowHandedOver, Stream
    from coltsfootstair.operations import RowSnapshot

__all__ = ['Coordinator']

TICK_INTERVAL_S = 0.02
"""Interval at which queues are checked for requests past their deadline, in seconds."""

MAX_EARLY_HANDOVER_COUNT = 4096
"""Most handover messages of one server that are stored until its lease is known here."""

INHERITED_REQUESTS_S = 2.0
"""How long requests of the previous coordinator may still run at a server, in seconds."""


class Coordinator:
    """Owns the admission state of each backend server that this daemon coordinates.

    :param create_client: returns the client for a backend server
    :param is_document_fresh: whether the document in force may still be relied on
    :param connect_peer: returns a stream to a daemon by its name, and opens one if there is
        none; may block
    :param find_next_owner: returns the next or present owner of a service's row, and the
        daemon that coordinates the owner; an empty string in place of the daemon if there
        is none, or if it is this daemon
    :param find_next_lease: returns the daemon that coordinates a server, and the epoch of its
        lease; an empty string and 0 if there is none, or if it is this daemon
    """

    def __init__(
        self,
        clock: Clock,
        executor: Executor,
        create_client: Callable[[BackendServer], BackendServerPort],
        is_document_fresh: Callable[[], bool],
        connect_peer: Callable[[str], Stream | None],
        find_next_owner: Callable[[str, int], tuple[str, str]],
        find_next_lease: Callable[[str], tuple[str, int]],
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._create_client = create_client
        self._connect_peer = connect_peer
        self._find_next_owner = find_next_owner
        self._find_next_lease = find_next_lease
        self._runner = ExchangeRunner(clock, executor, self.post, is_document_fresh)
        self._replication_receiver = ReplicationReceiver(clock)
        self._mailbox: queue.SimpleQueue[CoordinatorEvent | None] = queue.SimpleQueue()
        self._server_by_name: dict[str, CoordinatedServer] = {}
        self._early_handovers_by_server: dict[str, list[RowHandedOver]] = {}
        self._on_rows_idle: Callable[[RowsGranted, frozenset[int]], None] = _do_nothing
        self._on_submitted: Callable[[str, int, str], None] = _do_nothing
        self._thread = threading.Thread(target=self._run, name='coordinator', daemon=True)

    def set_listeners(
        self,
        on_rows_idle: Callable[[RowsGranted, frozenset[int]], None],
        on_submitted: Callable[[str, int, str], None],
    ) -> None:
        """Set the callbacks for idle rows and submitted requests.

        Both are called on the task's thread.

        :param on_rows_idle: called with the granted rows, and with those of their stopping
            rows for which no request waits or runs
        :param on_submitted: called with the service, row and key of a request when it is
            submitted to admission, which may still refuse it
        """
        self._on_rows_idle = on_rows_idle
        self._on_submitted = on_submitted

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task; dispatched requests continue on the executor."""
        self._runner.stop()
        self._mailbox.put(None)
        if self._thread.is_alive():
            self._thread.join()

    def post(self, event: CoordinatorEvent) -> None:
        """Post an event to the task, from any thread."""
        self._mailbox.put(event)

    def submit(self, exchange: Exchange) -> None:
        """Submit a request for admission, from any thread."""
        self._mailbox.put(SubmitExchange(exchange))

    def cancel(self, request_id: str) -> None:
        """Cancel a request whose caller has left, from any thread."""
        self._mailbox.put(CancelExchange(request_id))

    def request_count_by_server(self) -> dict[str, int]:
        """Return how many requests wait or run for each server, by its name."""
        return {
            name: len(coordinated.exchange_by_id)
            for name, coordinated in list(self._server_by_name.items())
        }

    def loads(self) -> dict[str, ServerLoad]:
        """Return the load and limit of each server at present."""
        return {
            name: coordinated.load()
            for name, coordinated in list(self._server_by_name.items())
        }

    def _run(self) -> None:
        next_tick = self._clock.monotonic() + TICK_INTERVAL_S
        while True:
            try:
                event = self._mailbox.get(timeout=TICK_INTERVAL_S)
                if event is None:
                    return
                self._handle_event(event)
            except queue.Empty:
                pass
            if self._clock.monotonic() >= next_tick:
                self._tick_all()
                next_tick = self._clock.monotonic() + TICK_INTERVAL_S

    def _handle_event(self, event: CoordinatorEvent) -> None:
        match event:
            case SubmitExchange(exchange):
                self._submit(exchange)
            case ExchangeEnded():
                self._on_exchange_ended(event)
            case ExchangeInterrupted(name, request_id, until):
                self._apply_event(name, Interrupted(request_id, until))
            case CancelExchange(request_id):
                self._cancel(request_id)
            case CoordinationAllowed(server, service):
                self._allow_coordination(server, service)
            case CoordinationRevoked(name):
                self._revoke_coordination(name)
            case RowsGranted(name):
                if name in self._server_by_name:
                    self._server_by_name[name].granted_rows = event
                    self._report_idle_rows(self._server_by_name[name])
            case ServerProbed(name, probe_result):
                self._apply_event(name, probe_result)
            case RowsOwned() | StandbyRoleEnded() | StandbyConnectFinished():
                self._handle_ownership_or_standby_event(event)
            case RowHandoverReceived(message):
                self._apply_handover(message)
            case StreamClosed(stream):
                for coordinated in self._server_by_name.values():
                    coordinated.deduplicator.on_stream_closed(stream)
            case ReplicationReceived():
                self._apply_replication(event)

    def _submit(self, exchange: Exchange) -> None:
        head = exchange.head
        coordinated = self._server_by_name.get(head.backend_server)
        if coordinated is None:
            exchange.refuse(
                build_retryable_refusal(ResultCode.NOT_COORDINATOR, 'another daemon does')
            )
            return
        now = self._clock.monotonic()
        if coordinated.service.divided_by_key and coordinated.find_token(head, now) is None:
            exchange.refuse(
                build_retryable_refusal(ResultCode.KEY_MOVING, 'the key is not granted to it')
            )
        elif coordinated.is_deduplicated(head):
            coordinated.deduplicator.submit(exchange)
        else:
            self.admit(exchange)

    def admit(self, exchange: Exchange) -> bool:
        """Submit the request to admission; return false if it was refused at once."""
        head = exchange.head
        coordinated = self._server_by_name[head.backend_server]
        coordinated.exchange_by_id[head.request_id] = exchange
        self._on_submitted(coordinated.service.name, head.row, head.key)
        event = Submitted(
            head.request_id,
            head.caller,
            head.key,
            exchange.deadline,
            coordinated.is_idempotent and head.complete,
            coordinated.service.kind is ServiceKind.UPLOAD,
        )
        self._apply_event(head.backend_server, event)
        return head.request_id in coordinated.exchange_by_id

    def send(self, exchange: Exchange) -> None:
        """Send a request that has a slot to its backend server."""
        self._runner.run(self._server_by_name[exchange.head.backend_server], exchange)

    def withdraw(self, exchange: Exchange) -> None:
        """Remove a request from the queue, or free the slot that it did not use."""
        head = exchange.head
        coordinated = self._server_by_name[head.backend_server]
        coordinated.exchange_by_id.pop(head.request_id, None)
        self._apply_event(head.backend_server, Withdrawn(head.request_id))
        unused = Finished(head.request_id, Outcome.NOT_SENT, 0.0)
        self._apply_event(head.backend_server, unused)

    def hand_over_row(
        self, backend_server: str, row_epoch: int, row_snapshot: RowSnapshot
    ) -> None:
        """Send the records of a row's operations to the coordinator of its next owner."""
        service = self._server_by_name[backend_server].service.name
        self._executor.submit(self._send_row_to_next_owner, service, row_epoch, row_snapshot)

    def _hand_over_to_next_coordinator(self, coordinated: CoordinatedServer) -> None:
        """Send the operation records of a server to its next coordinator, if there is one."""
        name = coordinated.server.name
        coordinator, epoch = self._find_next_lease(name)
        rows = coordinated.deduplicator.collect_handover(epoch) if coordinator else []
        if rows:
            # The sender's lease is the one before that of the next coordinator.
            self._executor.submit(self._send_rows, name, coordinator, epoch - 1, rows)

    def _send_rows(
        self, name: str, coordinator: str, epoch: int, rows: list[tuple[int, RowSnapshot]]
    ) -> None:
        stream = self._connect_peer(coordinator)
        if stream is None:
            return
        for row_epoch, row_snapshot in rows:
            for message in build_handover_messages(name, row_epoch, epoch, row_snapshot):
                stream.send(message)

    def _send_row_to_next_owner(
        self, service: str, row_epoch: int, row_snapshot: RowSnapshot
    ) -> None:
        owner, coordinator = self._find_next_owner(service, row_snapshot.row)
        stream = self._connect_peer(coordinator) if coordinator else None
        for message in build_handover_messages(owner, row_epoch, 0, row_snapshot):
            if stream is None:
                self.post(RowHandoverReceived(message))
            else:
                stream.send(message)

    def connect_standby(self, standby: str) -> None:
        """Connect to a standby, on a thread of the executor as it may block."""
        self._executor.submit(self._connect_standby, standby)

    def _connect_standby(self, standby: str) -> None:
        stream = self._connect_peer(standby)
        for name in list(self._server_by_name):
            self.post(StandbyConnectFinished(name, standby, stream))

    def _report_idle_rows(self, coordinated: CoordinatedServer) -> None:
        granted_rows = coordinated.granted_rows
        if granted_rows.stopping:
            self._on_rows_idle(granted_rows, granted_rows.stopping - coordinated.busy_rows())

    def _cancel(self, request_id: str) -> None:
        for coordinated in self._server_by_name.values():
            if coordinated.deduplicator.has_request(request_id):
                coordinated.deduplicator.on_caller_left(request_id)
                return
            if request_id in coordinated.admission.waiting:
                self.withdraw(coordinated.exchange_by_id[request_id])
                return

    def _on_exchange_ended(self, event: ExchangeEnded) -> None:
        coordinated = self._server_by_name.get(event.backend_server)
        if coordinated is None:
            return
        exchange = coordinated.exchange_by_id.get(event.request_id)
        finished = Finished(event.request_id, event.outcome, event.duration_s)
        if event.outcome is Outcome.SHED:
            # Admission dispatches the request again or refuses it.
            self._apply_event(event.backend_server, finished)
            return
        coordinated.exchange_by_id.pop(event.request_id, None)
        if exchange is not None and coordinated.is_deduplicated(exchange.head):
            coordinated.deduplicator.on_exchange_ended(event)
        self._report_idle_rows(coordinated)
        self._apply_event(event.backend_server, finished)

    def _handle_ownership_or_standby_event(
        self, event: RowsOwned | StandbyRoleEnded | StandbyConnectFinished
    ) -> None:
        if isinstance(event, StandbyRoleEnded):
            self._replication_receiver.drop(event.backend_server)
            return
        coordinated = self._server_by_name.get(event.backend_server)
        if coordinated is None:
            return
        if isinstance(event, StandbyConnectFinished):
            coordinated.deduplicator.on_standby_connect_finished(event.standby, event.stream)
            return
        if event.lease_epoch != coordinated.lease_epoch and event.lease_epoch > 1:
            # Requests of the previous coordinator may still run at the server. All slots but
            # one count as occupied by them.
            until = self._clock.monotonic() + INHERITED_REQUESTS_S
            inherited = InheritedRequests(coordinated.server.slots - 1, until)
            self._apply_event(event.backend_server, inherited)
        coordinated.lease_epoch = event.lease_epoch
        coordinated.deduplicator.apply_rows_owned(event)

    def _apply_handover(self, message: RowHandedOver) -> None:
        coordinated = self._server_by_name.get(message.backend_server)
        if coordinated is not None:
            coordinated.deduplicator.apply_handover(message)
            return
        # The handover may arrive before the update of the lease record that names this daemon.
        early_handovers = self._early_handovers_by_server.setdefault(
            message.backend_server, []
        )
        if len(early_handovers) < MAX_EARLY_HANDOVER_COUNT:
            early_handovers.append(message)

    def _apply_replication(self, event: ReplicationReceived) -> None:
        message = event.message
        if not isinstance(message, ReplicationConfirmed):
            self._replication_receiver.apply_message(event.stream, message)
            return
        coordinated = self._server_by_name.get(message.backend_server)
        if coordinated is not None:
            coordinated.deduplicator.on_replication_confirmed(
                event.stream, message.operation_id, message.replication_epoch
            )

    def _allow_coordination(self, server: BackendServer, service: Service) -> None:
        coordinated = self._server_by_name.get(server.name)
        now = self._clock.monotonic()
        if coordinated is not None and coordinated.server.address != server.address:
            self._revoke_coordination(server.name)
            coordinated = None
        if coordinated is None:
            admission = new_state(server.slots, server.connections, now)
            deduplicator = OperationDeduplicator(
                server.name, self._clock, self, self._replication_receiver.take_over
            )
            coordinated = CoordinatedServer(
                server, service, self._create_client(server), admission, deduplicator
            )
            self._server_by_name[server.name] = coordinated
            for message in self._early_handovers_by_server.pop(server.name, []):
                deduplicator.apply_handover(message)
        coordinated.server = server
        coordinated.service = service
        self._apply_event(server.name, CoordinationChanged(True))
        coordinated.deduplicator.set_may_coordinate(may_coordinate=True)
        self._apply_event(server.name, LimitsChanged(server.slots, server.connections))
        self._apply_event(server.name, DrainChanged(server.state is State.OUT))

    def _revoke_coordination(self, name: str) -> None:
        if name not in self._server_by_name:
            return
        self._apply_event(name, CoordinationChanged(False))
        coordinated = self._server_by_name[name]
        coordinated.deduplicator.set_may_coordinate(may_coordinate=False)
        coordinated.granted_rows = RowsGranted(name)

    def _tick_all(self) -> None:
        for name, coordinated in list(self._server_by_name.items()):
            self._report_idle_rows(coordinated)
            if not coordinated.admission.may_coordinate and not coordinated.exchange_by_id:
                # No request can change the records any more.
                self._hand_over_to_next_coordinator(coordinated)
            self._apply_event(name, Tick())
            coordinated.deduplicator.tick()
        self._replication_receiver.tick()

    def _apply_event(self, name: str, event: Event) -> None:
        coordinated = self._server_by_name.get(name)
        if coordinated is None:
            return
        now = self._clock.monotonic()
        coordinated.admission, effects = handle(coordinated.admission, event, now)
        for effect in effects:
            self._execute(coordinated, effect)

    def _execute(self, coordinated: CoordinatedServer, effect: Effect) -> None:
        match effect:
            case AssignSlot(request_id):
                exchange = coordinated.exchange_by_id[request_id]
                if coordinated.is_deduplicated(exchange.head):
                    coordinated.deduplicator.on_slot_assigned(exchange)
                else:
                    self._runner.run(coordinated, exchange)
            case Refuse(request_id, refusal):
                exchange = coordinated.exchange_by_id.pop(request_id)
                exchange.refuse(refusal)
                if coordinated.is_deduplicated(exchange.head):
                    coordinated.deduplicator.on_refused(exchange, refusal)


def _do_nothing(*_: object) -> None:
    """Ignore a call, until listeners are set."""
