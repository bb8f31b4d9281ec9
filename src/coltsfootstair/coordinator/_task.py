"""The task that admits, dispatches and answers requests for coordinated servers."""

from __future__ import annotations

import queue
import threading
from typing import TYPE_CHECKING

import structlog

from coltsfootstair.admission import handle, new_state
from coltsfootstair.admission._messages import (
    Cancelled,
    Dispatch,
    DrainChanged,
    Finished,
    LimitsChanged,
    Outcome,
    Refuse,
    RightsChanged,
    Submitted,
    Tick,
)
from coltsfootstair.coordinator._exchange import BodyCutError, Exchange, ShedError
from coltsfootstair.coordinator._messages import (
    CancelExchange,
    ExchangeEnded,
    RightsGiven,
    RightsTaken,
    RowsGranted,
    ServerLoad,
    ServerObserved,
    SubmitExchange,
)
from coltsfootstair.document import ServiceKind, State
from coltsfootstair.errors import CallFailedError
from coltsfootstair.ownership import REQUEST_LIMIT_S, SLOTS_PER_TABLE
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor

    from coltsfootstair.admission import AdmissionState
    from coltsfootstair.admission._messages import Effect, Event
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator._messages import CoordinatorEvent
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.inner import RequestHead

__all__ = ['Coordinator']

logger = structlog.get_logger()

TICK_S = 0.02
"""How often queues are looked through for requests past their deadline, in seconds."""

RETRY_SOON_S = 0.2
"""When a caller may come back after a change of coordinator, in seconds."""


class CoordinatedServer:
    """What the coordinator knows of one backend server."""

    def __init__(
        self,
        server: BackendServer,
        service: Service,
        port: BackendServerPort,
        admission: AdmissionState,
    ) -> None:
        self.server = server
        self.service = service
        self.port = port
        self.admission = admission
        self.exchange_by_id: dict[str, Exchange] = {}
        self.granted = RowsGranted(server.name)

    @property
    def idempotent(self) -> bool:
        """Whether requests of the service may be repeated."""
        return self.service.kind is ServiceKind.LOOKUP


class Coordinator:
    """Owns the admission state of each server that this daemon coordinates.

    :param is_fresh: whether the document in force may still be relied on
    """

    def __init__(
        self,
        clock: Clock,
        executor: Executor,
        open_port: Callable[[BackendServer], BackendServerPort],
        is_fresh: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._is_fresh = is_fresh
        self._executor = executor
        self._open_port = open_port
        self._mailbox: queue.SimpleQueue[CoordinatorEvent | None] = queue.SimpleQueue()
        self._server_by_name: dict[str, CoordinatedServer] = {}
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
            name: _load(coordinated.admission)
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
            case ExchangeEnded(name, request_id, outcome, seconds):
                self._ended(name, Finished(request_id, outcome, seconds))
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

    def _submit(self, exchange: Exchange) -> None:
        head = exchange.head
        coordinated = self._server_by_name.get(head.backend_server)
        if coordinated is None:
            exchange.refuse(
                _not_run(ResultCode.NOT_COORDINATOR, 'another daemon coordinates it')
            )
            return
        if coordinated.service.divided_by_key and self._token(coordinated, head) is None:
            exchange.refuse(_not_run(ResultCode.KEY_MOVING, 'the key is not granted to it'))
            return
        coordinated.exchange_by_id[head.request_id] = exchange
        self._admitted(coordinated.service.name, head.slot, head.key)
        event = Submitted(
            head.request_id,
            head.caller,
            head.key,
            exchange.deadline,
            coordinated.idempotent,
            coordinated.service.kind is ServiceKind.UPLOAD,
        )
        self._decide(head.backend_server, event)

    def _token(self, coordinated: CoordinatedServer, head: RequestHead) -> int | None:
        granted = coordinated.granted
        if self._clock.monotonic() >= granted.valid_until:
            return None
        # A hot key belongs to its own row only, and that row to no other key.
        hot_row = granted.hot_row_by_key.get(head.key)
        if hot_row != (head.slot if head.slot >= SLOTS_PER_TABLE else None):
            return None
        return granted.token_by_row.get(head.slot)

    def _report_idle(self, coordinated: CoordinatedServer) -> None:
        granted = coordinated.granted
        if not granted.stopping:
            return
        heads = [exchange.head for exchange in coordinated.exchange_by_id.values()]
        busy = {head.slot for head in heads}
        busy |= {granted.hot_row_by_key.get(head.key, head.slot) for head in heads}
        self._rows_idle(granted, granted.stopping - busy)

    def _cancel(self, request_id: str) -> None:
        for name, coordinated in self._server_by_name.items():
            if request_id in coordinated.exchange_by_id:
                self._decide(name, Cancelled(request_id))

    def _ended(self, name: str, finished: Finished) -> None:
        coordinated = self._server_by_name.get(name)
        if coordinated is None:
            return
        coordinated.exchange_by_id.pop(finished.request_id, None)
        self._report_idle(coordinated)
        self._decide(name, finished)

    def _give_rights(self, server: BackendServer, service: Service) -> None:
        coordinated = self._server_by_name.get(server.name)
        now = self._clock.monotonic()
        if coordinated is not None and coordinated.server.address != server.address:
            self._take_rights(server.name)
            coordinated = None
        if coordinated is None:
            admission = new_state(server.slots, server.connections, now)
            coordinated = CoordinatedServer(
                server, service, self._open_port(server), admission
            )
            self._server_by_name[server.name] = coordinated
        coordinated.server = server
        coordinated.service = service
        self._decide(server.name, RightsChanged(True))
        self._decide(server.name, LimitsChanged(server.slots, server.connections))
        self._decide(server.name, DrainChanged(server.state is State.OUT))

    def _take_rights(self, name: str) -> None:
        if name not in self._server_by_name:
            return
        self._decide(name, RightsChanged(False))
        coordinated = self._server_by_name[name]
        coordinated.granted = RowsGranted(name)

    def _tick_all(self) -> None:
        for name in list(self._server_by_name):
            self._report_idle(self._server_by_name[name])
            self._decide(name, Tick())

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
                self._executor.submit(self._dispatch, coordinated, exchange)
            case Refuse(request_id, refusal):
                exchange = coordinated.exchange_by_id.pop(request_id)
                exchange.refuse(refusal)

    def _dispatch(self, coordinated: CoordinatedServer, exchange: Exchange) -> None:
        started = self._clock.monotonic()
        try:
            outcome = self._exchange(coordinated, exchange)
        except Exception:
            logger.exception('exchange failed', request_id=exchange.head.request_id)
            exchange.refuse(_unknown('the daemon failed during the exchange'))
            outcome = Outcome.FAILED
        seconds = self._clock.monotonic() - started
        name = coordinated.server.name
        self.tell(ExchangeEnded(name, exchange.head.request_id, outcome, seconds))

    def _exchange(self, coordinated: CoordinatedServer, exchange: Exchange) -> Outcome:
        """Run the exchange on an executor's thread and say how it ended."""
        divided = coordinated.service.divided_by_key
        token = self._token(coordinated, exchange.head) if divided else None
        if divided and token is None:
            exchange.refuse(_not_run(ResultCode.KEY_MOVING, 'the grant has lapsed'))
            return Outcome.NOT_SENT
        if self._clock.monotonic() >= coordinated.granted.valid_until:
            exchange.refuse(_not_run(ResultCode.NOT_COORDINATOR, 'the lease has lapsed'))
            return Outcome.NOT_SENT
        if divided:
            exchange.limit(REQUEST_LIMIT_S)
        if not self._is_fresh():
            exchange.refuse(_not_run(ResultCode.DOCUMENT_STALE, 'the document may be old'))
            return Outcome.NOT_SENT
        request = exchange.request(_control_headers(coordinated, exchange, token))
        try:
            coordinated.port.exchange(request, exchange)
        except ShedError as error:
            exchange.refuse(_not_run(ResultCode.SHED, str(error)))
            return Outcome.SHED
        except BodyCutError as error:
            exchange.refuse(Refusal(ResultCode.BODY_CUT, Ran.UNKNOWN, str(error)))
            return Outcome.FAILED
        except CallFailedError as error:
            return _failed(exchange, error)
        return Outcome.ANSWERED


def _load(admission: AdmissionState) -> ServerLoad:
    limit = admission.limit
    if admission.draining:
        phase = 'draining' if admission.occupied else 'drained'
    elif not admission.may_act:
        phase = 'not granted'
    else:
        phase = 'warm' if limit >= admission.slots else 'ramping'
    return ServerLoad(phase, admission.occupied, len(admission.waiting), limit)


def _ignore(*_: object) -> None:
    """Stand in for a listener."""


def _failed(exchange: Exchange, error: CallFailedError) -> Outcome:
    if not error.dispatched:
        exchange.refuse(_not_run(ResultCode.NO_OWNER, 'the backend server can not be reached'))
        return Outcome.NOT_SENT
    if exchange.answer_started:
        exchange.refuse(Refusal(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN, str(error)))
    else:
        exchange.refuse(_unknown(str(error)))
    return Outcome.FAILED


def _not_run(code: ResultCode, detail: str) -> Refusal:
    return Refusal(code, Ran.NO, detail, RETRY_SOON_S)


def _unknown(detail: str) -> Refusal:
    return Refusal(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)


def _control_headers(
    coordinated: CoordinatedServer, exchange: Exchange, token: int | None
) -> list[tuple[str, str]]:
    head = exchange.head
    headers = [
        ('Coltsfootstair-Request-Id', head.request_id),
        ('Coltsfootstair-Service', coordinated.service.name),
        ('Coltsfootstair-Kind', coordinated.service.kind.value),
        ('Coltsfootstair-Deadline-Ms', str(int(exchange.remaining_s() * 1000))),
    ]
    if head.key:
        headers.append(('Coltsfootstair-Key', head.key))
    if head.operation_id:
        headers.append(('Idempotency-Key', head.operation_id))
    if token is not None:
        headers.append(('Coltsfootstair-Slot', str(head.slot)))
        headers.append(('Coltsfootstair-Token', str(token)))
    return headers
