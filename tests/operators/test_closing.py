"""Tests of how the operators' server closes connections that are read late or slowly."""

from __future__ import annotations

import threading

from tests.blocking_callers import connect_slowly, read_slowly, send_for
from tests.operators.fakes import FakeDaemon

from coltsfootstair.operators import OperatorsApp, OperatorsServer

PAGE_BYTES = 1_500_000


def _run_server() -> OperatorsServer:
    server = OperatorsServer(
        '127.0.0.1:0', OperatorsApp(FakeDaemon(), lambda: bytes(PAGE_BYTES))
    )
    server.open()
    server.start()
    return server


def test_the_refusal_of_a_document_reaches_an_operator_that_reads_it_late() -> None:
    """An operator who sent a document beyond the limit saw a reset, and no reason."""
    server = _run_server()
    with connect_slowly(server.address) as operator:
        operator.sendall(
            b'POST /config HTTP/1.1\r\nHost: a\r\nContent-Length: 20000000\r\n\r\n'
        )
        assert send_for(operator, 2.0)
        assert read_slowly(operator, 1e6).startswith(b'HTTP/1.1 413 ')
    server.stop()


def test_a_stop_does_not_cut_a_page_that_is_being_read() -> None:
    """A page was cut in the middle when its daemon stopped."""
    server = _run_server()
    with connect_slowly(server.address) as operator:
        operator.sendall(b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n')
        operator.recv(1, 2)  # MSG_PEEK
        stopping = threading.Thread(target=server.stop)
        stopping.start()
        _, _, body = read_slowly(operator, 1e6).partition(b'\r\n\r\n')
        stopping.join()
        assert len(body) == PAGE_BYTES
