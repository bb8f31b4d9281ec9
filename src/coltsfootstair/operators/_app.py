"""The WSGI application that is served at the operators' address."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import structlog

from coltsfootstair.operators._api import Api
from coltsfootstair.operators._console import Console
from coltsfootstair.operators._http import HttpError, Request, Response, read_request

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['OperatorsApp']

logger = structlog.get_logger()

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
API_PREFIX = '/api/'


class OperatorsApp:
    """Serves the console, the JSON interface, the metrics and the readiness probe.

    :param render_metrics: returns the metrics in the text format of Prometheus
    """

    def __init__(self, port: DaemonPort, render_metrics: Callable[[], bytes]) -> None:
        self._port = port
        self._render_metrics = render_metrics
        self._api = Api(port)
        self._console = Console(port)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        response = self._build_response(environ)
        status = f'{response.status.value} {response.status.phrase}'
        start_response(status, response.build_headers())
        return [b'' if environ['REQUEST_METHOD'] == 'HEAD' else response.body]

    def _build_response(self, environ: dict[str, Any]) -> Response:
        try:
            request = read_request(environ)
            return self._dispatch(request)
        except HttpError as error:
            return self._build_error_response(environ, error)
        except Exception:
            logger.exception('request of an operator failed', path=environ.get('PATH_INFO'))
            failure = HttpError(HTTPStatus.INTERNAL_SERVER_ERROR, 'the daemon failed')
            return self._build_error_response(environ, failure)

    def _dispatch(self, request: Request) -> Response:
        if request.method == 'HEAD':
            request = request._replace(method='GET')
        if request.method not in ('GET', 'POST'):
            raise HttpError(HTTPStatus.METHOD_NOT_ALLOWED, 'only GET and POST are served')
        if request.path == '/-/ready':
            return self._build_readiness_response()
        if request.path == '/metrics':
            return Response(HTTPStatus.OK, METRICS_CONTENT_TYPE, self._render_metrics())
        if request.path.startswith(API_PREFIX):
            return self._api.handle(request)
        return self._console.handle(request)

    def _build_readiness_response(self) -> Response:
        if self._port.is_ready():
            return Response(HTTPStatus.OK, 'text/plain', b'ready\n')
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, 'text/plain', b'not ready\n')

    def _build_error_response(self, environ: dict[str, Any], error: HttpError) -> Response:
        if environ.get('PATH_INFO', '').startswith(API_PREFIX):
            body = json.dumps({'outcome': 'error', 'detail': error.detail}).encode()
            return Response(error.status, 'application/json', body)
        return self._console.render_error(error)
