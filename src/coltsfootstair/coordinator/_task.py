"""The task that admits, dispatches and answers requests for coordinated servers."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

from coltsfootstair.admission import (
    Abandoned,
    Cancelled,
    CoordinationChanged,
    Dispatch,
    DrainChanged,
    Finished,
    InheritedRequests,
    LimitsChanged,
    Outcome,
    Refuse,
    Submitted,
    Tick,
    handle,
    new_state,
)
from coltsfootstair.coordinator._messages import (
    CancelExchange,
    ExchangeEnded,
    ExchangeLost,
    NotesReceived,
    RightsGiven,
    RightsTaken,
    RowReceived,
    RowsGranted,
    RowsOwned,
    ServerLoad,
    ServerObserved,
    StandbyLinked,
    StandbySeen,
    StreamClosed,
    SubmitExchange,
)
from coltsfootstair.coordinator._notes import NotesDesk, portions
from coltsfootstair.coordinator._operations import OperationKeeper
from coltsfootstair.coordinator._runner import ExchangeRunner, not_run
from coltsfootstair.coordinator._server import CoordinatedServer
from coltsfootstair.document import ServiceKind, State
from coltsfootstair.inner import NoteConfirmed
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
    from coltsfootstair.inner import RowHanded, Stream
    from coltsfootstair.operations import RowSnapshot

__all__ = ['Coordinator']

TICK_S = 0.02
"""How often queues are looked through for requests past their deadline, in seconds."""

EARLY_ROWS_MAX = 4096
"""Rows of one server that are kept for a lease that is not known of yet."""

LEFTOVER_S = 2.0
"""How long requests of a lost coordinator are held to run on, in seconds."""


class Coordinator:
    """Owns the admission state of each server that this daemon coordinates.

    :param is_fresh: whether the document in force may still be relied on
    :param next_owner: tells the next or present owner of a service's row, and which other
        daemon coordinates it, if one does
    :param next_lease: tells which other daemon coordinates a server, and the lease's epoch
    :param open_stream: opens an inner stream to a daemon by its name; may block
    """

    def __init__(
        self,
        clock: Clock,
        executor: Executor,
        open_port: Callable[[BackendServer], BackendServerPort],
        is_fresh: Callable[[], bool],
        open_stream: Callable[[str], Stream | None],
        next_owner: Callable[[str, int], tuple[str, str]],
        next_lease: Callable[[str], tuple[str, int]],
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._open_port = open_port
        self._open_stream = open_stream
        self._next_owner = next_owner
        self._next_lease = next_lease
        self._runner = ExchangeRunner(clock, executor, self.tell, is_fresh)
        self._notes = NotesDesk(clock)
        self._mailbox: queue.SimpleQueue[CoordinatorEvent | None] = queue.SimpleQueue()
        self._server_by_name: dict[str, CoordinatedServer] = {}
        self._early_rows_by_server: dict[str, list[RowHanded]] = {}
        self._rows_idle: Callable[[RowsGranted, frozenset[int]], None] = _ignore
        self._admitted: Callable[[str, int, str], None] = _ignore
        self._thread = threading.Thread(target=self._run, name='coordinator', daemon=True)

    def listen(
        self,
        rows_idle: Callable[[RowsGranted, frozenset[int]], None],
        admitted: Callable[[str, int, str], None],
    ) -> None:
        """Tell of rows that stopped, and of requests taken in, on this task's thread.

        :param rows_idle: takes what was granted and the rows that nothing runs for
        :param admitted: takes a service, a row and a key
        """
        self._rows_idle = rows_idle
        self._admitted = admitted

    def start(self) -> None:
        """Begin to take events."""
        self._thread.start()

    def stop(self) -> None:
        """End the task; what is dispatched goes on in the executor."""
        self._runner.stop()
        self._mailbox.put(None)
        if self._thread.is_alive():
            self._thread.join()

    def tell(self, event: CoordinatorEvent) -> None:
        """Give the task an event, from any thread."""
        self._mailbox.put(event)

    def submit(self, exchange: Exchange) -> None:
        """Ask for a request to be admitted, from any thread."""
        self._mailbox.put(SubmitExchange(exchange))

    def cancel(self, request_id: str) -> None:
        """Say that the caller of a request has gone, from any thread."""
        self._mailbox.put(CancelExchange(request_id))

    def in_flight_by_server(self) -> dict[str, int]:
        """Return how many requests each server is held to work on, for reports."""
        return {
            name: len(coordinated.exchange_by_id)
            for name, coordinated in list(self._server_by_name.items())
        }

    def loads(self) -> dict[str, ServerLoad]:
        """Return what each server is given at present, for reports."""
        return {
            name: coordinated.load()
            for name, coordinated in list(self._server_by_name.items())
        }

    def _run(self) -> None:
        next_tick = self._clock.monotonic() + TICK_S
        while True:
            try:
                event = self._mailbox.get(timeout=TICK_S)
                if event is None:
                    return
                self._take(event)
            except queue.Empty:
                pass
            if self._clock.monotonic() >= next_tick:
                self._tick_all()
                next_tick = self._clock.monotonic() + TICK_S

    def _take(self, event: CoordinatorEvent) -> None:
        match event:
            case SubmitExchange(exchange):
                self._submit(exchange)
            case ExchangeEnded():
                self._ended(event)
            case ExchangeLost(name, request_id, until):
                self._decide(name, Abandoned(request_id, until))
            case CancelExchange(request_id):
                self._cancel(request_id)
            case RightsGiven(server, service):
                self._give_rights(server, service)
            case RightsTaken(name):
                self._take_rights(name)
            case RowsGranted(name):
                if name in self._server_by_name:
                    self._server_by_name[name].granted = event
                    self._report_idle(self._server_by_name[name])
            case ServerObserved(name, observed):
                self._decide(name, observed)
            case RowsOwned() | StandbySeen() | StandbyLinked():
                self._follow(event)
            case RowReceived(message):
                self._receive_row(message)
            case StreamClosed(stream):
                for coordinated in self._server_by_name.values():
                    coordinated.keeper.stream_closed(stream)
            case NotesReceived():
                self._take_note(event)

    def _submit(self, exchange: Exchange) -> None:
        head = exchange.head
        coordinated = self._server_by_name.get(head.backend_server)
        if coordinated is None:
            exchange.refuse(not_run(ResultCode.NOT_COORDINATOR, 'another daemon does'))
            return
        now = self._clock.monotonic()
        if coordinated.service.divided_by_key and coordinated.token(head, now) is None:
            exchange.refuse(not_run(ResultCode.KEY_MOVING, 'the key is not granted to it'))
        elif coordinated.remembers(head):
            coordinated.keeper.ask(exchange)
        else:
            self.admit(exchange)

    def admit(self, exchange: Exchange) -> bool:
        """Ask for a slot; false if the request was refused at once."""
        head = exchange.head
        coordinated = self._server_by_name[head.backend_server]
        coordinated.exchange_by_id[head.request_id] = exchange
        self._admitted(coordinated.service.name, head.slot, head.key)
        event = Submitted(
            head.request_id,
            head.caller,
            head.key,
            exchange.deadline,
            coordinated.idempotent and head.complete,
            coordinated.service.kind is ServiceKind.UPLOAD,
        )
        self._decide(head.backend_server, event)
        return head.request_id in coordinated.exchange_by_id

    def send(self, exchange: Exchange) -> None:
        """Send a request that has a slot and needs nothing more."""
        self._runner.run(self._server_by_name[exchange.head.backend_server], exchange)

    def withdraw(self, exchange: Exchange) -> None:
        """Take a request out of the queue, or give its unused slot back."""
        head = exchange.head
        coordinated = self._server_by_name[head.backend_server]
        coordinated.exchange_by_id.pop(head.request_id, None)
        self._decide(head.backend_server, Cancelled(head.request_id))
        unused = Finished(head.request_id, Outcome.NOT_SENT, 0.0)
        self._decide(head.backend_server, unused)

    def hand_over(self, backend_server: str, row_epoch: int, record: RowSnapshot) -> None:
        """Pass what is known of a row's operations to its next owner's coordinator."""
        service = self._server_by_name[backend_server].service.name
        self._executor.submit(self._hand_over, service, row_epoch, record)

    def _leave(self, coordinated: CoordinatedServer) -> None:
        """Give the next coordinator of a server what this one knows of its operations."""
        name = coordinated.server.name
        coordinator, epoch = self._next_lease(name)
        rows = coordinated.keeper.leave(epoch) if coordinator else []
        if rows:
            self._executor.submit(self._give_rows, name, coordinator, epoch - 1, rows)

    def _give_rows(
        self, name: str, coordinator: str, epoch: int, rows: list[tuple[int, RowSnapshot]]
    ) -> None:
        stream = self._open_stream(coordinator)
        if stream is None:
            return
        for row_epoch, record in rows:
            for message in portions(name, row_epoch, epoch, record):
                stream.send(message)

    def _hand_over(self, service: str, row_epoch: int, record: RowSnapshot) -> None:
        owner, coordinator = self._next_owner(service, record.row)
        stream = self._open_stream(coordinator) if coordinator else None
        for message in portions(owner, row_epoch, 0, record):
            if stream is None:
                self.tell(RowReceived(message))
            else:
                stream.send(message)

    def link(self, standby: str) -> None:
        """Open the way to a standby on a thread that may block."""
        self._executor.submit(self._link, standby)

    def _link(self, standby: str) -> None:
        stream = self._open_stream(standby)
        for name in list(self._server_by_name):
            self.tell(StandbyLinked(name, standby, stream))

    def _report_idle(self, coordinated: CoordinatedServer) -> None:
        granted = coordinated.granted
        if granted.stopping:
            self._rows_idle(granted, granted.stopping - coordinated.busy_rows())

    def _cancel(self, request_id: str) -> None:
        for coordinated in self._server_by_name.values():
            if coordinated.keeper.holds(request_id):
                coordinated.keeper.gone(request_id)
                return
            if request_id in coordinated.admission.waiting:
                self.withdraw(coordinated.exchange_by_id[request_id])
                return

    def _ended(self, event: ExchangeEnded) -> None:
        coordinated = self._server_by_name.get(event.backend_server)
        if coordinated is None:
            return
        exchange = coordinated.exchange_by_id.get(event.request_id)
        finished = Finished(event.request_id, event.outcome, event.seconds)
        if event.outcome is Outcome.SHED:
            self._decide(event.backend_server, finished)
            return
        coordinated.exchange_by_id.pop(event.request_id, None)
        if exchange is not None and coordinated.remembers(exchange.head):
            coordinated.keeper.ended(event)
        self._report_idle(coordinated)
        self._decide(event.backend_server, finished)

    def _follow(self, event: RowsOwned | StandbySeen | StandbyLinked) -> None:
        if isinstance(event, StandbySeen):
            self._notes.drop(event.backend_server)
            return
        coordinated = self._server_by_name.get(event.backend_server)
        if coordinated is None:
            return
        if isinstance(event, StandbyLinked):
            coordinated.keeper.linked(event.standby, event.stream)
            return
        if event.lease_epoch != coordinated.lease_epoch and event.lease_epoch > 1:
            until = self._clock.monotonic() + LEFTOVER_S
            leftover = InheritedRequests(coordinated.server.slots - 1, until)
            self._decide(event.backend_server, leftover)
        coordinated.lease_epoch = event.lease_epoch
        coordinated.keeper.owned(event)

    def _receive_row(self, message: RowHanded) -> None:
        coordinated = self._server_by_name.get(message.backend_server)
        if coordinated is not None:
            coordinated.keeper.handed(message)
            return
        # The row may come before the update of the lease that it belongs to.
        early = self._early_rows_by_server.setdefault(message.backend_server, [])
        if len(early) < EARLY_ROWS_MAX:
            early.append(message)

    def _take_note(self, event: NotesReceived) -> None:
        message = event.message
        if not isinstance(message, NoteConfirmed):
            self._notes.take(event.stream, message)
            return
        coordinated = self._server_by_name.get(message.backend_server)
        if coordinated is not None:
            coordinated.keeper.noted(event.stream, message.operation_id, message.epoch)

    def _give_rights(self, server: BackendServer, service: Service) -> None:
        coordinated = self._server_by_name.get(server.name)
        now = self._clock.monotonic()
        if coordinated is not None and coordinated.server.address != server.address:
            self._take_rights(server.name)
            coordinated = None
        if coordinated is None:
            admission = new_state(server.slots, server.connections, now)
            keeper = OperationKeeper(server.name, self._clock, self, self._notes.take_over)
            coordinated = CoordinatedServer(
                server, service, self._open_port(server), admission, keeper
            )
            self._server_by_name[server.name] = coordinated
            for message in self._early_rows_by_server.pop(server.name, []):
                keeper.handed(message)
        coordinated.server = server
        coordinated.service = service
        self._decide(server.name, CoordinationChanged(True))
        coordinated.keeper.rights(may_coordinate=True)
        self._decide(server.name, LimitsChanged(server.slots, server.connections))
        self._decide(server.name, DrainChanged(server.state is State.OUT))

    def _take_rights(self, name: str) -> None:
        if name not in self._server_by_name:
            return
        self._decide(name, CoordinationChanged(False))
        coordinated = self._server_by_name[name]
        coordinated.keeper.rights(may_coordinate=False)
        coordinated.granted = RowsGranted(name)

    def _tick_all(self) -> None:
        for name, coordinated in list(self._server_by_name.items()):
            self._report_idle(coordinated)
            if not coordinated.admission.may_coordinate and not coordinated.exchange_by_id:
                self._leave(coordinated)
            self._decide(name, Tick())
            coordinated.keeper.tick()
        self._notes.tick()

    def _decide(self, name: str, event: Event) -> None:
        coordinated = self._server_by_name.get(name)
        if coordinated is None:
            return
        now = self._clock.monotonic()
        coordinated.admission, effects = handle(coordinated.admission, event, now)
        for effect in effects:
            self._carry_out(coordinated, effect)

    def _carry_out(self, coordinated: CoordinatedServer, effect: Effect) -> None:
        match effect:
            case Dispatch(request_id):
                exchange = coordinated.exchange_by_id[request_id]
                if coordinated.remembers(exchange.head):
                    coordinated.keeper.granted(exchange)
                else:
                    self._runner.run(coordinated, exchange)
            case Refuse(request_id, refusal):
                exchange = coordinated.exchange_by_id.pop(request_id)
                exchange.refuse(refusal)
                if coordinated.remembers(exchange.head):
                    coordinated.keeper.refused(exchange, refusal)


def _ignore(*_: object) -> None:
    """Stand in for a listener."""
