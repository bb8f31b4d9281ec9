"""Stand-in of a backend server, which records every request that it receives."""

from __future__ import annotations

import threading
import uuid
from typing import TYPE_CHECKING

import msgspec

from coltsfootstair.clock import Clock, SystemClock
from coltsfootstair.standin._content import (
    ECHO_LIMIT_BYTES,
    Content,
    build_request_truth,
    is_answered_with_digest,
    read_content,
)
from coltsfootstair.standin._faults import BackendServerFault
from coltsfootstair.standin._grants import (
    GrantCall,
    GrantedRange,
    ReceivedGrants,
    is_valid_range,
)
from coltsfootstair.standin._http import BodyTruncatedError, Exchange, HttpServer
from coltsfootstair.standin._workload import Connections, Task, Workload

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import BackendServerTruth, RequestTruth

__all__ = ['BackendServerStandin']

CANCEL_WAIT_S = 0.05
"""Longest wait for the end of a cancelled request, in seconds."""

CANCELLED_STATUS = 499
"""Recorded status of a request that was cancelled, or aborted when the server stopped."""

MS_PER_S = 1000.0


class _CancelCall(msgspec.Struct):
    request_id: str


class BackendServerStandin:
    """One backend server on a listening address.

    :param listen: ``IP:PORT``; port 0 selects a free port
    :param slots: number of requests that run at once; further ones wait
    :param connections: maximum number of connections that are served
    :param service_ms: milliseconds that a request takes; proportionally longer while more
        requests are in flight than there are slots
    :param checks_grants: whether requests whose token is not granted are refused
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
        checks_grants: bool = True,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.checks_grants = checks_grants
        self.instance = uuid.uuid4().hex
        self._service_s = service_ms / MS_PER_S
        self._clock = clock or SystemClock()
        self._workload = Workload(slots)
        self._connections = Connections(connections)
        self._grants = ReceivedGrants()
        self._requests: list[RequestTruth] = []
        self._refused: list[RequestTruth] = []
        self._lock = threading.Lock()
        # Set while the server is not frozen.
        self._unfrozen = threading.Event()
        self._unfrozen.set()
        self._faults = BackendServerFault(slow_ms=0.0)
        self._dropped_count = 0
        self._is_stopped = False
        self._server = HttpServer(listen, self)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        return self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop without draining: close every connection and abort running requests."""
        self._is_stopped = True
        self._server.stop()
        self._workload.stop_all(CANCELLED_STATUS)
        self._unfrozen.set()

    def set_fault(self, change: BackendServerFault) -> None:
        """Apply a change of the injected faults."""
        for name in change.__struct_fields__:
            if (value := getattr(change, name)) is not None:
                setattr(self._faults, name, value)
        if change.cold is not None:
            self._workload.set_cold(change.cold)
        if change.freeze is not None:
            (self._unfrozen.clear if change.freeze else self._unfrozen.set)()

    def get_truth(self) -> BackendServerTruth:
        """Return all that has been recorded so far."""
        with self._lock:
            return {
                'name': self.name,
                'requests': [entry.copy() for entry in self._requests],
                'refused': [entry.copy() for entry in self._refused],
                'max_in_flight': self._workload.max_in_flight,
                'max_connections': self._connections.max_count,
                'beyond_cold': self._workload.beyond_cold,
                'grants': self._grants.get_truth(self._clock.monotonic()),
            }

    def on_connected(self, connection_number: int) -> None:
        """Register a new connection."""
        self._connections.on_opened(connection_number, self._clock.monotonic())

    def on_disconnected(self, connection_number: int) -> None:
        """Remove a closed connection."""
        self._connections.on_closed(connection_number)

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        match exchange.method, exchange.path:
            case 'GET', '/-/truth':
                self._connections.exempt(exchange.connection_number)
                exchange.send_json(200, self.get_truth())
                return
            case 'POST', '/-/fault':
                self._connections.exempt(exchange.connection_number)
                self._apply_fault(exchange)
                return
        if not self._connections.try_use(exchange.connection_number, self._clock.monotonic()):
            exchange.drop_connection()
            return
        self._unfrozen.wait()
        if self._is_stopped:
            exchange.drop_connection()
            return
        match exchange.method, exchange.path:
            case 'GET', '/-/health':
                self._answer_health(exchange)
            case 'POST', '/-/grants':
                self._apply_grants(exchange)
            case 'POST', '/-/cancel':
                self._cancel_request(exchange)
            case _, path if path.startswith('/-/'):
                exchange.send_answer(404)
            case _:
                self._handle_request(exchange)

    def _apply_fault(self, exchange: Exchange) -> None:
        try:
            change = msgspec.json.decode(exchange.read_body() or b'', type=BackendServerFault)
        except msgspec.MsgspecError as error:
            exchange.send_json(400, {'error': str(error)})
            return
        self.set_fault(change)
        exchange.send_json(200, {})

    def _answer_health(self, exchange: Exchange) -> None:
        hides_load = self._faults.load_report == 'lie'
        in_flight = 0 if hides_load else self._workload.in_flight
        health = {
            'instance': self.instance,
            'clock': self._clock.monotonic(),
            'load': in_flight / self._workload.slots,
            'cold': self._workload.is_cold and not hides_load,
            'in_flight': in_flight,
        }
        exchange.send_json(200, health)

    def _apply_grants(self, exchange: Exchange) -> None:
        try:
            call = msgspec.json.decode(exchange.read_body() or b'', type=GrantCall)
            ranges = [GrantedRange(*entry) for entry in call.ranges]
        except msgspec.MsgspecError as error:
            exchange.send_json(400, {'error': str(error)})
            return
        if not all(is_valid_range(granted_range) for granted_range in ranges):
            exchange.send_json(400, {'error': 'ranges must be [first, last, token]'})
            return
        now = self._clock.monotonic()
        with self._lock:
            is_refused = self.checks_grants and (
                call.instance != self.instance or self._grants.is_stale(ranges)
            )
            if not is_refused:
                self._grants.apply(ranges, call.until, now)
        status = 409 if is_refused else 200
        exchange.send_json(status, {'clock': now, 'instance': self.instance})

    def _cancel_request(self, exchange: Exchange) -> None:
        try:
            call = msgspec.json.decode(exchange.read_body() or b'', type=_CancelCall)
        except msgspec.MsgspecError as error:
            exchange.send_json(400, {'error': str(error)})
            return
        was_found, is_running = self._workload.cancel(
            call.request_id, CANCELLED_STATUS, CANCEL_WAIT_S
        )
        exchange.send_json(200, {'cancelled': was_found, 'running': is_running})

    def _handle_request(self, exchange: Exchange) -> None:
        truth = build_request_truth(exchange, self._clock.monotonic())
        if self._faults.shed:
            self._refuse(exchange, truth, 503, 'overload')
            return
        if not self._is_granted(truth):
            self._refuse(exchange, truth, 412, 'not-granted')
            return
        task = Task(truth)
        self._workload.add(task)
        try:
            self._workload.acquire_slot(task)
            if task.failure_status == CANCELLED_STATUS:
                self._refuse(exchange, truth, CANCELLED_STATUS, 'cancelled')
                return
            if not self._is_granted(truth):
                task.failure_status = 412
                self._refuse(exchange, truth, 412, 'not-granted')
                return
            with self._lock:
                self._requests.append(truth)
            content = self._run_request(exchange, task)
            truth['status'] = task.failure_status or 200
        finally:
            truth['end'] = self._clock.monotonic()
            self._workload.remove(task)
        self._send_answer(exchange, truth, content)

    def _run_request(self, exchange: Exchange, task: Task) -> Content:
        try:
            content = read_content(exchange, task.truth)
        except (BodyTruncatedError, OSError):
            task.stop(400)
            task.truth['status'] = 400
            raise
        slowdown = max(1.0, self._workload.in_flight / self._workload.slots)
        slow_s = (self._faults.slow_ms or 0.0) / MS_PER_S
        task.stopped.wait(self._service_s * slowdown + slow_s)
        self._unfrozen.wait()
        return content

    def _send_answer(self, exchange: Exchange, truth: RequestTruth, content: Content) -> None:
        headers = {'Served-By': self.name}
        if truth['key']:
            headers['Coltsfootstair-Key'] = truth['key']
        body = b'' if truth['status'] != 200 else content.head
        if truth['status'] == 200 and is_answered_with_digest(exchange, content):
            headers['Content-Type'] = 'application/json'
            body = msgspec.json.encode({'bytes': content.length, 'sha256': content.sha256})
        elif 'Content-Type' in exchange.headers:
            headers['Content-Type'] = exchange.headers['Content-Type']
        if not self._faults.drop_answers:
            exchange.send_answer(truth['status'] or 500, body, headers)
            return
        # By turns, the answer is not sent at all and is truncated.
        self._dropped_count += 1
        if self._dropped_count % 2:
            exchange.drop_connection()
        else:
            exchange.send_answer(
                truth['status'] or 500, body, headers, truncate_at_bytes=len(body) // 2
            )

    def _refuse(
        self, exchange: Exchange, truth: RequestTruth, status: int, reason: str
    ) -> None:
        truth['status'] = status
        truth['end'] = self._clock.monotonic()
        with self._lock:
            self._refused.append(truth)
        headers = {'Served-By': self.name, 'Coltsfootstair-Shed': reason}
        exchange.read_body(ECHO_LIMIT_BYTES)
        exchange.send_answer(status, b'', headers)

    def _is_granted(self, truth: RequestTruth) -> bool:
        row = truth['slot']
        if not self.checks_grants or row is None:
            return True
        with self._lock:
            return self._grants.is_granted(row, truth['token'], self._clock.monotonic())
