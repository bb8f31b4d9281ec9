"""Stand-ins and a small deployment for the scripts of the second review.

Only the standard library is used. The stand-ins do what the platform's pages say and no more:
a store of objects, backend servers without keys, and callers.
The daemons are the project's own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parents[1]
ROLE = 'router'

HEARTBEAT_S = 0.87
"""Interval at which a backend server writes its entry, in seconds; ``heartbeat-ms`` of the
site lpfs-gateway."""

START_TIMEOUT_S = 30.0
"""Time in which all daemons must be ready, in seconds."""

SERVER_SLOTS = 4
SERVER_QUEUE = 16
"""Slots of a backend server and the requests that it queues, as in the site lpfs-gateway."""

SILENCE_S = 3600.0
"""For how long a server that fell silent says nothing: longer than any case, in seconds."""

DARK_CONNECTION_COUNT = 4
"""Connections that fill the queue of a listening socket without room."""

MAX_CASE_S = 110.0
"""Longest time of a case, in seconds; it may take 120 s with the end of its processes."""

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be run as described."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the start, in seconds."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now:8.3f}  {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request(NamedTuple):
    """A request that a stand-in has read completely; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with a length; return ``None`` at the end of the connection."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip().split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of an answer; underscores in header names stand for hyphens."""
    lines = [f'HTTP/1.1 {status} Any', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def replace_in_body(answer: bytes, known: str, new: str) -> bytes:
    """Replace a text in an answer's body by one of the same length or another."""
    head, _, body = answer.partition(b'\r\n\r\n')
    changed = body.replace(known.encode(), new.encode())
    if changed == body:
        return answer
    length = f'Content-Length: {len(body)}'.encode()
    head = head.replace(length, f'Content-Length: {len(changed)}'.encode())
    return head + b'\r\n\r\n' + changed


class Listener:
    """Accepts connections on loopback and serves the requests on each in order."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._on_connection, host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.serve(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        raise NotImplementedError


class StoreLink(Listener):
    """Where one daemon, or all backend servers, reach the store.

    :ivar shown_addresses: where this daemon reaches backend servers, by their addresses; for
        servers whose entries don't change, since the keeper passes changes on
    """

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.shown_addresses: dict[str, str] = {}
        self._store = store

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one call."""
        answer = await self._store.answer(request)
        for known, shown in self.shown_addresses.items():
            answer = replace_in_body(answer, known, shown)
        writer.write(answer)
        return True


class ServerPath(Listener):
    """The way from one daemon to one backend server; while it is cut, it is refused."""

    def __init__(self, target_port: int) -> None:
        super().__init__()
        self._target_port = target_port

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        copies = [
            asyncio.ensure_future(copy_bytes(reader, far_writer)),
            asyncio.ensure_future(copy_bytes(far_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            for each in (writer, far_writer):
                each.transport.abort()
                self._writers.discard(each)


async def copy_bytes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass on bytes until the end of the connection."""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


class Store:
    """The platform's store: objects by kind and name with one revision counter."""

    def __init__(self) -> None:
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[str, int, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()

    def get(self, kind: str, name: str) -> Any:
        """Return the ``spec`` of an object, or ``None``."""
        found = self._objects.get(kind, {}).get(name)
        return None if found is None else found['spec']

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; one that stays the same keeps its revision."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return
        self._revision += 1
        item = {'metadata': {'name': name, 'revision': self._revision}, 'spec': spec}
        self._objects[kind][name] = item
        await self._record_event(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._record_event(kind, item, deleted=True)

    async def _record_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((kind, self._revision, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def answer(self, request: Request) -> bytes:
        """Return the answer to one call."""
        url = urllib.parse.urlsplit(request.target)
        parts = [urllib.parse.unquote(part) for part in url.path.split('/')[3:]]
        query = dict(urllib.parse.parse_qsl(url.query))
        status, body = await self._apply(request, parts, query)
        encoded = b'' if body is None else json.dumps(body).encode()
        return encode_answer(status, encoded)

    async def _apply(
        self, request: Request, parts: list[str], query: dict[str, str]
    ) -> tuple[int, Any]:
        kind = parts[0]
        by_name = self._objects.setdefault(kind, {})
        if request.method == 'GET' and 'watch' in query:
            after = int(query['watch'])
            return await self._watch(kind, after, int(query.get('wait-ms', '0')) / 1000)
        if request.method == 'GET' and len(parts) == 1:
            items = [
                by_name[name] for name in sorted(by_name) if name > query.get('after', '')
            ]
            return 200, {'items': items, 'has-more': False, 'current-rev': self._revision}
        if request.method == 'GET':
            found = by_name.get(parts[1])
            return (404, None) if found is None else (200, found)
        sent = json.loads(request.body)
        name = sent['metadata']['name']
        found = by_name.get(name)
        if request.method == 'POST' and found is not None:
            return 409, found
        expected = sent['metadata'].get('revision')
        if expected and (found is None or found['metadata']['revision'] != expected):
            return 409, found
        await self.put(kind, name, sent['spec'])
        return 200, self._objects[kind][name]

    async def _watch(self, kind: str, after: int, wait_s: float) -> tuple[int, Any]:
        def list_events() -> list[dict[str, Any]]:
            return [
                {'object': item, 'deleted': deleted}
                for event_kind, revision, item, deleted in self._events
                if event_kind == kind and revision > after
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(list_events()))
        return 200, {'events': list_events(), 'current-rev': self._revision}


class Run(NamedTuple):
    """A request that a backend server has begun to work on."""

    at: float
    server: str
    request_id: str


class BackendServer(Listener):
    """A backend server without keys.

    :ivar loses_answers_share: share of the requests that are run and whose connection is
        then reset without an answer
    :ivar answer_bytes: least length of the body of an answer
    :ivar goes_dark: whether it falls silent when it crashes
    :ivar crash_path: path of the requests that crash it when it begins to run them
    :ivar crash_after_s: time from the begin of such a request until the crash, in seconds
    :ivar on_crash: called then, with the server and the id of the request
    """

    def __init__(self, name: str, service: str, record: Record, runs: list[Run]) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.zone = 'north'
        self.work_s = 0.03
        self.is_up = True
        self.loses_answers_share = 0.0
        self.answer_bytes = 0
        self.born_ms = int(time.time() * 1000)
        self._record = record
        self._runs = runs
        self._slots = asyncio.Semaphore(SERVER_SLOTS)
        self._accepted_count = 0
        self._answered_count = 0
        self._lost_count = 0
        self._sequence = 0
        self._random = random.Random(name)
        self.crash_path: str | None = None
        self.crash_after_s = 0.0
        self.goes_dark = False
        self._dark_sockets: list[socket.socket] = []
        self.on_crash: Callable[[BackendServer, str], None] = lambda _server, _id: None

    def go_dark(self) -> None:
        """End like a machine without power: nothing is answered, also no new connection.

        Open connections stay open in silence. The listening socket has no room for further
        connections, so that those hang.
        """
        self.is_up = False
        if self._server is not None:
            self._server.close()
        address = ('127.0.0.1', self.port)
        silent = socket.socket()
        silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        silent.bind(address)
        silent.listen(0)
        self._dark_sockets = [silent]
        for _ in range(DARK_CONNECTION_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._dark_sockets.append(filler)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        for each in self._dark_sockets:
            each.close()
        super().stop()

    def crash(self) -> None:
        """End at once: all connections are reset and new ones refused."""
        self.is_up = False
        self.stop()

    def _loses_next_answer(self) -> bool:
        """Whether to lose an answer: at any moment at most the share of those so far."""
        if not self.loses_answers_share:
            self._answered_count = self._lost_count = 0
            return False
        self._answered_count += 1
        if self._lost_count + 1 > self.loses_answers_share * self._answered_count:
            return False
        self._lost_count += 1
        return True

    def build_entry(self) -> dict[str, Any]:
        """Return the entry that it writes into the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': SERVER_SLOTS,
            'state': 'ready',
            'warmup-left-ms': 0,
            'sequence': self._sequence,
            'born': self.born_ms,
        }

    async def beat(self, store: Store) -> None:
        """Write the entry at each heartbeat; it changes when more than ``sequence`` does."""
        while True:
            known = store.get('servers', self.name)
            entry = self.build_entry()
            if known is None or (known | {'sequence': 0}) != (entry | {'sequence': 0}):
                self._sequence += 1
                await store.put('servers', self.name, self.build_entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one call or request."""
        if not self.is_up:
            await asyncio.sleep(SILENCE_S)
        request_id = request.headers.get('x-request-id', '')
        expected = request.headers.get('x-target-instance')
        if expected is not None and expected != self.name:
            writer.write(self._refuse(421, request_id))
            return True
        if request.target == '/health':
            writer.write(
                encode_answer(
                    200, X_Instance_Id=self.name, X_Upstream_Load=self._describe_load()
                )
            )
            return True
        return await self._serve_request(request, request_id, reader, writer)

    def _refuse(self, status: int, request_id: str) -> bytes:
        return encode_answer(
            status,
            X_Request_Id=request_id,
            X_Not_Executed='1',
            X_Instance_Id=self.name,
            X_Upstream_Load=self._describe_load(),
        )

    def _describe_load(self) -> str:
        running = min(SERVER_SLOTS, self._accepted_count)
        return f'{running},{self._accepted_count - running},{SERVER_SLOTS},100'

    async def _serve_request(
        self,
        request: Request,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self._accepted_count >= SERVER_SLOTS + SERVER_QUEUE:
            writer.write(self._refuse(503, request_id))
            return True
        if request.target == self.crash_path:
            self._runs.append(Run(time.monotonic(), self.name, request_id))
            self._record.write(f'{self.name} begins to run {request_id} and crashes')
            await asyncio.sleep(self.crash_after_s)
            if not self.is_up:
                return False
            if self.goes_dark:
                self.go_dark()
                self.on_crash(self, request_id)
                await asyncio.sleep(SILENCE_S)
            self.crash()
            self.on_crash(self, request_id)
            return False
        self._accepted_count += 1
        work = asyncio.ensure_future(self._work(request_id))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False  # The sender closed the connection, so the request is dropped.
            if not self.is_up:
                await asyncio.sleep(SILENCE_S)
            if self._loses_next_answer():
                self._record.write(f'{self.name} loses the answer to {request_id}')
                writer.transport.abort()
                return False
            body = f'{request_id} {request.target}'.encode() + request.body
            body = body.ljust(self.answer_bytes, b'.')
            writer.write(
                encode_answer(
                    200,
                    body,
                    X_Request_Id=request_id,
                    X_Upstream_Signature=f'signed-by-{self.name}',
                    X_Upstream_Load=self._describe_load(),
                )
            )
            return True
        finally:
            self._accepted_count -= 1
            for task in (work, closed):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _work(self, request_id: str) -> None:
        async with self._slots:
            self._runs.append(Run(time.monotonic(), self.name, request_id))
            self._record.write(f'{self.name} runs {request_id}')
            await asyncio.sleep(self.work_s * self._random.uniform(0.7, 1.4))


class Answer(NamedTuple):
    """Answer to a caller; status 0 if the connection ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at a loopback address."""
    with contextlib.ExitStack() as opened:
        ports: list[int] = []
        while len(ports) < count:
            stream = opened.enter_context(socket.socket())
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            datagrams = opened.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            with contextlib.suppress(OSError):
                datagrams.bind((host, port))
                ports.append(port)
        return ports


SETTINGS = """
node-name = "{name}"
role = "router"
machine-class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "lakes"
internal-port-range = [{inner}, {inner}]
seed-nodes = []
bootstrap = {bootstrap}
heartbeat-ms = 870
bounds = ["seed-staleness-s=3","addr-reuse-s=2","touch-ms=3000","ack-timeout-ms=4000",\
"drain-timeout-ms=2000","grace-s=6","config-deadline-ms=2000","max-skew-ms=5000",\
"retry-budget-ratio=0.2","retry-window-s=10","retry-slack=58","hold-max-ms=10000",\
"thaw-ms=300"]
[zones]
north = "lakes"
[listen-addrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpu-share = 0.86
cpu-cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""


class Daemon:
    """One daemon of the project, as the deploy file starts it, with its own link to the store.

    Each has a loopback address of its own.
    """

    def __init__(self, number: int, link: StoreLink, folder: Path) -> None:
        self.name = f'd{number}'
        self.host = f'127.0.1.{number}'
        self.link = link
        self.front, self.ready, self.inner = find_free_ports(self.host, 3)
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f'{self.name}.log'
        self.paths: list[ServerPath] = []

    async def start(self, *, is_first_start: bool) -> None:
        """Start the process."""
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone='north',
                inner=self.inner,
                front=self.front,
                ready=self.ready,
                store=self.link.port,
                bootstrap=json.dumps(is_first_start),
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = shlex.split(deploy['roles'][ROLE]['run'])
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['COLTSFOOTSTAIR_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            starting = asyncio.ensure_future(
                asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            )
            try:
                self._process = await asyncio.shield(starting)
            except asyncio.CancelledError:
                # It must be known, so that it is ended.
                self._process = await starting
                raise

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        if self._process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def read_memory_bytes(self) -> int:
        """Return the memory that the process uses, in bytes; 0 if it has ended."""
        if not self.is_running:
            return 0
        with contextlib.suppress(OSError):
            for line in Path(f'/proc/{self.pid}/status').read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024
        return 0

    async def wait(self) -> int:
        """Wait until the process has ended, and return its status."""
        assert self._process is not None
        return await self._process.wait()

    async def is_ready(self) -> bool:
        """Whether a load balancer would send callers to it."""
        answer = await call(self.host, self.ready, 'GET', '/-/ready', {'Host': 'x'}, 1.0)
        return answer.status == 200


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    timeout_s: float,
    body: bytes = b'',
) -> Answer:
    """Send one request on a new connection, as a caller does."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers.items()]
                if body:
                    lines.append(f'Content-Length: {len(body)}')
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b'')


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Answer(int(first.split(' ')[1]), headers, body)


def build_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route to a service; its host is ``NAME.example``."""
    spec = {
        'host': f'{name}.example',
        'path-prefix': '/x/',
        'kind': 'idempotent',
        'timeout-ms': 2000,
        'target-latency-ms': 600,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
    }
    return {'resource-kind': 'routes', 'metadata': {'name': name}, 'spec': spec | fields}


def build_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service."""
    spec = {
        'health-path': '/health',
        'max-conns': 110,
        'warmup-s': 3.0,
        'warmup-per-s': 5.0,
    }
    return {'resource-kind': 'services', 'metadata': {'name': name}, 'spec': spec | fields}


def build_configuration(resources: list[dict[str, Any]], version: int = 1) -> dict[str, Any]:
    """Return a configuration with usual limits."""
    limits = {
        'max-header-bytes': 16384,
        'max-body-bytes': 1_000_000,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    }
    document = {'resource-kind': 'limits', 'metadata': {'name': 'limits'}, 'spec': limits}
    return {'version': f'{version:08x}', 'resources': [*resources, document]}


def run_case(record_path: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    A case that is told to stop, or takes too long, ends its processes and couldn't run.

    :param record_path: where to write what was sent, answered and run
    :param case: gets the record, a temporary folder and whether to cause the disruption;
        returns whether the rule was broken
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(record_path)
    record.write(f'disruption: {has_trouble}')

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(MAX_CASE_S):
                return await case(record, Path(temporary), has_trouble)

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'NOT RUN: {error!r}')
        print(f'not run: {error!r}')
        sys.exit(EXIT_NOT_RUN)
    record.write('BROKEN' if is_broken else 'HELD')
    record.close()
    print('broken' if is_broken else 'held')
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)


class Deployment:
    """A store, backend servers and daemons, whose processes end with the block."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store()
        self.servers: list[BackendServer] = []
        self.daemons: list[Daemon] = []
        self.runs: list[Run] = []
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Deployment:
        """Return itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and stand-ins."""
        for task in self._beats.values():
            task.cancel()
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon._process is not None:
                await daemon.wait()
            daemon.link.stop()
            for path in daemon.paths:
                path.stop()
        for server in self.servers:
            server.stop()
        if 'KEEP_LOGS' in os.environ:
            target = Path(os.environ['KEEP_LOGS'])
            for daemon in self.daemons:
                (target / daemon.log_path.name).write_bytes(daemon.log_path.read_bytes())

    async def add_server(self, name: str, service: str) -> BackendServer:
        """Start a backend server, which writes its entry."""
        server = BackendServer(name, service, self.record, self.runs)
        await server.start()
        self.servers.append(server)
        await self.store.put('servers', name, server.build_entry())
        self._beats[name] = asyncio.create_task(server.beat(self.store))
        self.record.write(f'{name} of {service} joins')
        return server

    def stop_beats(self, name: str) -> None:
        """Let a backend server write no further entries."""
        self._beats.pop(name).cancel()

    async def replace_crashed(
        self, server: BackendServer, name: str, back_after_s: float
    ) -> BackendServer:
        """Start a crashed server again under a new name; its entry goes after three beats."""
        self.stop_beats(server.name)
        entry_left_s = 3 * HEARTBEAT_S
        await asyncio.sleep(min(back_after_s, entry_left_s))
        if back_after_s < entry_left_s:
            replacement = await self.add_server(name, server.service)
            await asyncio.sleep(entry_left_s - back_after_s)
            await self.store.delete('servers', server.name)
            return replacement
        await self.store.delete('servers', server.name)
        await asyncio.sleep(back_after_s - entry_left_s)
        return await self.add_server(name, server.service)

    async def start_daemons(
        self, count: int, *, is_first_start: bool, has_paths: bool = False
    ) -> None:
        """Start daemons and wait until all are ready.

        :param has_paths: whether each reaches the servers by paths of its own
        """
        for number in range(1, count + 1):
            link = StoreLink(self.store)
            await link.start()
            daemon = Daemon(number, link, self.folder)
            self.daemons.append(daemon)
            if has_paths:
                await self._make_paths(daemon)
        for daemon in self.daemons:
            await daemon.start(is_first_start=is_first_start)
        await self.wait_until_ready()
        self.record.write(f'{count} daemons are ready')

    async def _make_paths(self, daemon: Daemon) -> None:
        for server in self.servers:
            path = ServerPath(server.port)
            await path.start()
            daemon.paths.append(path)
            shown = f'127.0.0.1:{path.port}'
            daemon.link.shown_addresses[f'127.0.0.1:{server.port}'] = shown

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for daemon in self.daemons:
                    while not await daemon.is_ready():
                        await asyncio.sleep(0.05)
        except TimeoutError:
            raise NotRunError('the daemons were not ready in time') from None

    def find_keeper(self) -> Daemon | None:
        """Return the daemon that holds the keeper lease, by the store."""
        lease = self.store.get('coltsfootstair-keys', 'keeper') or {}
        holder = lease.get('holder')
        return next((daemon for daemon in self.daemons if daemon.name == holder), None)
