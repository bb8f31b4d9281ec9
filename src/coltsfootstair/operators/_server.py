"""The HTTP server of the operators' interface."""

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

THREAD_COUNT = 4
"""Threads that answer requests."""

POLL_TIMEOUT_S = 0.2
"""Longest wait for socket events before the server checks whether to stop."""

JOIN_TIMEOUT_S = 2.0
"""Longest wait for the end of the server thread."""


class OperatorsServer:
    """Serves the operators' application of one daemon over HTTP.

    :param listen: ``IP:PORT`` to listen on; port 0 selects a free port
    """

    def __init__(self, listen: str, app: OperatorsApp) -> None:
        self._listen = listen
        self._app = app
        self._server: BaseWSGIServer | None = None
        self._dispatcher_by_fd: dict[int, Any] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='operators', daemon=True)

    def open(self) -> None:
        """Listen on the address.

        :raises OSError: the address cannot be listened on
        """
        host, port = parse_address(self._listen, min_port=0)
        self._server = waitress.create_server(
            self._app,
            map=self._dispatcher_by_fd,
            host=host,
            port=port,
            threads=THREAD_COUNT,
            ident=None,
            max_request_body_size=MAX_BODY_BYTES,
        )

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that the server listens on."""
        if self._server is None:
            return self._listen
        host, port = self._server.socket.getsockname()[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    def start(self) -> None:
        """Start to serve requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving, and wait a bounded time until the sockets are closed."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        if self._server is None:
            return
        while not self._stopping.is_set():
            wasyncore.loop(timeout=POLL_TIMEOUT_S, map=self._dispatcher_by_fd, count=1)
        # Only this thread uses the sockets, so it has to close them.
        for dispatcher in list(self._dispatcher_by_fd.values()):
            dispatcher.close()
        self._server.task_dispatcher.shutdown()
