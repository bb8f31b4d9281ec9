"""Stand-ins of the platform, of upstreams and of clients, and real daemons, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import os
import secrets
import signal
import socket
import tempfile
import time
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    'KEY_COUNT',
    'Answer',
    'Client',
    'Daemon',
    'Hold',
    'Record',
    'Request',
    'Store',
    'Upstream',
    'build_config',
    'find_double_holds',
    'run_case',
    'run_daemons',
]

ROOT = Path(__file__).resolve().parents[1]

KEY_COUNT = 65536
"""Keys of a service: 0 to 65535 (PROTOCOL, 'Keys that upstreams hold')."""

HEARTBEAT_S = 0.87
"""Interval at which upstreams write their entry, in seconds (``heartbeat-ms``, DEPLOY)."""

START_TIMEOUT_S = 25.0
"""Time within which all daemons must be ready, in seconds; otherwise the case can't run."""

RESTART_DELAY_S = 0.5
"""Delay after which the platform starts an ended process again, in seconds ('after a short
delay', DEPLOY)."""

CALL_TIMEOUT_S = 8.0
"""Time after which a client gives up, in seconds."""

ETHERNET_SEGMENT_BYTES = 1448
"""Segments of a client with a narrow link; loopback's are 64 KiB, so that the kernel would
keep megabytes for each connection."""

READ_LIMIT_BYTES = 64 * 1024
"""Bytes that a stand-in reads ahead."""

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """
node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "great-lakes"
internal-port-range = [{inner}, {inner}]
seed-nodes = []
bootstrap = {bootstrap}
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 870
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
bounds = ["seed-staleness-s=3","addr-reuse-s=2","touch-ms=3000","ack-timeout-ms=4000",\
"sync-time-s=4","drain-timeout-ms=2000","grace-s=6","loss-slack-ms=200",\
"config-deadline-ms=2000","rollback-slack-ms=250","max-skew-ms=5000",\
"retry-budget-ratio=0.2","retry-window-s=10","retry-slack=58","warmup-excess=1.5",\
"warmup-slack=5","evacuation-ms=5000","recovery-s=15","hold-max-ms=10000","thaw-ms=300"]
grants = "rpc"
[zones]
erie-shore = "great-lakes"
huron-bay = "great-lakes"
[listen-addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
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
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


class Request(NamedTuple):
    """The head of a request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def length(self) -> int:
        """Bytes of the body that its head announces."""
        return int(self.headers.get('content-length', '0'))

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.headers.get('x-request-id', '')


class Answer(NamedTuple):
    """An answer that a client has received; the status is 0 if it got none."""

    status: int
    headers: dict[str, str]
    body: bytes


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Return the head of the next request; ``None`` at the end of the connection."""
    try:
        first, headers = _parse_head(await reader.readuntil(b'\r\n\r\n'))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(' ', 2)
    return Request(method, target, headers)


def encode_answer(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of an answer; underscores in header names stand for hyphens."""
    lines = [f'HTTP/1.1 {status} Any', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Listener:
    """Serves the requests on each connection in order with ``serve``."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Listen at a free port, or at the one that it had."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # As between machines: with loopback's segments the kernel would hold whole bodies.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        listener.bind(('127.0.0.1', self.port))
        self._server = await asyncio.start_server(
            self._on_connection, sock=listener, limit=READ_LIMIT_BYTES
        )
        self.port = listener.getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                if not await self.serve(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store, as PROTOCOL describes it and letter 4 extends it.

    While ``is_away``, it answers 503: nothing was done. ``come_back_from`` makes it return
    from a copy in the next era.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_away = False
        self.era = 1
        self._revision = 100
        self._oldest = self._revision
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()

    def take_copy(self) -> Any:
        """Return a copy of the present state."""
        return self._revision, copy.deepcopy(self._objects)

    async def come_back_from(self, taken: Any) -> None:
        """Replace the state by an older one: revisions go back, the history is gone."""
        self._revision, self._objects = taken[0], copy.deepcopy(taken[1])
        self._oldest, self._events = self._revision, []
        self.era += 1
        self.is_away = False
        async with self._changed:
            self._changed.notify_all()

    def get(self, kind: str, name: str) -> Any:
        """Return the value of an object, or ``None``."""
        found = self._objects.get(kind, {}).get(name)
        return None if found is None else found['spec']

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator and the upstreams do; the same value is none."""
        if self.get(kind, name) == spec:
            return
        await self._put(kind, name, spec, [])

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            await self._add_event(kind, found, deleted=True)

    async def _put(self, kind: str, name: str, spec: Any, finalizers: Any) -> dict[str, Any]:
        metadata = {
            'name': name,
            'revision': self._revision + 1,
            'created': 0,
            'finalizers': finalizers,
            'delete-pending': False,
        }
        item = {'metadata': metadata, 'spec': spec, 'status': None}
        self._objects.setdefault(kind, {})[name] = item
        await self._add_event(kind, item, deleted=False)
        return item

    async def _add_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._revision += 1
        self._events.append((self._revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call."""
        content = await reader.readexactly(request.length)
        if self.is_away:
            status, body = 503, None
        else:
            status, body = await self._answer(request, content)
            if self.is_away:
                # A watch that was waiting is cut off.
                return False
        encoded = b'' if body is None else json.dumps(body).encode()
        writer.write(encode_answer(status, encoded, Store_Era=str(self.era)))
        return True

    async def _answer(self, request: Request, content: bytes) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(request.target)
        _, _, _, kind, *rest = [urllib.parse.unquote(part) for part in url.path.split('/')]
        query = dict(urllib.parse.parse_qsl(url.query))
        by_name = self._objects.setdefault(kind, {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query.get('wait-ms', '0')))
        if request.method == 'GET' and not rest:
            names = sorted(name for name in by_name if name > query.get('after', ''))[:500]
            items = [by_name[name] for name in names]
            return 200, {
                'items': items,
                'has-more': False,
                'current-rev': self._revision,
            }
        if request.method == 'GET':
            found = by_name.get(rest[0])
            return (200, found) if found is not None else (404, None)
        sent = json.loads(content)
        name, found = sent['metadata']['name'], by_name.get(sent['metadata']['name'])
        if request.method == 'POST':
            if found is not None:
                return 409, found
        elif found is None:
            return 404, None
        elif sent['metadata'].get('revision') not in (None, found['metadata']['revision']):
            return 409, found
        elif found['spec'] == sent['spec']:
            return 200, found
        return 200, await self._put(kind, name, sent['spec'], [])

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        era = self.era

        def find() -> list[dict[str, Any]]:
            return [
                {'object': item, 'deleted': deleted}
                for revision, event_kind, item, deleted in self._events
                if event_kind == kind and revision > after
            ]

        if not self._oldest <= after <= self._revision:
            return 410, None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: bool(find()) or self.era != era)
        if self.era != era:
            return 410, None
        return 200, {'events': find(), 'current-rev': self._revision}


class Hold(NamedTuple):
    """A time in which an upstream held a range of keys, in monotonic seconds."""

    upstream: str
    first: int
    last: int
    fence: int
    begins_at: float
    ends_at: float


class Upstream(Listener):
    """A sound upstream that runs a request with a key only while it holds the key.

    :param run: runs a request and answers it; returns whether the connection stays open
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        *,
        is_sharded: bool = False,
        slots: int = 4,
        work_s: float = 0.02,
        run: Callable[
            [Upstream, Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
        ]
        | None = None,
    ) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.holds: list[Hold] = []
        self.ran_ids: list[str] = []
        self.run_count = 0
        self._record = record
        self._is_sharded = is_sharded
        self._slots = slots
        self._work_s = work_s
        self._run = run
        self._fences = [0] * KEY_COUNT
        self._until = [0.0] * KEY_COUNT
        self._work_by_key: dict[int, int] = {}
        self._born = int(time.time() * 1000)
        self._beat: asyncio.Task[None] | None = None
        self._state = 'ready'

    async def join(self, store: Store) -> None:
        """Listen, and write the entry into the store now and with each heartbeat."""
        await self.start()
        await self._write_entry(store)
        self._beat = asyncio.create_task(self._write_regularly(store))

    async def drain(self, store: Store) -> None:
        """Say in the entry that it leaves, and go on serving."""
        self._state = 'draining'
        await self._write_entry(store)

    def stop(self) -> None:
        """End at once, as in a crash."""
        if self._beat is not None:
            self._beat.cancel()
        super().stop()

    async def _write_regularly(self, store: Store) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not store.is_away:
                await self._write_entry(store)

    async def _write_entry(self, store: Store) -> None:
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'erie-shore',
            'version': 'v1',
            'slots': self._slots,
            'state': self._state,
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': self._born,
        }
        await store.put('servers', self.name, entry)

    def build_answer(self, request: Request, body: bytes, status: int = 200) -> bytes:
        """Return a complete, signed answer."""
        return encode_answer(
            status,
            body,
            X_Request_Id=request.id,
            X_Upstream_Signature=f'signed-by-{self.name}',
            X_Upstream_Load=f'1,0,{self._slots},100',
        )

    def _refuse(self, request: Request, status: int) -> bytes:
        return encode_answer(
            status, b'', X_Request_Id=request.id, X_Not_Executed='1', X_Instance_Id=self.name
        )

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a grant or release call, a health check or a client's request."""
        is_named = request.headers.get('x-target-instance', self.name) == self.name
        if request.target in ('/-/grant', '/-/release'):
            body = json.loads(await reader.readexactly(request.length))
            if not is_named:
                writer.write(self._refuse(request, 421))
            elif request.target == '/-/grant':
                writer.write(self._grant(body))
            else:
                writer.write(await self._release(body))
            return True
        if request.target == '/health':
            writer.write(encode_answer(200, b'', X_Instance_Id=self.name))
            return True
        key = int(request.headers.get('x-shard-key', '-1')) if self._is_sharded else None
        if not is_named or (key is not None and self._until[key] <= time.monotonic()):
            await reader.readexactly(request.length)
            self._record.write(f'{self.name} turns {request.id} away with 421, key {key}')
            writer.write(self._refuse(request, 421))
            return True
        self.run_count += 1
        self.ran_ids.append(request.id)
        if key is not None:
            self._record.write(f'{self.name} runs {request.id} on key {key}')
            self._work_by_key[key] = self._work_by_key.get(key, 0) + 1
        try:
            if self._run is not None:
                return await self._run(self, request, reader, writer)
            await reader.readexactly(request.length)
            await asyncio.sleep(self._work_s)
            body = b'' if request.method == 'HEAD' else request.target.encode()
            writer.write(self.build_answer(request, body))
        finally:
            if key is not None:
                self._work_by_key[key] -= 1
        return True

    def _grant(self, body: dict[str, Any]) -> bytes:
        first, last, fence = body['from'], body['target'], body['fence']
        if max(self._fences[first : last + 1]) > fence:
            return encode_answer(409)
        now = time.monotonic()
        until = now + body['hold-ms'] / 1000
        is_new = fence not in self._fences[first : last + 1]
        count = last + 1 - first
        self._fences[first : last + 1] = [fence] * count
        self._until[first : last + 1] = [until] * count
        self.holds.append(Hold(self.name, first, last, fence, now, until))
        if is_new:
            self._record.write(
                f'{self.name} takes keys {first} to {last}, fence {fence}, for'
                f' {body["hold-ms"]} ms'
            )
        return encode_answer(200)

    async def _release(self, body: dict[str, Any]) -> bytes:
        first, last, fence = body['from'], body['target'], body['fence']
        now = time.monotonic()
        count = last + 1 - first
        self._until[first : last + 1] = [0.0] * count
        self._fences[first : last + 1] = [
            max(fence, seen) for seen in self._fences[first : last + 1]
        ]
        self._end_holds(first, last, now)
        self._record.write(f'{self.name} releases keys {first} to {last}, fence {fence}')
        while any(count for key, count in self._work_by_key.items() if first <= key <= last):
            await asyncio.sleep(0.005)
        return encode_answer(200, b'', X_Handover=secrets.token_hex(8))

    def _end_holds(self, first: int, last: int, now: float) -> None:
        kept = []
        for hold in self.holds:
            if hold.ends_at <= now or hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(hold._replace(last=first - 1))
            if hold.last > last:
                kept.append(hold._replace(first=last + 1))
            kept.append(
                hold._replace(
                    first=max(first, hold.first), last=min(last, hold.last), ends_at=now
                )
            )
        self.holds = kept


def find_double_holds(upstreams: list[Upstream], min_s: float) -> list[tuple[Hold, Hold]]:
    """Return pairs of holds of different upstreams on common keys for over ``min_s``."""
    pairs = []
    for one, other in itertools.combinations(upstreams, 2):
        for hold in one.holds:
            for against in other.holds:
                common_s = min(hold.ends_at, against.ends_at) - max(
                    hold.begins_at, against.begins_at
                )
                if (
                    common_s > min_s
                    and hold.first <= against.last
                    and against.first <= hold.last
                ):
                    pairs.append((hold, against))
    return pairs


def build_config(version: int, routes: list[dict[str, Any]], **limits: int) -> Any:
    """Return a configuration with ``routes``, their services and the limits.

    :param routes: specs of routes with ``name`` and, if divided by key, ``is-sharded``
    """
    resources = []
    services: dict[str, bool] = {}
    for route in routes:
        fields = dict(route)
        name, is_sharded = fields.pop('name'), fields.pop('is-sharded', False)
        services[fields['service']] = is_sharded
        spec = {
            'host': f'{name}.example',
            'path-prefix': '/x/',
            'kind': 'idempotent',
            'timeout-ms': 4000,
            'target-latency-ms': 600,
            'priority': 1,
            'max-attempts': 2,
        } | fields
        resources.append({'resource-kind': 'routes', 'metadata': {'name': name}, 'spec': spec})
    for service, is_sharded in services.items():
        spec = {
            'health-path': '/health',
            'max-conns': 110,
            'warmup-s': 3.0,
            'warmup-per-s': 8.0,
            'is-sharded': is_sharded,
            'warm-s': 3.0,
        }
        resources.append(
            {'resource-kind': 'services', 'metadata': {'name': service}, 'spec': spec}
        )
    limit_spec = {
        'max-header-bytes': 16384,
        'max-body-bytes': 8_388_608,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    } | limits
    resources.append(
        {'resource-kind': 'limits', 'metadata': {'name': 'limits'}, 'spec': limit_spec}
    )
    return {'version': f'{version:08x}', 'resources': resources}


def _find_free_port(ip: str, taken: set[int]) -> int:
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            port = int(probe.getsockname()[1])
        if port not in taken:
            taken.add(port)
            return port


class Daemon:
    """One daemon of the project, started with the command of the deploy file.

    :param number: from 1; each daemon has a loopback address of its own
    """

    def __init__(
        self, number: int, store: Store, folder: Path, record: Record, memory_mb: int = 300
    ) -> None:
        self.name = f'edge-{number}'
        self.ip = f'127.0.0.{20 + number}'
        self.zone = ('erie-shore', 'huron-bay')[number % 2]
        taken: set[int] = set()
        self.front, self.ready, self.inner = (
            _find_free_port(self.ip, taken) for _ in range(3)
        )
        self.log_path = folder / f'{self.name}.log'
        self.memory_mb = memory_mb
        self._store = store
        self._settings = folder / f'{self.name}.toml'
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, *, is_first_start: bool) -> None:
        """Start the process."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                inner=self.inner,
                front=self.front,
                ready=self.ready,
                store=self._store.address,
                memory_mb=self.memory_mb,
                bootstrap=json.dumps(is_first_start),
            )
        )
        env = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        env['COLTSFOOTSTAIR_SETTINGS'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                'python3',
                'platform/daemon.py',
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )
        self._record.write(f'{self.name} started, process {self._process.pid}')

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait for the end of the process."""
        if self._process is None:
            return
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
        await self._process.wait()

    def read_memory_mb(self) -> float:
        """Return the memory of the process that is in use, in MB."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        try:
            status = Path(f'/proc/{self._process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        """Whether the platform sends clients to it."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                try:
                    writer.write(b'GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
                    return b' 200 ' in await reader.readuntil(b'\r\n')
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


@contextlib.asynccontextmanager
async def run_daemons(
    count: int, store: Store, record: Record, memory_mb: int = 300
) -> AsyncIterator[list[Daemon]]:
    """Run daemons until the end of the block; they are ready at its start.

    :raises TimeoutError: they were not ready in time
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        daemons = [
            Daemon(number, store, folder, record, memory_mb) for number in range(1, count + 1)
        ]
        try:
            for daemon in daemons:
                await daemon.start(is_first_start=True)
            async with asyncio.timeout(START_TIMEOUT_S):
                for daemon in daemons:
                    while not await daemon.is_ready():
                        await asyncio.sleep(0.05)
            record.write('all daemons are ready')
            yield daemons
        finally:
            await asyncio.gather(*(daemon.end(signal.SIGKILL) for daemon in daemons))
            if kept := os.environ.get('KEEP_LOGS'):
                for daemon in daemons:
                    Path(kept, daemon.log_path.name).write_bytes(daemon.log_path.read_bytes())


class Client:
    """A client's connection to one daemon."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, receive_buffer_bytes: int | None = None) -> Client:
        """Connect; a small receive buffer makes it a client with a narrow link."""
        raw = socket.socket()
        raw.setblocking(False)
        if receive_buffer_bytes is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (self._daemon.ip, self._daemon.front))
        self.reader, self.writer = await asyncio.open_connection(sock=raw, limit=2**14)
        return self

    def send(
        self,
        method: str,
        host: str,
        path: str,
        body: bytes = b'',
        deadline_ms: int = 4000,
        **headers: str,
    ) -> str:
        """Send a request with a new id, and return the id."""
        request_id = secrets.token_hex(8)
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host}.example',
            f'X-Request-Id: {request_id}',
            f'X-Request-Deadline: {deadline_ms}',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        return request_id

    async def read(self, *, has_body: bool = True) -> Answer:
        """Return the next answer; one without a status if there is none."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                first, headers = _parse_head(await self.reader.readuntil(b'\r\n\r\n'))
                length = int(headers.get('content-length', '0')) if has_body else 0
                return Answer(
                    int(first.split(' ')[1]), headers, await self.reader.readexactly(length)
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Answer(0, {}, b'')

    def close(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()


def run_case(
    record_path: Path,
    is_troubled: bool,
    play: Callable[[Record, bool], Awaitable[list[str]]],
    limit_s: float = 100.0,
) -> int:
    """Play a case, and return its exit status.

    :param record_path: file for what was sent, answered and run
    :param is_troubled: whether to play it with the disruption
    :param play: plays it; returns how the rule was broken
    :param limit_s: time after which it is given up, in seconds
    """
    record = Record(record_path)
    record.write('with the disruption' if is_troubled else 'without the disruption')

    async def work() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # So that all processes are ended, too, if the script is.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await play(record, is_troubled)

    try:
        breaks = asyncio.run(work())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        return EXIT_NOT_RUN
    for text in breaks or ['the rule held']:
        record.write(text)
        print(text)
    return EXIT_BROKEN if breaks else EXIT_HELD
