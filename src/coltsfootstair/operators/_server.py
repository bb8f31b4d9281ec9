"""Serves the operators' application over HTTP."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

import waitress
from waitress import wasyncore

from coltsfootstair.operators._http import MAX_BODY_BYTES
from coltsfootstair.typed_toml import parse_address

if TYPE_CHECKING:
    from waitress.server import BaseWSGIServer

    from coltsfootstair.operators._app import OperatorsApp

__all__ = ['OperatorsServer']

THREADS = 4
POLL_S = 0.2
JOIN_TIMEOUT_S = 2.0


class OperatorsServer:
    """The operators' address of one daemon.

    :param listen: ``IP:PORT``; port 0 lets the machine choose one
    """

    def __init__(self, listen: str, app: OperatorsApp) -> None:
        self._listen = listen
        self._app = app
        self._server: BaseWSGIServer | None = None
        self._sockets: dict[int, Any] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='operators', daemon=True)

    def open(self) -> None:
        """Take the address.

        :raises OSError: it is in use
        """
        host, port = parse_address(self._listen, min_port=0)
        self._server = waitress.create_server(
            self._app,
            map=self._sockets,
            host=host,
            port=port,
            threads=THREADS,
            ident=None,
            max_request_body_size=MAX_BODY_BYTES,
        )

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that is listened on."""
        if self._server is None:
            return self._listen
        host, port = self._server.socket.getsockname()[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        if self._server is None:
            return
        while not self._stopping.is_set():
            wasyncore.loop(timeout=POLL_S, map=self._sockets, count=1)
        # The sockets belong to this thread, so it has to close them itself.
        for dispatcher in list(self._sockets.values()):
            dispatcher.close()
        self._server.task_dispatcher.shutdown()
