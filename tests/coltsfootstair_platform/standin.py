"""Stand-ins for the platform's store and a backend server, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import random
import time
import urllib.parse
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

__all__ = [
    'Listener',
    'ReceivedRequest',
    'ServerStandin',
    'StoreStandin',
    'build_configuration',
    'build_route',
    'build_service',
    'build_workspace',
    'encode_answer',
    'read_request',
]


PIECE_S = 0.02
"""Time between two pieces of an answer that is sent slowly, in seconds."""


PAGE_SIZE = 3
"""Objects with a readable name in a page of a list."""

MAX_STALE_AGE_S = 6.0
"""Highest age of a page of a list that may be stale, in seconds."""


class RawItem(dict[str, Any]):
    """An object that the store sends as given bytes, which need not be JSON.

    :param encoded: the bytes of the whole object, with its metadata and value
    :param sent_name: the name that is sent, or ``None`` if it can't be read
    """

    def __init__(self, revision: int, encoded: bytes, sent_name: str | None) -> None:
        super().__init__(metadata={'revision': revision}, spec=None)
        self.encoded = encoded
        self.sent_name = sent_name


class EncodedItem(dict[str, Any]):
    """An object that is encoded once for all answers that have it."""

    def __init__(self, name: str, revision: int, spec: Any) -> None:
        super().__init__(metadata={'name': name, 'revision': revision}, spec=spec)
        self._encoded: bytes | None = None

    @property
    def encoded(self) -> bytes:
        """The bytes of the object in an answer."""
        if self._encoded is None:
            self._encoded = json.dumps(self).encode()
        return self._encoded


def _encode_body(body: Any) -> bytes:
    """Return the JSON of an answer, in which each object has its own bytes."""
    if isinstance(body, (RawItem, EncodedItem)):
        return body.encoded
    if isinstance(body, list):
        return b'[' + b', '.join(_encode_body(each) for each in body) + b']'
    if isinstance(body, dict):
        fields = [
            json.dumps(name).encode() + b': ' + _encode_body(value)
            for name, value in body.items()
        ]
        return b'{' + b', '.join(fields) + b'}'
    return json.dumps(body).encode()


def _decode_name(encoded: bytes) -> str | None:
    """Return the name that ``encoded`` is as JSON, or ``None`` if it is none."""
    try:
        name = json.loads(encoded)
    except ValueError:
        return None
    return name if isinstance(name, str) and name else None


class ReceivedRequest(NamedTuple):
    """A request that a stand-in has received completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return ReceivedRequest(method, target, headers, body)


def encode_answer(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return the bytes of an answer; underscores in header names stand for hyphens."""
    lines = [f'HTTP/1.1 {status} Any', f'Content-Length: {len(body)}']
    lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Listener:
    """Accepts connections, and serves the requests on each in order with ``_serve``."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._on_connection, '127.0.0.1', port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._serve(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            return  # The peer closed the connection, or the test has ended.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        raise NotImplementedError


class _Write(NamedTuple):
    """One change of an object; the item is ``None`` if it was deleted."""

    at: float
    revision: int
    kind: str
    name: str
    item: dict[str, Any] | None


class StoreStandin(Listener):
    """Holds objects by kind and name, with one revision counter for all.

    Lists have pages of ``PAGE_SIZE`` objects. Each page of one that may be stale is of another
    age, by ``draw_stale_age_s``.

    Set ``down`` to answer every call with 503, ``bytes_per_s`` to send each answer no
    faster than that, as over a narrow link, and ``max_event_count`` to drop older events than
    the last of that number. ``take_copy`` and ``restore`` bring it back
    from an older copy of itself; set ``answered_era`` to answer with another era than its own.
    """

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.bytes_per_s: float | None = None
        self.max_event_count: int | None = None
        self.calls = 0
        self.answer_bytes_by_kind: Counter[str] = Counter()
        self.era = 1
        self.answered_era: int | None = None
        self._copy: tuple[int, dict[str, dict[str, dict[str, Any]]]] = (1, {})
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[str, int, dict[str, Any], bool]] = []
        self._oldest_watchable_revision = 0
        self._changed = asyncio.Condition()
        ages = random.Random(1)
        self.draw_stale_age_s: Callable[[], float] = lambda: ages.uniform(0.0, MAX_STALE_AGE_S)
        self._first_state = copy.deepcopy(self._copy)
        self._writes: list[_Write] = []

    def take_copy(self) -> None:
        """Keep a copy of all objects for ``restore``."""
        self._copy = (self._revision, copy.deepcopy(self._objects))

    async def restore(self) -> None:
        """Come back from the copy, in a new era: later revisions are given out again."""
        self.era += 1
        self._revision, objects = self._copy
        self._objects = copy.deepcopy(objects)
        # A stale state is one of the same era.
        self._first_state, self._writes = copy.deepcopy(self._copy), []
        self.discard_history()
        async with self._changed:
            self._changed.notify_all()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as operators and backend servers do."""
        self._revision += 1
        item = EncodedItem(name, self._revision, spec)
        self._objects.setdefault(kind, {})[name] = item
        self._writes.append(_Write(time.monotonic(), self._revision, kind, name, item))
        await self._record_event(kind, item, deleted=False)

    async def put_raw(
        self, kind: str, name: str, spec: bytes, encoded_name: bytes | None = None
    ) -> None:
        """Write an object whose value is sent as the bytes ``spec``, be they JSON or not.

        :param name: the name by which ``delete`` and calls know the object
        :param encoded_name: the bytes that are sent as its name, quotation marks included
        """
        self._revision += 1
        sent_name = json.dumps(name).encode() if encoded_name is None else encoded_name
        metadata = b'{"name": %s, "revision": %d}' % (sent_name, self._revision)
        item = RawItem(
            self._revision,
            b'{"metadata": %s, "spec": %s}' % (metadata, spec),
            _decode_name(sent_name),
        )
        self._objects.setdefault(kind, {})[name] = item
        self._writes.append(_Write(time.monotonic(), self._revision, kind, name, item))
        await self._record_event(kind, item, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        self._writes.append(_Write(time.monotonic(), self._revision, kind, name, None))
        await self._record_event(kind, item, deleted=True)

    def get(self, kind: str, name: str) -> Any:
        """Return the value of an object, or ``None`` if there is no such object."""
        return self._objects.get(kind, {}).get(name, {}).get('spec')

    def discard_history(self) -> None:
        """Drop all events so far; watches from an earlier revision are answered with 410."""
        self._events.clear()
        self._oldest_watchable_revision = self._revision

    async def _record_event(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((kind, self._revision, item, deleted))
        if self.max_event_count is not None and len(self._events) > self.max_event_count:
            _, self._oldest_watchable_revision, _, _ = self._events.pop(0)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.calls += 1
        if self.down:
            writer.write(encode_answer(503, Store_Era=str(self.era)))
            return True
        url = urllib.parse.urlsplit(request.target)
        parts = [urllib.parse.unquote(part) for part in url.path.split('/')[3:]]
        query = dict(urllib.parse.parse_qsl(url.query))
        status, body = await self._answer(request, parts, query)
        era = self.era if self.answered_era is None else self.answered_era
        answer = encode_answer(status, _encode_body(body), Store_Era=str(era))
        if parts:
            self.answer_bytes_by_kind[parts[0]] += len(answer)
        await self._send(answer, writer)
        return True

    async def _send(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        while self.bytes_per_s is not None and answer:
            size = max(1, int(self.bytes_per_s * PIECE_S))
            writer.write(answer[:size])
            answer = answer[size:]
            if answer:
                await asyncio.sleep(PIECE_S)
            if writer.is_closing():
                return
        writer.write(answer)

    async def _answer(
        self, request: ReceivedRequest, parts: list[str], query: dict[str, str]
    ) -> tuple[int, Any]:
        kind = parts[0]
        by_name = self._objects.setdefault(kind, {})
        if request.method == 'GET' and 'watch' in query:
            if not self._oldest_watchable_revision <= int(query['watch']) <= self._revision:
                return 410, None
            return 200, await self._watch(
                kind, int(query['watch']), int(query.get('wait-ms', '0')) / 1000
            )
        if request.method == 'GET' and len(parts) == 1:
            return 200, self._list(kind, query)
        if request.method == 'GET':
            found = by_name.get(parts[1])
            return (200, found) if found else (404, None)
        sent = json.loads(request.body)
        name = sent['metadata']['name']
        found = by_name.get(name)
        if request.method == 'POST' and found is not None:
            return 409, found
        expected = sent['metadata'].get('revision')
        if expected and (found is None or found['metadata']['revision'] != expected):
            return 409, found
        await self.put(kind, name, sent['spec'])
        return 200, by_name[name]

    def _list(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of a list."""
        revision, by_name = self._revision, self._objects.get(kind, {})
        if query.get('allow-stale') == '1':
            revision, by_name = self._read_state(
                kind, time.monotonic() - self.draw_stale_age_s()
            )
        by_sent_name: dict[str, list[dict[str, Any]]] = {}
        nameless = []
        for name, item in by_name.items():
            sent_name = item.sent_name if isinstance(item, RawItem) else name
            if sent_name is None:
                nameless.append(item)
            elif sent_name > query.get('after', ''):
                by_sent_name.setdefault(sent_name, []).append(item)
        names = sorted(by_sent_name)
        items = [item for name in names[:PAGE_SIZE] for item in by_sent_name[name]]
        return {
            'items': nameless + items,
            'has-more': len(names) > PAGE_SIZE,
            'current-rev': revision,
        }

    def _read_state(self, kind: str, at: float) -> tuple[int, dict[str, dict[str, Any]]]:
        """Return the revision, and the objects of a kind, at a time of the monotonic clock."""
        revision, by_kind = self._first_state
        by_name = dict(by_kind.get(kind, {}))
        for write in self._writes:
            if write.at > at:
                break
            revision = write.revision
            if write.kind != kind:
                continue
            if write.item is None:
                by_name.pop(write.name, None)
            else:
                by_name[write.name] = write.item
        return revision, by_name

    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        def events() -> list[dict[str, Any]]:
            return [
                {'object': item, 'deleted': deleted}
                for event_kind, revision, item, deleted in self._events
                if event_kind == kind and revision > after
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: bool(events()))
        return {'events': events(), 'current-rev': self._revision}


Behaviour = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[bool]]


class ServerStandin(Listener):
    """A backend server that accepts every grant and release call.

    :param behaviour: answers a request; returns whether the connection stays open
    """

    def __init__(self, name: str, behaviour: Behaviour | None = None) -> None:
        super().__init__()
        self.name = name
        self.behaviour = behaviour or self.echo
        self.received: list[ReceivedRequest] = []
        self.grant_calls: list[tuple[str, dict[str, Any]]] = []
        self.abandoned_count = 0

    async def echo(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer at once with the path and body of the request."""
        writer.write(self.build_answer(request))
        return True

    def build_answer(
        self, request: ReceivedRequest, body: bytes | None = None, **headers: str
    ) -> bytes:
        """Return a complete, signed answer to ``request``."""
        answer_body = request.target.encode() + request.body if body is None else body
        return encode_answer(
            200,
            answer_body,
            X_Request_Id=request.headers.get('x-request-id', ''),
            X_Upstream_Signature=f'signed-by-{self.name}',
            X_Upstream_Load='1,0,4,100',
            **headers,
        )

    def build_entry(
        self, service_name: str, zone: str = 'north', **fields: Any
    ) -> dict[str, Any]:
        """Return the entry that the server writes about itself into the store.

        :param service_name: the service that it belongs to
        """
        return {
            'service': service_name,
            'address': f'127.0.0.1:{self.port}',
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': 1700000000000,
        } | fields

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.target in ('/-/grant', '/-/release'):
            self.grant_calls.append((request.target, json.loads(request.body)))
            is_release = request.target == '/-/release'
            # Each handover is another one.
            handover = {'X_Handover': f'h{len(self.grant_calls)}'} if is_release else {}
            writer.write(encode_answer(200, b'', **handover))
            return True
        self.received.append(request)
        work = asyncio.ensure_future(self.behaviour(request, writer))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            # The daemon closed the connection or sent more data; both end this request.
            self.abandoned_count += 1
            work.cancel()
            return False
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        return work.result()


def build_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    spec = {
        'host': f'{name}.example',
        'path-prefix': '/x/',
        'kind': 'idempotent',
        'timeout-ms': 1000,
        'target-latency-ms': 300,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
    }
    return {'resource-kind': 'routes', 'metadata': {'name': name}, 'spec': spec | fields}


def build_service(name: str, **fields: Any) -> dict[str, Any]:
    spec = {
        'health-path': '/health',
        'max-conns': 50,
        'warmup-s': 3.0,
        'warmup-per-s': 5.0,
    }
    return {'resource-kind': 'services', 'metadata': {'name': name}, 'spec': spec | fields}


def build_configuration(version: int = 1, **limits: int) -> dict[str, Any]:
    """Return a configuration with routes for lookups, bookings, uploads and keyed requests."""
    default_limits = {
        'max-header-bytes': 4096,
        'max-body-bytes': 1_000_000,
        'header-timeout-ms': 300,
        'idle-timeout-ms': 5000,
    }
    return {
        'version': f'{version:08x}',
        'resources': [
            build_route('lookups', 'calendar'),
            build_route('bookings', 'desk', kind='non_idempotent'),
            build_route('uploads', 'desk', kind='upload'),
            build_route('keyed', 'slots'),
            build_service('calendar'),
            build_service('desk'),
            build_service('slots', **{'is-sharded': True, 'warm-s': 3.0}),
            {'resource-kind': 'limits', 'metadata': {}, 'spec': default_limits | limits},
        ],
    }


def build_workspace(name: str, *keys: str, **spec: Any) -> dict[str, Any]:
    """Return a workspace of a configuration; underscores in names stand for hyphens."""
    fields = {key.replace('_', '-'): value for key, value in spec.items()}
    return {
        'resource-kind': 'tenants',
        'metadata': {'name': name},
        'spec': {'api-keys': list(keys), **fields},
    }


@contextlib.asynccontextmanager
async def run_listeners(*listeners: Listener) -> AsyncIterator[None]:
    """Run stand-ins until the end of the block."""
    for listener in listeners:
        await listener.start()
    try:
        yield
    finally:
        for listener in listeners:
            listener.stop()
