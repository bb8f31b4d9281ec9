"""Talks to a daemon's operators' address, for the command line."""

from __future__ import annotations

import http.client
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from coltsfootstair.errors import BadInputError, ColtsfootstairError
from coltsfootstair.operators._api import GUARD_HEADER
from coltsfootstair.operators._plain import result_of
from coltsfootstair.operators._types import ApplyResult, VersionedText
from coltsfootstair.typed_toml import parse_address

if TYPE_CHECKING:
    from coltsfootstair.document import State

__all__ = ['DaemonUnreachableError', 'OperatorsClient']

TIMEOUT_S = 30.0


class DaemonUnreachableError(ColtsfootstairError):
    """A daemon's operators' address gave no proper answer."""


class OperatorsClient:
    """The operators' interface of one daemon.

    :param address: ``IP:PORT`` of its operators' address
    """

    def __init__(self, address: str) -> None:
        try:
            self._host, self._port = parse_address(address)
        except ValueError:
            allowed = f'"{address}" is not allowed; must be IP:PORT with an IP number'
            raise BadInputError('command line', '--daemon', allowed) from None
        self._address = address

    def status(self) -> dict[str, Any]:
        """Return the state of all daemons."""
        return dict(self._call('GET', '/api/status'))

    def timeline(self) -> list[dict[str, Any]]:
        """Return the merged time line."""
        return list(self._call('GET', '/api/timeline'))

    def document(self) -> VersionedText:
        """Return the document and its version."""
        return VersionedText(**self._call('GET', '/api/document'))

    def apply(self, text: str, base: int | None, *, force: bool) -> ApplyResult:
        """Put ``text`` in place of version ``base``, or of the present one."""
        query = {'force': _word(force)} | ({} if base is None else {'base': str(base)})
        return self._change('/api/document', query, text.encode())

    def set_data_centre(self, name: str, state: State, *, force: bool) -> ApplyResult:
        """Take a data centre out, or bring it back."""
        path = '/api/data-centres'
        return self._change(path, {'name': name, 'state': state.value, 'force': _word(force)})

    def set_backend_server(self, name: str, state: State, *, force: bool) -> ApplyResult:
        """Drain a backend server, or restore it."""
        path = '/api/backend-servers'
        return self._change(path, {'name': name, 'state': state.value, 'force': _word(force)})

    def _change(self, path: str, query: dict[str, str], body: bytes = b'') -> ApplyResult:
        answer = self._call('POST', f'{path}?{urlencode(query)}', body)
        try:
            return result_of(answer)
        except (KeyError, TypeError):
            raise self._failure(f'refused: {answer}') from None

    def _call(self, method: str, path: str, body: bytes = b'') -> Any:
        connection = http.client.HTTPConnection(self._host, self._port, timeout=TIMEOUT_S)
        try:
            connection.request(method, path, body, {GUARD_HEADER: 'command line'})
            answer = json.loads(connection.getresponse().read())
        except (OSError, http.client.HTTPException) as error:
            raise self._failure(f'cannot be reached: {error}') from None
        except ValueError:
            raise self._failure('gave an answer that is no JSON') from None
        finally:
            connection.close()
        if isinstance(answer, dict) and answer.get('outcome') == 'error':
            raise self._failure(f'refused: {answer.get("detail")}')
        return answer

    def _failure(self, what: str) -> DaemonUnreachableError:
        return DaemonUnreachableError(f'daemon {self._address} {what}')


def _word(force: bool) -> str:
    return 'true' if force else 'false'
