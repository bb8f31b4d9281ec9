"""The JSON interface, which the operators' commands use."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from coltsfootstair.document import State
from coltsfootstair.operators._http import HttpError, Request, Response, build_json_response
from coltsfootstair.operators._plain import event_to_plain, result_to_plain, to_plain
from coltsfootstair.operators._types import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
)

if TYPE_CHECKING:
    from coltsfootstair.operators._ports import DaemonPort

__all__ = ['OPERATOR_HEADER', 'Api']

OPERATOR_HEADER = 'Coltsfootstair-Operator'
"""Required on each change; a page of another site cannot make a browser send it."""


class Api:
    """Answers the requests for paths below ``/api/``."""

    def __init__(self, port: DaemonPort) -> None:
        self._port = port

    def handle(self, request: Request) -> Response:
        """Answer ``request``.

        :raises HttpError: its path does not exist, or the request is not allowed
        """
        if request.method == 'POST' and OPERATOR_HEADER.lower() not in request.headers_by_name:
            raise HttpError(HTTPStatus.FORBIDDEN, f'the header {OPERATOR_HEADER} is missing')
        match request.method, request.path.split('/')[2:]:
            case 'GET', ['status']:
                return build_json_response(to_plain(self._port.status()))
            case 'GET', ['timeline']:
                return build_json_response(
                    [event_to_plain(event) for event in self._port.timeline()]
                )
            case 'GET', ['document']:
                return build_json_response(to_plain(self._port.document()))
            case 'GET', ['owner']:
                return self._find_owner(request)
            case 'POST', ['document']:
                return self._apply(request)
            case 'POST', ['data-centres']:
                name, state, force = (
                    _first_value(request, 'name'),
                    _parse_state(request),
                    _read_force(request),
                )
                return _build_response(self._port.set_data_centre(name, state, force))
            case 'POST', ['backend-servers']:
                name, state, force = (
                    _first_value(request, 'name'),
                    _parse_state(request),
                    _read_force(request),
                )
                return _build_response(self._port.set_backend_server(name, state, force))
        raise HttpError(HTTPStatus.NOT_FOUND, 'no such path')

    def _find_owner(self, request: Request) -> Response:
        found = self._port.find_owner(
            _first_value(request, 'service'), _first_value(request, 'key')
        )
        if found is None:
            raise HttpError(HTTPStatus.NOT_FOUND, 'the service is not divided by key')
        return build_json_response(to_plain(found))

    def _apply(self, request: Request) -> Response:
        base = request.query.get('base', [''])[0]
        if base and not base.isdecimal():
            raise HttpError(HTTPStatus.BAD_REQUEST, 'base must be a version number')
        try:
            text = request.body.decode()
        except UnicodeDecodeError:
            raise HttpError(HTTPStatus.BAD_REQUEST, 'the body must be UTF-8') from None
        return _build_response(
            self._port.apply(text, int(base) if base else None, _read_force(request))
        )


def _build_response(result: ApplyResult) -> Response:
    return build_json_response(result_to_plain(result), _choose_status(result))


def _choose_status(result: ApplyResult) -> HTTPStatus:
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


def _first_value(request: Request, name: str) -> str:
    return request.query.get(name, [''])[0]


def _read_force(request: Request) -> bool:
    return _first_value(request, 'force') == 'true'


def _parse_state(request: Request) -> State:
    try:
        return State(_first_value(request, 'state'))
    except ValueError:
        raise HttpError(HTTPStatus.BAD_REQUEST, 'state must be "in" or "out"') from None
