"""HTTP server for callers and the load balancer.

It uses ``cheroot`` instead of the similar ``waitress``, which buffers a whole body, in memory
or on disk, before it calls the application; uploads must be streamed.
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
from cheroot.server import HTTPConnection

from coltsfootstair.entry._body import BODY_KEY, CallerBody, CallerGateway
from coltsfootstair.entry._types import AnswerTruncatedError, CallerRequest
from coltsfootstair.results import Ran, Refusal, ResultCode, http_status, title
from coltsfootstair.sockets import LingeringCloser

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from coltsfootstair.clock import Clock
    from coltsfootstair.entry._relay import Relay
    from coltsfootstair.entry._types import RelayedAnswer

__all__ = ['CallerServer']

logger = structlog.get_logger()

CALLER_THREAD_COUNT = 96
"""Upper bound of the callers' requests that one daemon works on at once."""

MAX_BACKLOG_COUNT = 1024
"""Connections that may wait to be accepted."""

IDLE_TIMEOUT_S = 30
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_UPLOAD_TIMEOUT_MS = 900_000
MAX_TIMEOUT_MS = 3_600_000
MAX_DELIVERY_S = 30.0
"""How long a stop waits for callers that read their last answers, in seconds."""

MAX_ID_LENGTH = 512
"""Upper bound of a key or operation id, in characters."""

READY_PATH = '/-/ready'

_NOT_RELAYED_HEADERS = frozenset(
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
"""Headers that apply to one connection only, or that the daemon itself evaluates."""

_OWN_HEADER_PREFIX = 'coltsfootstair-'
KEY_HEADER = 'coltsfootstair-key'

Environ = dict[str, Any]


class _LingeringConnection(HTTPConnection):
    """Connection that is closed once its answers are delivered."""

    def __init__(self, closer: LingeringCloser, *args: Any) -> None:
        super().__init__(*args)
        self._closer = closer

    def _close_kernel_socket(self) -> None:
        self._closer.end(self.socket)


class CallerServer:
    """Converts HTTP requests into relayed ones, and their outcomes into HTTP answers.

    :param address: ``IP:PORT`` to listen on
    :param upload_services: returns the names of the services that take uploads
    :param count_request: called with the service and the result code of each request
    :param record_refusal: called with the request id, service, key and refusal
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        relay: Relay,
        is_ready: Callable[[], bool],
        upload_services: Callable[[], frozenset[str]],
        count_request: Callable[[str, ResultCode], None],
        record_refusal: Callable[[str, str, str, Refusal], None] | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._clock = clock
        self._relay = relay
        self._is_ready = is_ready
        self._upload_services = upload_services
        self._count_request = count_request
        self._record_refusal = record_refusal
        self._active_count = 0
        self._lock = threading.Lock()
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=CALLER_THREAD_COUNT,
            request_queue_size=MAX_BACKLOG_COUNT,
            timeout=IDLE_TIMEOUT_S,
        )
        self._server.gateway = CallerGateway
        self._closer = LingeringCloser(clock)
        self._server.ConnectionClass = partial(_LingeringConnection, self._closer)
        self._thread = threading.Thread(target=self._serve, name='callers', daemon=True)

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that callers connect to."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def bind(self) -> None:
        """Bind the address.

        :raises OSError: it is in use
        """
        self._server.prepare()

    def start(self) -> None:
        """Start the thread that serves callers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; call this only when no request is active.

        Returns when callers have received their answers, or do not read them.
        """
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()
        self._closer.wait_until_delivered(MAX_DELIVERY_S)

    def count_active(self) -> int:
        """Return the number of callers' requests in progress."""
        return self._active_count

    def _serve(self) -> None:
        self._server.serve()

    def _application(self, environ: Environ, start: Callable[..., object]) -> Iterable[bytes]:
        if environ['PATH_INFO'] == READY_PATH:
            return _answer_readiness_probe(self._is_ready(), start)
        with self._lock:
            self._active_count += 1
        try:
            body: CallerBody = environ[BODY_KEY]
            return _AnswerBody(self._answer(environ, start), partial(self._end_request, body))
        except BaseException:
            self._end_request(environ[BODY_KEY])
            raise

    def _end_request(self, body: CallerBody) -> None:
        body.discard(self._clock)
        with self._lock:
            self._active_count -= 1

    def _answer(self, environ: Environ, start: Callable[..., object]) -> Iterator[bytes]:
        request_id = uuid.uuid4().hex
        request = _parse_request(environ, request_id, self._upload_services())
        if isinstance(request, Refusal):
            return self._refuse('', '', request_id, request, start)
        try:
            outcome = self._relay.serve(request)
        except Exception:
            logger.exception('request failed inside the daemon', request_id=request_id)
            outcome = Refusal(ResultCode.INTERNAL, Ran.UNKNOWN, 'the daemon failed')
        if isinstance(outcome, Refusal):
            return self._refuse(request.service, request.key, request_id, outcome, start)
        self._count_request(request.service, ResultCode.ANSWERED)
        return _relay_answer(request_id, outcome, start)

    def _refuse(
        self,
        service: str,
        key: str,
        request_id: str,
        refusal: Refusal,
        start: Callable[..., object],
    ) -> Iterator[bytes]:
        self._count_request(service, refusal.code)
        if self._record_refusal is not None:
            self._record_refusal(request_id, service, key, refusal)
        body = json.dumps(_build_problem(refusal)).encode()
        headers = [
            ('Content-Type', 'application/problem+json'),
            ('Content-Length', str(len(body))),
            ('Coltsfootstair-Result', str(int(refusal.code))),
            ('Coltsfootstair-Request-Id', request_id),
        ]
        if refusal.retry_after_s is not None:
            headers.append(('Retry-After', str(max(1, math.ceil(refusal.retry_after_s)))))
        start(_build_status(http_status(refusal.code)), headers)
        return iter([body])


class _AnswerBody:
    """Body of an answer that calls ``on_closed`` when the server has finished with it."""

    def __init__(self, chunks: Iterator[bytes], on_closed: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_closed = on_closed

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the iterator of chunks; the server calls this once for each answer."""
        close = getattr(self._chunks, 'close', None)
        if close is not None:
            close()
        self._on_closed()


def _answer_readiness_probe(is_ready: bool, start: Callable[..., object]) -> list[bytes]:
    body = b'ready\n' if is_ready else b'not ready\n'
    start(
        '200 OK' if is_ready else '503 Service Unavailable',
        [('Content-Length', str(len(body)))],
    )
    return [body]


def _relay_answer(
    request_id: str, answer: RelayedAnswer, start: Callable[..., object]
) -> Iterator[bytes]:
    head = answer.head
    headers = [item for item in head.headers if _is_relayed_to_caller(item[0])]
    headers.append(('Coltsfootstair-Result', str(int(ResultCode.ANSWERED))))
    headers.append(('Coltsfootstair-Request-Id', request_id))
    if head.complete:
        headers.append(('Content-Length', str(len(head.body))))
    elif head.length >= 0:
        headers.append(('Content-Length', str(head.length)))
    start(_build_status(head.status), headers)
    return _log_truncation(answer.chunks, request_id)


def _log_truncation(chunks: Iterator[bytes], request_id: str) -> Iterator[bytes]:
    """Yield the chunks; log and re-raise a truncation.

    The server then closes the connection, and the caller sees that the answer is truncated.
    """
    try:
        yield from chunks
    except AnswerTruncatedError:
        logger.warning('answer to caller truncated', request_id=request_id)
        raise


def _build_status(status: int) -> str:
    return f'{status} {responses.get(status, "Unknown")}'


def _build_problem(refusal: Refusal) -> dict[str, object]:
    return {
        'type': 'about:blank',
        'status': http_status(refusal.code),
        'code': int(refusal.code),
        'title': title(refusal.code),
        'detail': refusal.detail,
        'ran': refusal.ran.value,
    }


def _parse_request(
    environ: Environ, request_id: str, upload_services: frozenset[str]
) -> CallerRequest | Refusal:
    target = environ['REQUEST_URI'].lstrip('/')
    path, _, query = target.partition('?')
    quoted_service, _, rest = path.partition('/')
    service = urllib.parse.unquote(quoted_service)
    headers = [item for item in _read_headers(environ) if _is_end_to_end(item[0])]
    key = environ.get('HTTP_COLTSFOOTSTAIR_KEY', '')
    operation_id = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    if len(key) > MAX_ID_LENGTH or len(operation_id) > MAX_ID_LENGTH:
        return _refuse_header(f'a key or operation id is longer than {MAX_ID_LENGTH}')
    default_ms = (
        DEFAULT_UPLOAD_TIMEOUT_MS if service in upload_services else DEFAULT_TIMEOUT_MS
    )
    timeout_ms = _parse_timeout_ms(environ.get('HTTP_COLTSFOOTSTAIR_TIMEOUT_MS'), default_ms)
    if timeout_ms is None:
        return _refuse_header(
            f'Coltsfootstair-Timeout-Ms is a number from 1 to {MAX_TIMEOUT_MS}'
        )
    forwarded_caller = environ.get('HTTP_X_FORWARDED_FOR', '').split(',')[0].strip()
    return CallerRequest(
        request_id,
        operation_id,
        service,
        key,
        forwarded_caller or environ.get('REMOTE_ADDR', ''),
        environ['REQUEST_METHOD'],
        f'/{rest}?{query}' if query else f'/{rest}',
        headers,
        timeout_ms / 1000,
        environ[BODY_KEY],
    )


def _refuse_header(detail: str) -> Refusal:
    return Refusal(ResultCode.BAD_HEADER, Ran.NO, detail)


def _parse_timeout_ms(text: str | None, default_ms: int) -> int | None:
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_TIMEOUT_MS:
        return None
    return int(text)


def _read_headers(environ: Environ) -> Iterator[tuple[str, str]]:
    if environ.get('CONTENT_TYPE'):
        yield 'Content-Type', environ['CONTENT_TYPE']
    for name, value in environ.items():
        if name.startswith('HTTP_'):
            yield name[5:].replace('_', '-').title(), value


def _is_end_to_end(name: str) -> bool:
    lower = name.lower()
    return not lower.startswith(_OWN_HEADER_PREFIX) and lower not in _NOT_RELAYED_HEADERS


def _is_relayed_to_caller(name: str) -> bool:
    return _is_end_to_end(name) or name.lower() == KEY_HEADER
