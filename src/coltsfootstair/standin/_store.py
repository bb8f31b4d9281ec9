"""The platform's store and VM list, with faults."""

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
from coltsfootstair.standin._objects import Change, Objects

if TYPE_CHECKING:
    from coltsfootstair.standin._truth import StoreTruth

__all__ = ['StoreStandin']

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 300.0
MS_PER_S = 1000.0


class StoreStandin:
    """The store on a listening address.

    :param listen: ``IP:PORT``; port 0 takes a free one
    :param vm_lag_s: seconds for which the list still shows a VM that is gone
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
        self._objects = Objects()
        self._reads = itertools.count()
        self._writes = itertools.count()
        self._watches = itertools.count()
        self._fault = StoreFault(down=False, slow_ms=0.0, lose_answers=0.0)
        self._vm_by_name: dict[str, tuple[str, str, str, bool]] = {}
        self._gone_at_by_name: dict[str, float] = {}
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._server = HttpServer(listen, self)

    @property
    def address(self) -> str:
        """The bound address, as ``IP:PORT``."""
        return self._server.address

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Close every connection and end every watch."""
        self._server.stop()
        self._stopping.set()
        with self._changed:
            self._changed.notify_all()

    def set_fault(self, change: StoreFault) -> None:
        """Show the faults of ``change`` from now on."""
        with self._changed:
            for name in ('down', 'slow_ms', 'lose_answers'):
                if (value := getattr(change, name)) is not None:
                    setattr(self._fault, name, value)
            if change.vm_gone is not None:
                drop_at = self._clock.monotonic() + self._vm_lag_s
                self._gone_at_by_name[change.vm_gone] = drop_at
            if (leaving := change.vm_leaving) in self._vm_by_name and leaving is not None:
                self._vm_by_name[leaving] = (*self._vm_by_name[leaving][:3], True)
            self._changed.notify_all()

    def truth(self) -> StoreTruth:
        """Return the calls so far, counted by kind."""
        return {
            'reads': _counted(self._reads),
            'writes': _counted(self._writes),
            'watches': _counted(self._watches),
        }

    def connected(self, connection: int) -> None:
        """Do nothing: connections to the store are not counted."""

    def disconnected(self, connection: int) -> None:
        """Do nothing: connections to the store are not counted."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        match exchange.method, exchange.path:
            case 'GET', '/-/truth':
                exchange.answer_json(200, self.truth())
            case 'POST', '/-/fault':
                self._take_fault(exchange)
            case _:
                self._call(exchange)

    def _take_fault(self, exchange: Exchange) -> None:
        try:
            change = msgspec.json.decode(exchange.body() or b'', type=StoreFault)
        except msgspec.MsgspecError as error:
            exchange.answer_json(400, {'error': str(error)})
            return
        self.set_fault(change)
        exchange.answer_json(200, {})

    def _call(self, exchange: Exchange) -> None:
        self._count(exchange)
        body = exchange.body(MAX_VALUE_BYTES)
        if self._fault.slow_ms:
            self._stopping.wait(self._fault.slow_ms / MS_PER_S)
        if self._fault.down:
            exchange.answer(503)
            return
        if body is None:
            exchange.answer(413)
            return
        self._list_caller(exchange)
        status, answer, headers = self._answer(exchange, body)
        if self._fault.lose_answers and self._random.random() < self._fault.lose_answers:
            exchange.drop()
            return
        exchange.answer(status, answer, headers)

    def _count(self, exchange: Exchange) -> None:
        # Reads are most calls and take no lock: callers that share a process with the
        # store would queue up behind one that holds the lock but may not run.
        if exchange.method in ('PUT', 'DELETE'):
            next(self._writes)
        elif exchange.path == '/watch':
            next(self._watches)
        else:
            next(self._reads)

    def _list_caller(self, exchange: Exchange) -> None:
        headers = exchange.headers
        name = headers.get('Platform-Vm')
        if not name or (name in self._vm_by_name and not self._gone_at_by_name):
            return
        with self._changed:
            self._drop_gone()
            if name not in self._vm_by_name:
                data_centre = headers.get('Platform-Data-Centre', '')
                inner = headers.get('Platform-Inner', '')
                self._vm_by_name[name] = (name, data_centre, inner, False)

    def _drop_gone(self) -> None:
        now = self._clock.monotonic()
        gone = [name for name, drop_at in self._gone_at_by_name.items() if drop_at <= now]
        for name in gone:
            del self._gone_at_by_name[name]
            self._vm_by_name.pop(name, None)

    def _answer(self, exchange: Exchange, body: bytes) -> tuple[int, bytes, dict[str, str]]:
        key = exchange.path.removeprefix('/objects/')
        match exchange.method, exchange.path:
            case 'GET', '/objects':
                return self._scan(exchange.query.get('prefix', ''))
            case 'GET', '/watch':
                return self._watch(exchange)
            case 'GET', '/vms':
                with self._changed:
                    self._drop_gone()
                    return 200, msgpack.packb(sorted(self._vm_by_name.values())), {}
            case 'GET', path if path.startswith('/objects/'):
                return self._get(key)
            case 'PUT' | 'DELETE', path if path.startswith('/objects/'):
                return self._change(exchange, key, body)
            case _:
                return 404, b'', {}

    def _get(self, key: str) -> tuple[int, bytes, dict[str, str]]:
        found = self._objects.get(key)
        if found is None:
            return 404, b'', {}
        return 200, found.value, {'Version': str(found.version)}

    def _change(
        self, exchange: Exchange, key: str, body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        expected = exchange.headers.get('Expected-Version', '')
        if not expected.isdecimal() or (exchange.method == 'PUT' and not body):
            return 400, b'', {}
        with self._changed:
            present = self._objects.version(key)
            if exchange.method == 'DELETE' and not present:
                return 404, b'', {}
            if present != int(expected):
                return 409, b'', {'Version': str(present)}
            version = self._objects.put(key, b'' if exchange.method == 'DELETE' else body)
            self._changed.notify_all()
        return 200, b'', {'Version': str(version)}

    def _scan(self, prefix: str) -> tuple[int, bytes, dict[str, str]]:
        with self._changed:
            return 200, _pack(self._objects.revision, self._objects.scan(prefix)), {}

    def _watch(self, exchange: Exchange) -> tuple[int, bytes, dict[str, str]]:
        prefix = exchange.query.get('prefix', '')
        after = exchange.query.get('after', '')
        timeout_ms = exchange.query.get('timeout_ms', '0')
        if not (after.isdecimal() and timeout_ms.isdecimal()):
            return 400, b'', {}
        timeout_s = min(int(timeout_ms) / MS_PER_S, MAX_WATCH_S)
        with self._changed:
            self._changed.wait_for(lambda: self._watch_ends(prefix, int(after)), timeout_s)
            changes = self._objects.changed(prefix, int(after))
            if self._fault.down:
                return 503, b'', {}
            if changes is None:
                return 410, b'', {}
            return 200, _pack(self._objects.revision, changes), {}

    def _watch_ends(self, prefix: str, after: int) -> bool:
        ended = self._fault.down or self._stopping.is_set()
        return bool(ended) or self._objects.changed(prefix, after) != []


def _counted(counter: itertools.count[int]) -> int:
    return next(copy.copy(counter))


def _pack(revision: int, objects: list[Change]) -> bytes:
    packed: bytes = msgpack.packb({'revision': revision, 'objects': objects})
    return packed
