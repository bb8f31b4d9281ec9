"""The JSON interface that the operators' commands use."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.document import State
from coltsfootstair.operators._http import HttpError, Request, Response, json_response
from coltsfootstair.operators._plain import plain, plain_event, plain_result
from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
)

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['GUARD_HEADER', 'Api']

GUARD_HEADER = 'Coltsfootstair-Operator'
"""Must be on each change; a page of another site can not make a browser send it."""


class Api:
    """Answers what is asked below ``/api/``."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port

    def handle(self, request: Request) -> Response:
        """Answer ``request``.

        :raises HttpError: there is nothing at its path, or it is not allowed
        """
        if request.method == 'POST' and GUARD_HEADER.lower() not in request.headers_by_name:
            raise HttpError(HTTPStatus.FORBIDDEN, f'the header {GUARD_HEADER} is missing')
        match request.method, request.path.split('/')[2:]:
            case 'GET', ['status']:
                return json_response(plain(self._port.status()))
            case 'GET', ['timeline']:
                return json_response([plain_event(one) for one in self._port.timeline()])
            case 'GET', ['document']:
                return json_response(plain(self._port.document()))
            case 'GET', ['owner']:
                return self._owner(request)
            case 'POST', ['document']:
                return self._apply(request)
            case 'POST', ['data-centres']:
                name, state, force = _one(request, 'name'), _state(request), _force(request)
                return _result(self._port.set_data_centre(name, state, force))
            case 'POST', ['backend-servers']:
                name, state, force = _one(request, 'name'), _state(request), _force(request)
                return _result(self._port.set_backend_server(name, state, force))
        raise HttpError(HTTPStatus.NOT_FOUND, 'there is nothing here')

    def _owner(self, request: Request) -> Response:
        found = self._port.find_owner(_one(request, 'service'), _one(request, 'key'))
        if found is None:
            raise HttpError(HTTPStatus.NOT_FOUND, 'the service has no keys of its own')
        return json_response(plain(found))

    def _apply(self, request: Request) -> Response:
        base = request.query.get('base', [''])[0]
        if base and not base.isdecimal():
            raise HttpError(HTTPStatus.BAD_REQUEST, 'base must be a version')
        try:
            text = request.body.decode()
        except UnicodeDecodeError:
            raise HttpError(HTTPStatus.BAD_REQUEST, 'the body must be UTF-8') from None
        return _result(self._port.apply(text, int(base) if base else None, _force(request)))


def _result(result: ApplyResult) -> Response:
    return json_response(plain_result(result), _status(result))


def _status(result: ApplyResult) -> HTTPStatus:
    match result:
        case Applied():
            return HTTPStatus.OK
        case Conflict():
            return HTTPStatus.CONFLICT
        case Dangerous():
            return HTTPStatus.PRECONDITION_REQUIRED
        case Faulty():
            return HTTPStatus.UNPROCESSABLE_ENTITY
        case _:
            return HTTPStatus.SERVICE_UNAVAILABLE


def _one(request: Request, name: str) -> str:
    return request.query.get(name, [''])[0]


def _force(request: Request) -> bool:
    return _one(request, 'force') == 'true'


def _state(request: Request) -> State:
    try:
        return State(_one(request, 'state'))
    except ValueError:
        raise HttpError(HTTPStatus.BAD_REQUEST, 'state must be "in" or "out"') from None
