"""The HTTP server of the operators' interface."""

from __future__ import annotations

import threading
from functools import partial
from typing import TYPE_CHECKING, Any

import waitress
from waitress import wasyncore
from waitress.channel import HTTPChannel

from coltsfootstair.clock import SystemClock
from coltsfootstair.operators._http import MAX_BODY_BYTES
from coltsfootstair.sockets import LingeringCloser
from coltsfootstair.typed_toml import parse_address

if TYPE_CHECKING:
    from waitress.server import BaseWSGIServer

    from coltsfootstair.clock import Clock
    from coltsfootstair.operators._app import OperatorsApp

__all__ = ['OperatorsServer']

THREAD_COUNT = 4
"""Threads that answer requests."""

POLL_TIMEOUT_S = 0.2
"""Longest wait for socket events before the server checks whether to stop."""

FINISH_TIMEOUT_S = 5.0
"""How long a stop waits until answers are handed to the kernel, in seconds, and once more as
long until operators have received them."""

JOIN_TIMEOUT_S = 2 * FINISH_TIMEOUT_S + 2.0
"""Longest wait for the end of the server thread, in seconds."""


class _LingeringChannel(HTTPChannel):  # type: ignore[misc]
    """Connection that is closed once its answers are delivered."""

    def __init__(self, closer: LingeringCloser, *args: Any, **options: Any) -> None:
        self._closer = closer
        super().__init__(*args, **options)

    def handle_close(self) -> None:
        """End the connection; what is still in its buffers is dropped."""
        if self.socket is not None:
            self._closer.end(self.socket)
        super().handle_close()

    @property
    def is_answering(self) -> bool:
        """Whether a request is being answered, or an answer not yet taken by the kernel."""
        return bool(self.requests) or self.total_outbufs_len > 0


class OperatorsServer:
    """Serves the operators' application of one daemon over HTTP.

    :param listen: ``IP:PORT`` to listen on; port 0 selects a free port
    """

    def __init__(self, listen: str, app: OperatorsApp, clock: Clock | None = None) -> None:
        self._listen = listen
        self._app = app
        self._server: BaseWSGIServer | None = None
        self._dispatcher_by_fd: dict[int, Any] = {}
        self._clock = clock or SystemClock()
        self._closer = LingeringCloser(self._clock)
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

        self._server.channel_class = partial(_LingeringChannel, self._closer)

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
        self._finish_answers(self._server)
        # Only this thread uses the sockets, so it has to close them.
        for dispatcher in list(self._dispatcher_by_fd.values()):
            if isinstance(dispatcher, _LingeringChannel):
                dispatcher.handle_close()
            else:
                dispatcher.close()
        self._server.task_dispatcher.shutdown()
        self._closer.wait_until_delivered(FINISH_TIMEOUT_S)

    def _finish_answers(self, server: BaseWSGIServer) -> None:
        """Take no more connections, and send the answers that were asked for."""
        # ``server.close`` would also close what wakes this thread up when an answer is ready.
        server.del_channel()
        server.socket.close()
        ends_at = self._clock.monotonic() + FINISH_TIMEOUT_S
        while self._clock.monotonic() < ends_at and any(
            isinstance(dispatcher, _LingeringChannel) and dispatcher.is_answering
            for dispatcher in self._dispatcher_by_fd.values()
        ):
            wasyncore.loop(timeout=POLL_TIMEOUT_S, map=self._dispatcher_by_fd, count=1)
