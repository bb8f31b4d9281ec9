"""A store in memory whose calls can fail, and a daemon that uses it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from tests.document.examples import EXAMPLE

from coltsfootstair.clock import ManualClock
from coltsfootstair.document import State, find_dangers, parse
from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.operators import (
    ApplyResult,
    DaemonState,
    DaemonStatus,
    DocumentStore,
    OperatorsApp,
    OperatorsServer,
    OwnerReport,
    OwnerStatus,
    RefusalCount,
    ServerStatus,
    StatusReport,
    VersionedText,
)
from coltsfootstair.results import ResultCode, title
from coltsfootstair.store import ABSENT, VersionedObject
from coltsfootstair.timeline import EventName, Timeline, TimelineEvent


class FakeStore:
    """A store whose calls fail by their number.

    :param lost_answers: numbers of the puts whose answers are lost after they took effect
    :param dropped_calls: numbers of the calls that do not reach the store
    """

    def __init__(
        self, lost_answers: set[int] | None = None, dropped_calls: set[int] | None = None
    ) -> None:
        self.objects: dict[str, VersionedObject] = {}
        self.revision = 0
        self.calls = 0
        self.lost_answers = lost_answers or set()
        self.dropped_calls = dropped_calls or set()

    def get(self, key: str) -> VersionedObject:
        self._count_call()
        return self.objects.get(key, VersionedObject(key, ABSENT, b''))

    def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        number = self._count_call()
        present = self.objects.get(key, VersionedObject(key, ABSENT, b''))
        if present.version != expected_version:
            raise StoreConflictError(key)
        self.revision += 1
        self.objects[key] = VersionedObject(key, self.revision, value)
        if number in self.lost_answers:
            raise StoreUnavailableError('answer lost')
        return self.revision

    def scan(self, prefix: str) -> tuple[list[VersionedObject], int]:
        raise NotImplementedError

    def delete(self, key: str, *, expected_version: int) -> int:
        raise NotImplementedError

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> tuple[list[VersionedObject], int]:
        raise NotImplementedError

    def _count_call(self) -> int:
        self.calls += 1
        if self.calls in self.dropped_calls:
            raise StoreUnavailableError('store is unreachable')
        return self.calls


class FakeDaemon:
    """A daemon with its own store and fixed reports."""

    def __init__(self, text: str = EXAMPLE) -> None:
        self.store = FakeStore()
        self.load = {'slots': 1.0}
        self.serves_callers = True
        self._documents = DocumentStore(self.store)
        clock = ManualClock()
        self._timeline = Timeline('north-1', clock)
        self._timeline.record(EventName.DAEMON_STARTED, data_centre='north')
        self._timeline.record(
            EventName.REQUEST_REFUSED, request_id='r-1', key='<b>"k"</b>', code=304
        )
        self._timeline.record(
            EventName.OWNER_ASSIGNED, service='slots', server='slots-2', rows='0-9'
        )
        if text:
            self.apply(text, None, False)

    def is_ready(self) -> bool:
        return self.serves_callers

    def status(self) -> StatusReport:
        refusals = (RefusalCount(304, title(ResultCode.NO_USABLE_SERVER), 7),)
        ready = DaemonStatus(
            'north-1', 'north', DaemonState.READY, 'i', 1, 0.25, True, refusals
        )
        unreachable = DaemonStatus('south-1', 'south', DaemonState.UNREACHABLE)
        server = ServerStatus(
            'slots-1', 'slots', 'north', 'in', 'd1', 'd2', 'cold', 2, 1, 3, 4
        )
        owners = (OwnerStatus('slots', 'slots-1', '0-1023', 1024, 'slots-2'),)
        return StatusReport('north-1', 1, (ready, unreachable), (server,), owners)

    def timeline(self) -> list[TimelineEvent]:
        return self._timeline.events()

    def document(self) -> VersionedText:
        return self._documents.read()

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        return self._documents.apply(text, base, force=force, load=self.load, history={})

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        return self._documents.set_data_centre(name, state, force=force, load=self.load)

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        return self._documents.set_backend_server(name, state, force=force, load=self.load)

    def find_dangers(self, text: str) -> list[str]:
        old, new = parse(self.document().text, 'old'), parse(text, 'new')
        return [str(danger) for danger in find_dangers(old, new, self.load)]

    def find_owner(self, service: str, key: str) -> OwnerReport | None:
        if service != 'slots':
            return None
        return OwnerReport(service, key, 5, 'slots-1', 7, '', 'north-1', 'row 5 is assigned')


@contextmanager
def serve_daemon(daemon: FakeDaemon) -> Iterator[str]:
    """Serve ``daemon`` on a free port and yield its address."""
    server = OperatorsServer('127.0.0.1:0', OperatorsApp(daemon, lambda: b'up 1\n'))
    server.open()
    server.start()
    yield server.address
    server.stop()
