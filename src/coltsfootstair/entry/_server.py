"""The HTTP server towards callers and the balancer.

``waitress`` takes a whole body in before the application sees it, in memory or on a
disk; uploads have to stream here, so its nearest kin ``cheroot`` serves callers.
"""

from __future__ import annotations

import json
import math
import threading
import urllib.parse
import uuid
from functools import partial
from http.client import responses
from typing import TYPE_CHECKING, Any

import structlog
from cheroot import wsgi

from coltsfootstair.entry._body import BODY_KEY, CallerBody, CallerGateway
from coltsfootstair.entry._types import AnswerTruncatedError, CallerRequest
from coltsfootstair.results import Ran, Refusal, ResultCode, http_status, title

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from coltsfootstair.clock import Clock
    from coltsfootstair.entry._relay import Relay
    from coltsfootstair.entry._types import RelayedAnswer

__all__ = ['CallerServer']

logger = structlog.get_logger()

CALLER_THREADS = 96
"""Requests of callers that one daemon works on at once."""

BACKLOG = 1024
IDLE_TIMEOUT_S = 30
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_UPLOAD_TIMEOUT_MS = 900_000
MAX_TIMEOUT_MS = 3_600_000
MAX_NAME_CHARS = 512
"""Upper bound of a key or operation id, in characters."""

READY_PATH = '/-/ready'

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
_OWN_PREFIX = 'coltsfootstair-'
KEY_HEADER = 'coltsfootstair-key'

Environ = dict[str, Any]


class CallerServer:
    """Turns HTTP requests into relayed ones, and their outcomes into answers."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        relay: Relay,
        is_ready: Callable[[], bool],
        upload_services: Callable[[], frozenset[str]],
        count: Callable[[str, ResultCode], None],
        note_refusal: Callable[[str, str, str, Refusal], None] | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._clock = clock
        self._relay = relay
        self._is_ready = is_ready
        self._upload_services = upload_services
        self._count = count
        self._note_refusal = note_refusal
        self._active = 0
        self._lock = threading.Lock()
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=CALLER_THREADS,
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
        )
        self._server.gateway = CallerGateway
        self._thread = threading.Thread(target=self._serve, name='callers', daemon=True)

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that callers connect to."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def bind(self) -> None:
        """Take the address; raises ``OSError`` if it is in use."""
        self._server.prepare()

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests under way should have ended before."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()

    def count_active(self) -> int:
        """Return how many requests of callers are under way."""
        return self._active

    def _serve(self) -> None:
        self._server.serve()

    def _application(self, environ: Environ, start: Callable[..., object]) -> Iterable[bytes]:
        if environ['PATH_INFO'] == READY_PATH:
            return _ready(self._is_ready(), start)
        with self._lock:
            self._active += 1
        try:
            body: CallerBody = environ[BODY_KEY]
            return _Closing(self._answer(environ, start), partial(self._ended, body))
        except BaseException:
            self._ended(environ[BODY_KEY])
            raise

    def _ended(self, body: CallerBody) -> None:
        body.discard(self._clock)
        with self._lock:
            self._active -= 1

    def _answer(self, environ: Environ, start: Callable[..., object]) -> Iterator[bytes]:
        request_id = uuid.uuid4().hex
        request = _parse(environ, request_id, self._upload_services())
        if isinstance(request, Refusal):
            return self._refuse('', '', request_id, request, start)
        try:
            outcome = self._relay.serve(request)
        except Exception:
            logger.exception('request failed', request_id=request_id)
            outcome = Refusal(ResultCode.INTERNAL, Ran.UNKNOWN, 'the daemon failed')
        if isinstance(outcome, Refusal):
            return self._refuse(request.service, request.key, request_id, outcome, start)
        self._count(request.service, ResultCode.ANSWERED)
        return _pass_on(request_id, outcome, start)

    def _refuse(
        self,
        service: str,
        key: str,
        request_id: str,
        refusal: Refusal,
        start: Callable[..., object],
    ) -> Iterator[bytes]:
        self._count(service, refusal.code)
        if self._note_refusal is not None:
            self._note_refusal(request_id, service, key, refusal)
        body = json.dumps(_problem(refusal)).encode()
        headers = [
            ('Content-Type', 'application/problem+json'),
            ('Content-Length', str(len(body))),
            ('Coltsfootstair-Result', str(int(refusal.code))),
            ('Coltsfootstair-Request-Id', request_id),
        ]
        if refusal.retry_after_s is not None:
            headers.append(('Retry-After', str(max(1, math.ceil(refusal.retry_after_s)))))
        start(_status_line(http_status(refusal.code)), headers)
        return iter([body])


class _Closing:
    """An answer's body that tells when the server is done with it."""

    def __init__(self, chunks: Iterator[bytes], ended: Callable[[], None]) -> None:
        self._chunks = chunks
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the chunks; the server calls this once for each answer."""
        close = getattr(self._chunks, 'close', None)
        if close is not None:
            close()
        self._ended()


def _ready(ready: bool, start: Callable[..., object]) -> list[bytes]:
    body = b'ready\n' if ready else b'not ready\n'
    start(
        '200 OK' if ready else '503 Service Unavailable', [('Content-Length', str(len(body)))]
    )
    return [body]


def _pass_on(
    request_id: str, answer: RelayedAnswer, start: Callable[..., object]
) -> Iterator[bytes]:
    head = answer.head
    headers = [item for item in head.headers if _is_passed_on(item[0])]
    headers.append(('Coltsfootstair-Result', str(int(ResultCode.ANSWERED))))
    headers.append(('Coltsfootstair-Request-Id', request_id))
    if head.complete:
        headers.append(('Content-Length', str(len(head.body))))
    elif head.length >= 0:
        headers.append(('Content-Length', str(head.length)))
    start(_status_line(head.status), headers)
    return _guarded(answer.chunks, request_id)


def _guarded(chunks: Iterator[bytes], request_id: str) -> Iterator[bytes]:
    """Pass chunks on; an answer that is cut must not look whole to the caller."""
    try:
        yield from chunks
    except AnswerTruncatedError:
        logger.warning('answer cut', request_id=request_id)
        raise


def _status_line(status: int) -> str:
    return f'{status} {responses.get(status, "Unknown")}'


def _problem(refusal: Refusal) -> dict[str, object]:
    return {
        'type': 'about:blank',
        'status': http_status(refusal.code),
        'code': int(refusal.code),
        'title': title(refusal.code),
        'detail': refusal.detail,
        'ran': refusal.ran.value,
    }


def _parse(
    environ: Environ, request_id: str, uploads: frozenset[str]
) -> CallerRequest | Refusal:
    target = environ['REQUEST_URI'].lstrip('/')
    path, _, query = target.partition('?')
    quoted_service, _, rest = path.partition('/')
    service = urllib.parse.unquote(quoted_service)
    headers = [item for item in _headers(environ) if _is_end_to_end(item[0])]
    key = environ.get('HTTP_COLTSFOOTSTAIR_KEY', '')
    operation_id = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    if len(key) > MAX_NAME_CHARS or len(operation_id) > MAX_NAME_CHARS:
        return _bad_header(f'a key or operation id is longer than {MAX_NAME_CHARS}')
    default_ms = DEFAULT_UPLOAD_TIMEOUT_MS if service in uploads else DEFAULT_TIMEOUT_MS
    timeout_ms = _timeout_ms(environ.get('HTTP_COLTSFOOTSTAIR_TIMEOUT_MS'), default_ms)
    if timeout_ms is None:
        return _bad_header(f'Coltsfootstair-Timeout-Ms is a number from 1 to {MAX_TIMEOUT_MS}')
    forwarded = environ.get('HTTP_X_FORWARDED_FOR', '').split(',')[0].strip()
    return CallerRequest(
        request_id,
        operation_id,
        service,
        key,
        forwarded or environ.get('REMOTE_ADDR', ''),
        environ['REQUEST_METHOD'],
        f'/{rest}?{query}' if query else f'/{rest}',
        headers,
        timeout_ms / 1000,
        environ[BODY_KEY],
    )


def _bad_header(detail: str) -> Refusal:
    return Refusal(ResultCode.BAD_HEADER, Ran.NO, detail)


def _timeout_ms(text: str | None, default_ms: int) -> int | None:
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_TIMEOUT_MS:
        return None
    return int(text)


def _headers(environ: Environ) -> Iterator[tuple[str, str]]:
    if environ.get('CONTENT_TYPE'):
        yield 'Content-Type', environ['CONTENT_TYPE']
    for name, value in environ.items():
        if name.startswith('HTTP_'):
            yield name[5:].replace('_', '-').title(), value


def _is_end_to_end(name: str) -> bool:
    lower = name.lower()
    return not lower.startswith(_OWN_PREFIX) and lower not in _HOP_BY_HOP


def _is_passed_on(name: str) -> bool:
    return _is_end_to_end(name) or name.lower() == KEY_HEADER
