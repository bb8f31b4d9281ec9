"""Stand-in of the platform's store and VM list."""

from __future__ import annotations

import copy
import itertools
import random
import threading
from typing import TYPE_CHECKING

import msgpack
import msgspec

from coltsfootstair.clock import Clock, SystemClock
from coltsfootstair.standin._faults import StoreFault
from coltsfootstair.standin._http import Exchange, HttpServer
from coltsfootstair.standin._objects import StoredObject, VersionedObjects

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import StoreTruth

__all__ = ['StoreStandin']

MAX_VALUE_BYTES = 1024 * 1024
"""Longest value of an object."""

MAX_WATCH_S = 300.0
"""Longest time that a watch waits for a change, in seconds."""

MS_PER_S = 1000.0


class StoreStandin:
    """The store on a listening address.

    :param listen: ``IP:PORT``; port 0 selects a free port
    :param vm_lag_s: seconds for which the VM list still shows a VM that has ended
    :param seed: determines which answers are lost
    """

    def __init__(
        self,
        listen: str,
        *,
        vm_lag_s: float = 5.0,
        clock: Clock | None = None,
        seed: int = 0,
    ) -> None:
        self._clock = clock or SystemClock()
        self._vm_lag_s = vm_lag_s
        self._random = random.Random(seed)
        self._objects = VersionedObjects()
        self._reads = itertools.count()
        self._writes = itertools.count()
        self._watches = itertools.count()
        self._faults = StoreFault(down=False, slow_ms=0.0, lose_answers=0.0)
        # Name, data centre, inner address, and whether the VM is leaving, as in the VM list.
        self._vm_by_name: dict[str, tuple[str, str, str, bool]] = {}
        self._removal_at_by_vm: dict[str, float] = {}
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._server = HttpServer(listen, self)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        return self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Close every connection and end every watch."""
        self._server.stop()
        self._stopping.set()
        with self._changed:
            self._changed.notify_all()

    def set_fault(self, change: StoreFault) -> None:
        """Apply a change of the injected faults."""
        with self._changed:
            for name in ('down', 'slow_ms', 'lose_answers'):
                if (value := getattr(change, name)) is not None:
                    setattr(self._faults, name, value)
            if change.vm_gone is not None:
                removal_at = self._clock.monotonic() + self._vm_lag_s
                self._removal_at_by_vm[change.vm_gone] = removal_at
            if (leaving := change.vm_leaving) in self._vm_by_name and leaving is not None:
                self._vm_by_name[leaving] = (*self._vm_by_name[leaving][:3], True)
            self._changed.notify_all()

    def get_truth(self) -> StoreTruth:
        """Return the number of calls so far, by kind."""
        return {
            'reads': _get_count(self._reads),
            'writes': _get_count(self._writes),
            'watches': _get_count(self._watches),
        }

    def on_connected(self, connection_number: int) -> None:
        """Do nothing: connections to the store are not counted."""

    def on_disconnected(self, connection_number: int) -> None:
        """Do nothing: connections to the store are not counted."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        match exchange.method, exchange.path:
            case 'GET', '/-/truth':
                exchange.send_json(200, self.get_truth())
            case 'POST', '/-/fault':
                self._apply_fault(exchange)
            case _:
                self._handle_call(exchange)

    def _apply_fault(self, exchange: Exchange) -> None:
        try:
            change = msgspec.json.decode(exchange.read_body() or b'', type=StoreFault)
        except msgspec.MsgspecError as error:
            exchange.send_json(400, {'error': str(error)})
            return
        self.set_fault(change)
        exchange.send_json(200, {})

    def _handle_call(self, exchange: Exchange) -> None:
        self._count_call(exchange)
        body = exchange.read_body(MAX_VALUE_BYTES)
        if self._faults.slow_ms:
            self._stopping.wait(self._faults.slow_ms / MS_PER_S)
        if self._faults.down:
            exchange.send_answer(503)
            return
        if body is None:
            exchange.send_answer(413)
            return
        self._register_calling_vm(exchange)
        status, answer, headers = self._execute_call(exchange, body)
        if self._faults.lose_answers and self._random.random() < self._faults.lose_answers:
            exchange.drop_connection()
            return
        exchange.send_answer(status, answer, headers)

    def _count_call(self, exchange: Exchange) -> None:
        # Counted without a lock: clients in the same process as the store would wait for a
        # thread that holds the lock but is not scheduled. Reads are the most frequent calls.
        if exchange.method in ('PUT', 'DELETE'):
            next(self._writes)
        elif exchange.path == '/watch':
            next(self._watches)
        else:
            next(self._reads)

    def _register_calling_vm(self, exchange: Exchange) -> None:
        headers = exchange.headers
        name = headers.get('Platform-Vm')
        if not name or (name in self._vm_by_name and not self._removal_at_by_vm):
            return
        with self._changed:
            self._remove_ended_vms()
            if name not in self._vm_by_name:
                data_centre = headers.get('Platform-Data-Centre', '')
                inner = headers.get('Platform-Inner', '')
                self._vm_by_name[name] = (name, data_centre, inner, False)

    def _remove_ended_vms(self) -> None:
        now = self._clock.monotonic()
        ended = [
            name for name, removal_at in self._removal_at_by_vm.items() if removal_at <= now
        ]
        for name in ended:
            del self._removal_at_by_vm[name]
            self._vm_by_name.pop(name, None)

    def _execute_call(
        self, exchange: Exchange, body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        key = exchange.path.removeprefix('/objects/')
        match exchange.method, exchange.path:
            case 'GET', '/objects':
                return self._scan_objects(exchange.query.get('prefix', ''))
            case 'GET', '/watch':
                return self._watch_objects(exchange)
            case 'GET', '/vms':
                with self._changed:
                    self._remove_ended_vms()
                    return 200, msgpack.packb(sorted(self._vm_by_name.values())), {}
            case 'GET', path if path.startswith('/objects/'):
                return self._get_object(key)
            case 'PUT' | 'DELETE', path if path.startswith('/objects/'):
                return self._write_object(exchange, key, body)
            case _:
                return 404, b'', {}

    def _get_object(self, key: str) -> tuple[int, bytes, dict[str, str]]:
        found = self._objects.get(key)
        if found is None:
            return 404, b'', {}
        return 200, found.value, {'Version': str(found.version)}

    def _write_object(
        self, exchange: Exchange, key: str, body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        expected = exchange.headers.get('Expected-Version', '')
        if not expected.isdecimal() or (exchange.method == 'PUT' and not body):
            return 400, b'', {}
        with self._changed:
            current_version = self._objects.get_version(key)
            if exchange.method == 'DELETE' and not current_version:
                return 404, b'', {}
            if current_version != int(expected):
                return 409, b'', {'Version': str(current_version)}
            version = self._objects.put(key, b'' if exchange.method == 'DELETE' else body)
            self._changed.notify_all()
        return 200, b'', {'Version': str(version)}

    def _scan_objects(self, prefix: str) -> tuple[int, bytes, dict[str, str]]:
        with self._changed:
            return 200, _pack_objects(self._objects.revision, self._objects.scan(prefix)), {}

    def _watch_objects(self, exchange: Exchange) -> tuple[int, bytes, dict[str, str]]:
        prefix = exchange.query.get('prefix', '')
        after = exchange.query.get('after', '')
        timeout_ms = exchange.query.get('timeout_ms', '0')
        if not (after.isdecimal() and timeout_ms.isdecimal()):
            return 400, b'', {}
        timeout_s = min(int(timeout_ms) / MS_PER_S, MAX_WATCH_S)
        with self._changed:
            self._changed.wait_for(lambda: self._is_watch_over(prefix, int(after)), timeout_s)
            changes = self._objects.find_changes(prefix, int(after))
            if self._faults.down:
                return 503, b'', {}
            if changes is None:
                return 410, b'', {}
            return 200, _pack_objects(self._objects.revision, changes), {}

    def _is_watch_over(self, prefix: str, after: int) -> bool:
        is_over = self._faults.down or self._stopping.is_set()
        return bool(is_over) or self._objects.find_changes(prefix, after) != []


def _get_count(counter: itertools.count[int]) -> int:
    """Return how often the counter was advanced, without advancing it."""
    return next(copy.copy(counter))


def _pack_objects(revision: int, objects: list[StoredObject]) -> bytes:
    packed: bytes = msgpack.packb({'revision': revision, 'objects': objects})
    return packed
