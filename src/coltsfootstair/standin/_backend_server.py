"""A backend server that honestly records what it was given."""

from __future__ import annotations

import threading
import uuid
from typing import TYPE_CHECKING

import msgspec

from coltsfootstair.clock import Clock, SystemClock
from coltsfootstair.standin._content import (
    ECHO_LIMIT_BYTES,
    Content,
    is_upload,
    new_truth,
    read,
)
from coltsfootstair.standin._faults import BackendServerFault
from coltsfootstair.standin._grants import GrantBook, GrantOrder, Range, is_allowed
from coltsfootstair.standin._http import BodyCutError, Exchange, HttpServer
from coltsfootstair.standin._workload import Connections, Task, Workload

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import BackendServerTruth, RequestTruth

__all__ = ['BackendServerStandin']

CANCEL_WAIT_S = 0.05
CLIENT_CLOSED_STATUS = 499
MS_PER_S = 1000.0


class _CancelOrder(msgspec.Struct):
    request_id: str


class BackendServerStandin:
    """One backend server on a listening address.

    :param listen: ``IP:PORT``; port 0 takes a free one
    :param service_ms: milliseconds that a request takes
    :param fencing: whether it refuses requests whose token is not granted
    """

    def __init__(
        self,
        listen: str,
        name: str,
        data_centre: str,
        *,
        slots: int = 4,
        connections: int = 110,
        service_ms: float = 5.0,
        fencing: bool = True,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.fencing = fencing
        self.instance = uuid.uuid4().hex
        self._service_s = service_ms / MS_PER_S
        self._clock = clock or SystemClock()
        self._workload = Workload(slots)
        self._connections = Connections(connections)
        self._grants = GrantBook()
        self._requests: list[RequestTruth] = []
        self._refused: list[RequestTruth] = []
        self._lock = threading.Lock()
        self._thawed = threading.Event()
        self._thawed.set()
        self._fault = BackendServerFault(slow_ms=0.0)
        self._dropped = 0
        self._stopped = False
        self._server = HttpServer(listen, self)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        return self._server.address

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Be lost: close every connection and end what runs."""
        self._stopped = True
        self._server.stop()
        self._workload.stop_all(CLIENT_CLOSED_STATUS)
        self._thawed.set()

    def set_fault(self, change: BackendServerFault) -> None:
        """Show the faults of ``change`` from now on."""
        for name in change.__struct_fields__:
            if (value := getattr(change, name)) is not None:
                setattr(self._fault, name, value)
        if change.cold is not None:
            self._workload.set_cold(change.cold)
        if change.freeze is not None:
            (self._thawed.clear if change.freeze else self._thawed.set)()

    def truth(self) -> BackendServerTruth:
        """Return what it has seen so far."""
        with self._lock:
            return {
                'name': self.name,
                'requests': [entry.copy() for entry in self._requests],
                'refused': [entry.copy() for entry in self._refused],
                'max_in_flight': self._workload.max_in_flight,
                'max_connections': self._connections.maximum,
                'beyond_cold': self._workload.beyond_cold,
                'grants': self._grants.truth(self._clock.monotonic()),
            }

    def connected(self, connection: int) -> None:
        """Note a connection."""
        self._connections.opened(connection, self._clock.monotonic())

    def disconnected(self, connection: int) -> None:
        """Forget a connection."""
        self._connections.closed(connection)

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        match exchange.method, exchange.path:
            case 'GET', '/-/truth':
                self._connections.exempt(exchange.connection)
                exchange.answer_json(200, self.truth())
                return
            case 'POST', '/-/fault':
                self._connections.exempt(exchange.connection)
                self._take_fault(exchange)
                return
        if not self._connections.use(exchange.connection, self._clock.monotonic()):
            exchange.drop()
            return
        self._thawed.wait()
        if self._stopped:
            exchange.drop()
            return
        match exchange.method, exchange.path:
            case 'GET', '/-/health':
                self._answer_health(exchange)
            case 'POST', '/-/grants':
                self._take_grants(exchange)
            case 'POST', '/-/cancel':
                self._cancel(exchange)
            case _, path if path.startswith('/-/'):
                exchange.answer(404)
            case _:
                self._request(exchange)

    def _take_fault(self, exchange: Exchange) -> None:
        try:
            change = msgspec.json.decode(exchange.body() or b'', type=BackendServerFault)
        except msgspec.MsgspecError as error:
            exchange.answer_json(400, {'error': str(error)})
            return
        self.set_fault(change)
        exchange.answer_json(200, {})

    def _answer_health(self, exchange: Exchange) -> None:
        lies = self._fault.load_report == 'lie'
        in_flight = 0 if lies else self._workload.in_flight
        health = {
            'instance': self.instance,
            'clock': self._clock.monotonic(),
            'load': in_flight / self._workload.slots,
            'cold': self._workload.cold and not lies,
            'in_flight': in_flight,
        }
        exchange.answer_json(200, health)

    def _take_grants(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body() or b'', type=GrantOrder)
            ranges = [Range(*entry) for entry in order.ranges]
        except msgspec.MsgspecError as error:
            exchange.answer_json(400, {'error': str(error)})
            return
        if not all(is_allowed(part) for part in ranges):
            exchange.answer_json(400, {'error': 'ranges must be [first, last, token]'})
            return
        now = self._clock.monotonic()
        with self._lock:
            refused = self.fencing and (
                order.instance != self.instance or self._grants.stale(ranges)
            )
            if not refused:
                self._grants.apply(ranges, order.until, now)
        status = 409 if refused else 200
        exchange.answer_json(status, {'clock': now, 'instance': self.instance})

    def _cancel(self, exchange: Exchange) -> None:
        try:
            order = msgspec.json.decode(exchange.body() or b'', type=_CancelOrder)
        except msgspec.MsgspecError as error:
            exchange.answer_json(400, {'error': str(error)})
            return
        found, running = self._workload.cancel(
            order.request_id, CLIENT_CLOSED_STATUS, CANCEL_WAIT_S
        )
        exchange.answer_json(200, {'cancelled': found, 'running': running})

    def _request(self, exchange: Exchange) -> None:
        truth = new_truth(exchange, self._clock.monotonic())
        if self._fault.shed:
            self._refuse(exchange, truth, 503, 'overload')
            return
        if not self._granted(truth):
            self._refuse(exchange, truth, 412, 'not-granted')
            return
        task = Task(truth)
        self._workload.arrive(task)
        try:
            self._workload.take_slot(task)
            if task.failure == CLIENT_CLOSED_STATUS:
                self._refuse(exchange, truth, CLIENT_CLOSED_STATUS, 'cancelled')
                return
            if not self._granted(truth):
                task.failure = 412
                self._refuse(exchange, truth, 412, 'not-granted')
                return
            with self._lock:
                self._requests.append(truth)
            content = self._serve(exchange, task)
            truth['status'] = task.failure or 200
        finally:
            truth['end'] = self._clock.monotonic()
            self._workload.leave(task)
        self._answer(exchange, truth, content)

    def _serve(self, exchange: Exchange, task: Task) -> Content:
        try:
            content = read(exchange, task.truth)
        except (BodyCutError, OSError):
            task.stop(400)
            task.truth['status'] = 400
            raise
        crowd = max(1.0, self._workload.in_flight / self._workload.slots)
        slow_s = (self._fault.slow_ms or 0.0) / MS_PER_S
        task.stopped.wait(self._service_s * crowd + slow_s)
        self._thawed.wait()
        return content

    def _answer(self, exchange: Exchange, truth: RequestTruth, content: Content) -> None:
        headers = {'Served-By': self.name}
        if truth['key']:
            headers['Coltsfootstair-Key'] = truth['key']
        body = b'' if truth['status'] != 200 else content.head
        if truth['status'] == 200 and is_upload(exchange, content):
            headers['Content-Type'] = 'application/json'
            body = msgspec.json.encode({'bytes': content.length, 'sha256': content.sha256})
        elif 'Content-Type' in exchange.headers:
            headers['Content-Type'] = exchange.headers['Content-Type']
        if not self._fault.drop_answers:
            exchange.answer(truth['status'] or 500, body, headers)
            return
        self._dropped += 1
        if self._dropped % 2:
            exchange.drop()
        else:
            exchange.answer(truth['status'] or 500, body, headers, send_bytes=len(body) // 2)

    def _refuse(
        self, exchange: Exchange, truth: RequestTruth, status: int, reason: str
    ) -> None:
        truth['status'] = status
        truth['end'] = self._clock.monotonic()
        with self._lock:
            self._refused.append(truth)
        headers = {'Served-By': self.name, 'Coltsfootstair-Shed': reason}
        exchange.body(ECHO_LIMIT_BYTES)
        exchange.answer(status, b'', headers)

    def _granted(self, truth: RequestTruth) -> bool:
        slot = truth['slot']
        if not self.fencing or slot is None:
            return True
        with self._lock:
            return self._grants.allows(slot, truth['token'], self._clock.monotonic())
