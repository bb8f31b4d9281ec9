"""Stand-ins for the cases of the review: a store, backend servers, callers, and daemons.

They use the standard library alone. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from array import array
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]

BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2

START_TIMEOUT_S = 15.0
"""Time within which all daemons must be ready, in seconds."""

CASE_TIMEOUT_S = 110.0
"""Longest duration of a case, in seconds; 120 s are allowed with its end."""

CALL_TIMEOUT_S = 10.0
"""Longest wait of a caller for an answer, in seconds."""

KEY_COUNT = 65536
"""Number of keys of a service."""

MEMORY_MB = 300
"""``memory-mb`` of a machine of lpfs-gateway."""

SETTINGS = """
node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "great-lakes"
internal-port-range = [{inner}, {inner}]
seed-nodes = []
bootstrap = {bootstrap}
heartbeat-ms = 870
contracts = ["base", "drain", "config", "cost", "retry", "recover", "own", "places",
  "platform"]
bounds = ["seed-staleness-s=3", "addr-reuse-s=2", "touch-ms=3000", "ack-timeout-ms=4000",
  "sync-time-s=4", "drain-timeout-ms={drain_ms}", "grace-s=6", "loss-slack-ms=200",
  "config-deadline-ms=2000", "rollback-slack-ms=250", "max-skew-ms=5000",
  "retry-budget-ratio=0.2", "retry-window-s=10", "retry-slack=58", "warmup-excess=1.5",
  "warmup-slack=5", "evacuation-ms=5000", "recovery-s=15", "hold-max-ms=10000", "thaw-ms=300"]
grants = "rpc"
[zones]
erie-shore = "great-lakes"
huron-bay = "great-lakes"
[listen-addrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.86
cpu-cores = 1
memory-mb = {memory_mb}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        line = {'at': round(self.now, 3), 'event': event, **fields}
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    ports: list[int] = []
    held: list[socket.socket] = []
    try:
        while len(ports) < count:
            tcp = socket.socket()
            held.append(tcp)
            tcp.bind(('127.0.0.1', 0))
            udp = socket.socket(type=socket.SOCK_DGRAM)
            held.append(udp)
            with contextlib.suppress(OSError):
                udp.bind(tcp.getsockname())
                ports.append(tcp.getsockname()[1])
    finally:
        for each in held:
            each.close()
    return ports


class Request(NamedTuple):
    """Head of a request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def length(self) -> int:
        """Length of the body in bytes."""
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read the head of the next request; return ``None`` if the connection ends."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip().split('\r\n')
    method, target, _ = first.split(' ')
    pairs = (line.partition(':') for line in lines)
    return Request(method, target, {name.lower(): value.strip() for name, _, value in pairs})


def render_answer(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} Any', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store, by its page: objects, pages, stale reads and watches.

    It may come back from an older copy of itself (``take_copy``, ``come_back``).

    :ivar page_size: most objects in one page of a list
    :ivar stale_age_by_page: how old the state is that a stale read returns, in seconds, by the
        number of the page; the page sets no more than "seconds old"
    """

    def __init__(self, record: Record) -> None:
        self.port = 0
        self.page_size = 500
        self.stale_age_by_page: Callable[[int], float] = lambda _page: 0.0
        self._record = record
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        # Revision, time, kind, name, object, and whether it was deleted.
        self._log: list[tuple[int, float, str, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._pages_by_reader: dict[str, int] = {}
        self._era = 0
        self._is_away = False
        self._oldest_watchable = 1
        self._copy: tuple[int, dict[str, dict[str, dict[str, Any]]]] = (1, {})

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._on_connection, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    def take_copy(self) -> None:
        """Keep a copy of all objects."""
        objects = {kind: dict(by_name) for kind, by_name in self._objects.items()}
        self._copy = (self._revision, objects)

    async def go_away(self) -> None:
        """Reset every call from now on."""
        self._is_away = True
        async with self._changed:
            self._changed.notify_all()

    async def come_back(self) -> None:
        """Come back from the copy: what was written since is gone, and an era begins."""
        self._revision, objects = self._copy
        self._objects = {kind: dict(by_name) for kind, by_name in objects.items()}
        self._oldest_watchable = self._revision
        self._log = [
            (self._revision, time.monotonic() - 3600.0, kind, name, item, False)
            for kind, by_name in self._objects.items()
            for name, item in by_name.items()
        ]
        self._era += 1
        self._is_away = False

    async def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; one that is the same as before changes nothing."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self._revision += 1
        metadata = {'name': name, 'revision': self._revision, 'finalizers': []}
        item = {'metadata': metadata, 'spec': spec, 'status': None}
        self._objects[kind][name] = item
        await self._log_change(kind, name, item, deleted=False)
        return item

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        await self._log_change(kind, name, item, deleted=True)

    def get(self, kind: str, name: str) -> Any:
        """Return the value of an object, or ``None``."""
        return self._objects.get(kind, {}).get(name, {}).get('spec')

    async def _log_change(
        self, kind: str, name: str, item: dict[str, Any], *, deleted: bool
    ) -> None:
        self._log.append((self._revision, time.monotonic(), kind, name, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    def _state_at(self, kind: str, at: float) -> tuple[int, dict[str, dict[str, Any]]]:
        """Return revision and objects of a kind as they were at a moment."""
        revision, objects = 1, {}
        for number, changed_at, changed_kind, name, item, deleted in self._log:
            if changed_at > at:
                break
            revision = number
            if changed_kind != kind:
                continue
            if deleted:
                objects.pop(name, None)
            else:
                objects[name] = item
        return revision, objects

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                body = await reader.readexactly(request.length)
                if self._is_away:
                    break
                era = self._era
                status, answer = await self._answer(request, body)
                if self._is_away or era != self._era:
                    break
                headers = {'Store-Era': str(era)}
                writer.write(render_answer(status, headers, json.dumps(answer).encode()))
                await writer.drain()
        writer.transport.abort()

    async def _answer(self, request: Request, body: bytes) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(request.target)
        kind, *rest = [urllib.parse.unquote(part) for part in url.path.split('/')[3:]]
        query = dict(urllib.parse.parse_qsl(url.query))
        known = self._objects.setdefault(kind, {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query.get('wait-ms', 0)))
        if request.method == 'GET' and not rest:
            return 200, self._list(kind, query)
        if request.method == 'GET':
            found = known.get(rest[0])
            return (200, found) if found else (404, None)
        sent = json.loads(body)
        name = rest[0] if rest else sent['metadata']['name']
        found = known.get(name)
        if request.method == 'POST':
            if found is not None:
                return 409, found
            return 200, await self.put(kind, name, sent['spec'])
        expected = sent['metadata'].get('revision')
        if found is None:
            return 404, None
        if expected is not None and found['metadata']['revision'] != expected:
            return 409, found
        return 200, await self.put(kind, name, sent['spec'])

    def _list(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        after = query.get('after', '')
        is_stale = query.get('allow-stale') == '1'
        revision, objects = self._revision, self._objects.get(kind, {})
        age_s = 0.0
        if is_stale:
            page = 0 if not after else self._pages_by_reader.get(kind, 0) + 1
            self._pages_by_reader[kind] = page
            age_s = self.stale_age_by_page(page)
            revision, objects = self._state_at(kind, time.monotonic() - age_s)
        names = sorted(name for name in objects if name > after)
        items = [objects[name] for name in names[: self.page_size]]
        has_more = len(names) > self.page_size
        if is_stale and kind == 'servers':
            self._record.write(
                'stale list',
                kind=kind,
                after=after,
                age_s=age_s,
                items=len(items),
                rev=revision,
            )
        return {'items': items, 'has-more': has_more, 'current-rev': revision}

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        def find_events() -> list[dict[str, Any]]:
            return [
                {'object': item, 'deleted': deleted}
                for revision, _, changed_kind, _, item, deleted in self._log
                if changed_kind == kind and revision > after
            ]

        if not self._oldest_watchable <= after <= self._revision:
            return 410, None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self._is_away or bool(find_events()))
        return 200, {'events': find_events(), 'current-rev': self._revision}


Behaviour = Callable[
    ['Upstream', Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class Upstream:
    """A backend server, by its page: it runs what names it, and signs its answers.

    :param work_s: how long it works on a request, in seconds
    :param behaviour: reads the body of a request and answers it; returns whether the
        connection goes on
    :ivar is_leaving: whether it is leaving, which all its answers say
    :ivar has_ended: whether its process has ended, with the work that it had
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        work_s: float = 0.05,
        behaviour: Behaviour | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.is_leaving = False
        self.has_ended = False
        self.running = 0
        self.port = 0
        self._born = int(time.time() * 1000)
        self._behaviour = behaviour or Upstream.run_whole
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._on_connection, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End like a process that exits: nothing listens, and all connections are reset."""
        self.record.write('server exits', server=self.name, running=self.running)
        self.has_ended = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def build_entry(self) -> dict[str, Any]:
        """Return what it says of itself in the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 4,
            'state': 'draining' if self.is_leaving else 'ready',
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': self._born,
        }

    def build_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer."""
        headers = {
            'X-Request-Id': request.headers.get('x-request-id', ''),
            'X-Upstream-Load': f'{self.running},0,4,100',
            'Keep-Alive': 'timeout=10',
        }
        if self.is_leaving:
            headers |= {'Server-Leaving': '1', 'Connection': 'close'}
        return headers

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await read_head(reader)) is not None:
                headers = self.build_headers(request)
                if request.headers.get('x-target-instance', self.name) != self.name:
                    await reader.readexactly(request.length)
                    writer.write(render_answer(421, headers | {'X-Not-Executed': '1'}))
                    continue
                if not await self._behaviour(self, request, reader, writer):
                    break
        self._writers.discard(writer)
        writer.close()

    async def run_whole(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read the whole request, run it, and answer with the length of its body."""
        body = await reader.readexactly(request.length)
        request_id = request.headers.get('x-request-id')
        self.record.write(
            'run begins',
            server=self.name,
            id=request_id,
            method=request.method,
            target=request.target,
            body_bytes=len(body),
            body_sha256=hashlib.sha256(body).hexdigest()[:16],
            is_leaving=self.is_leaving,
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.has_ended:
            return False
        self.record.write('run ends', server=self.name, id=request_id)
        headers = self.build_headers(request) | {'X-Upstream-Signature': f's-{self.name}'}
        writer.write(render_answer(200, headers, f'{len(body)} bytes'.encode()))
        await writer.drain()
        return not self.is_leaving


class KeyedUpstream(Upstream):
    """A backend server that runs a request only while it holds its key.

    A hold lasts for exactly ``hold-ms`` from the arrival of the grant.

    :param on_run: called with the server and the key of each request that it begins
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        work_s: float,
        on_run: Callable[[KeyedUpstream, int], None],
    ) -> None:
        super().__init__(name, service, zone, record, work_s, KeyedUpstream.answer)
        self._on_run = on_run
        self._fences = array('q', [-1]) * KEY_COUNT
        self._held_until = array('d', [0.0]) * KEY_COUNT
        self._running_keys: list[int] = []

    def holds(self, key: int) -> bool:
        """Whether it holds a key now."""
        return not self.has_ended and self._held_until[key] > time.monotonic()

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Take a grant or a release, or run a request."""
        body = await reader.readexactly(request.length)
        headers: dict[str, str] = {}
        if request.target in ('/-/grant', '/-/release'):
            sent = json.loads(body)
            keys = slice(sent['from'], sent['target'] + 1)
            count = keys.stop - keys.start
            status = 200
            if request.target == '/-/release':
                self._fences[keys] = array(
                    'q', (max(fence, sent['fence']) for fence in self._fences[keys])
                )
                self._held_until[keys] = array('d', [0.0]) * count
                while any(keys.start <= key < keys.stop for key in self._running_keys):
                    await asyncio.sleep(0.01)
                headers['X-Handover'] = f'{time.monotonic_ns():016x}'
            elif max(self._fences[keys]) > sent['fence']:
                status = 409
            else:
                until = time.monotonic() + sent['hold-ms'] / 1000
                self._fences[keys] = array('q', [sent['fence']]) * count
                self._held_until[keys] = array('d', [until]) * count
            self.record.write(
                request.target,
                server=self.name,
                first=sent['from'],
                last=sent['target'],
                fence=sent['fence'],
                hold_ms=sent.get('hold-ms'),
                status=status,
            )
            writer.write(render_answer(status, headers))
            return True
        headers = self.build_headers(request)
        key = int(request.headers['x-shard-key'])
        if not self.holds(key):
            writer.write(render_answer(421, headers | {'X-Not-Executed': '1'}))
            return True
        self._on_run(self, key)
        self._running_keys.append(key)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._running_keys.remove(key)
        headers['X-Upstream-Signature'] = f's-{self.name}'
        writer.write(render_answer(200, headers, b'done'))
        await writer.drain()
        return True


class Answer(NamedTuple):
    """What a caller got; the status is 0 if there was no complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    reason: str = ''


async def call(
    port: int, head: list[str], body: bytes = b'', timeout_s: float = CALL_TIMEOUT_S
) -> Answer:
    """Send one request on a new connection, and return its answer.

    :param head: request line and headers
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            try:
                writer.write('\r\n'.join(head).encode('latin-1') + b'\r\n\r\n' + body)
                await writer.drain()
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b'', repr(error))


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers['content-length']))
    return Answer(int(first.split(' ')[1]), headers, body)


class Daemon:
    """One machine of the system: a process with the command of the deploy file.

    :ivar drain_timeout_ms: ``drain-timeout-ms`` of its settings, in milliseconds
    """

    drain_timeout_ms = 2000

    def __init__(self, name: str, zone: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.front, self.ready, self._inner = find_free_ports(3)
        self._zone = zone
        self._store_port = store_port
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Id of the process, if it runs."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process."""
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self._zone,
                inner=self._inner,
                front=self.front,
                ready=self.ready,
                store=self._store_port,
                bootstrap=json.dumps(bootstrap),
                memory_mb=MEMORY_MB,
                drain_ms=self.drain_timeout_ms,
            ),
            encoding='utf-8',
        )
        deploy_path = ROOT / 'deploy' / 'system.toml'
        deploy = tomllib.loads(deploy_path.read_text(encoding='utf-8'))
        program, *arguments = shlex.split(deploy['roles']['router']['run'])
        kept = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=kept
                | {
                    'COLTSFOOTSTAIR_SETTINGS': str(settings),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=log,
                stderr=log,
            )

    async def end(self, number: signal.Signals) -> int | None:
        """Send a signal, and wait for the end of the process."""
        process, self._process = self._process, None
        if process is None:
            return None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        return await process.wait()

    async def is_ready(self) -> bool:
        """Whether it answers the readiness check of the platform with 200."""
        head = ['GET /-/ready HTTP/1.1', 'Host: x']
        return (await call(self.ready, head, timeout_s=1.0)).status == 200

    async def wait_until_ready(self) -> None:
        """Wait until it is ready.

        :raises TimeoutError: it is not ready in time
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


def build_route(
    name: str, kind: str, service: str, timeout_ms: int, target_latency_ms: int
) -> dict[str, Any]:
    """Return a route of the configuration; its host is ``NAME.example``, its prefix /a/."""
    spec = {
        'host': f'{name}.example',
        'path-prefix': '/a/',
        'kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': target_latency_ms,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
    }
    return {'resource-kind': 'routes', 'metadata': {'name': name}, 'spec': spec}


def build_configuration(
    routes: list[dict[str, Any]], divided_by_key: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Return a configuration with the services of ``routes`` and the limits of the pages.

    :param divided_by_key: services whose servers hold keys
    """
    services = sorted({route['spec']['service'] for route in routes})
    service_spec = {
        'health-path': '/health',
        'max-conns': 110,
        'protocol': 'h1',
        'tls': False,
        'warmup-s': 3.0,
        'warmup-per-s': 5.0,
    }
    limits = {
        'max-header-bytes': 16384,
        'max-body-bytes': 67108864,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    }
    return {
        'version': '00000007',
        'resources': [
            *routes,
            *(
                {
                    'resource-kind': 'services',
                    'metadata': {'name': name},
                    'spec': service_spec
                    | ({'is-sharded': True, 'warm-s': 3.0} if name in divided_by_key else {}),
                }
                for name in services
            ),
            {'resource-kind': 'limits', 'metadata': {}, 'spec': limits},
        ],
    }


def run_case(
    case: Callable[[Record, Path, bool], Awaitable[int]],
    record_path: Path,
    *,
    has_trouble: bool,
) -> None:
    """Run a case, and exit with its result.

    :param case: gets the record, a temporary folder and whether the disruption happens
    """
    record = Record(record_path)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(_run_with_limit(case, record, Path(temporary), has_trouble))
        except (Exception, asyncio.CancelledError) as error:
            record.write('could not run', reason=repr(error))
            print(f'could not run: {error!r}', file=sys.stderr)
            status = COULD_NOT_RUN
        record.write('result', trouble=has_trouble, exit=status)
    sys.exit(status)


async def _run_with_limit(
    case: Callable[[Record, Path, bool], Awaitable[int]],
    record: Record,
    temporary: Path,
    has_trouble: bool,
) -> int:
    """Run a case; a signal to end it or the time limit ends its processes too."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(CASE_TIMEOUT_S):
        return await case(record, temporary, has_trouble)
