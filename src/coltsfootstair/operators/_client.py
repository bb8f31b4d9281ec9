"""A client of the operators' interface, for the command line."""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from coltsfootstair.errors import BadInputError, ColtsfootstairError
from coltsfootstair.operators._api import OPERATOR_HEADER
from coltsfootstair.operators._plain import result_from_plain
from coltsfootstair.operators._types import ApplyResult, VersionedText
from coltsfootstair.typed_toml import parse_address

if TYPE_CHECKING:
    from coltsfootstair.document import State

__all__ = ['DaemonUnreachableError', 'OperatorsClient']

REQUEST_TIMEOUT_S = 30.0
"""Bounds each connect, send and receive of a request, in seconds."""


class DaemonUnreachableError(ColtsfootstairError):
    """A daemon's operators' interface could not be reached, or sent no usable answer.

    Also raised if the daemon refused the request, by an answer with the outcome ``error``.
    """


class OperatorsClient:
    """Calls the operators' interface of one daemon.

    :param address: operators' address of the daemon, as ``IP:PORT``
    :raises BadInputError: ``address`` is not ``IP:PORT`` with an IP number
    """

    def __init__(self, address: str) -> None:
        try:
            self._host, self._port = parse_address(address)
        except ValueError:
            allowed = f'"{address}" is not allowed; must be IP:PORT with an IP number'
            raise BadInputError('command line', '--daemon', allowed) from None
        self._address = address

    def status(self) -> dict[str, Any]:
        """Return the state of the system, as ``StatusReport`` in JSON."""
        return dict(self._send_request('GET', '/api/status'))

    def timeline(self) -> list[dict[str, Any]]:
        """Return the merged time line of all daemons, oldest event first."""
        return list(self._send_request('GET', '/api/timeline'))

    def document(self) -> VersionedText:
        """Return the document and its version."""
        return VersionedText(**self._send_request('GET', '/api/document'))

    def apply(self, text: str, base: int | None, *, force: bool) -> ApplyResult:
        """Replace the document by ``text``.

        :param base: version that must be the present one; ``None`` for any
        :param force: whether to apply a dangerous change as well
        """
        query = {'force': _format_flag(force)} | ({} if base is None else {'base': str(base)})
        return self._post_change('/api/document', query, text.encode())

    def set_data_centre(self, name: str, state: State, *, force: bool) -> ApplyResult:
        """Take a data centre out or bring it back."""
        path = '/api/data-centres'
        return self._post_change(
            path, {'name': name, 'state': state.value, 'force': _format_flag(force)}
        )

    def set_backend_server(self, name: str, state: State, *, force: bool) -> ApplyResult:
        """Drain or restore a backend server."""
        path = '/api/backend-servers'
        return self._post_change(
            path, {'name': name, 'state': state.value, 'force': _format_flag(force)}
        )

    def _post_change(self, path: str, query: dict[str, str], body: bytes = b'') -> ApplyResult:
        answer = self._send_request('POST', f'{path}?{urlencode(query)}', body)
        try:
            return result_from_plain(answer)
        except (KeyError, TypeError):
            raise self._build_error(f'refused the request: {answer}') from None

    def _send_request(self, method: str, path: str, body: bytes = b'') -> Any:
        """Send a request and return its answer, decoded from JSON, whatever its HTTP status.

        :raises DaemonUnreachableError: the daemon cannot be reached, its answer is not JSON,
            or the answer's outcome is ``error``
        """
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=REQUEST_TIMEOUT_S
        )
        try:
            connection.request(method, path, body, {OPERATOR_HEADER: 'command line'})
            answer = json.loads(connection.getresponse().read())
        except (OSError, http.client.HTTPException) as error:
            raise self._build_error(f'cannot be reached: {error}') from None
        except ValueError:
            raise self._build_error('sent an answer that is not JSON') from None
        finally:
            connection.close()
        if isinstance(answer, dict) and answer.get('outcome') == 'error':
            raise self._build_error(f'refused the request: {answer.get("detail")}')
        return answer

    def _build_error(self, problem: str) -> DaemonUnreachableError:
        return DaemonUnreachableError(f'daemon {self._address} {problem}')


def _format_flag(flag: bool) -> str:
    return 'true' if flag else 'false'
