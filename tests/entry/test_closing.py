"""Tests of how the caller server closes connections whose callers read late or slowly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.blocking_callers import connect_slowly, read_slowly, send_for

from coltsfootstair.clock import SystemClock
from coltsfootstair.entry import CallerServer
from coltsfootstair.entry._types import RelayedAnswer
from coltsfootstair.inner import AnswerHead
from coltsfootstair.results import Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.entry._types import CallerRequest

ANSWER_BYTES = 1_500_000


class _Relay:
    """Refuses uploads without reading them; answers all else with a long body."""

    def serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        if request.path == '/refuse':
            return Refusal(ResultCode.UPLOAD_MEMORY_FULL, Ran.NO, 'full', 1.0)
        return RelayedAnswer(
            AnswerHead(request.request_id, 200, [], b'', False, ANSWER_BYTES),
            iter([bytes(ANSWER_BYTES)]),
        )


@pytest.fixture
def address() -> Iterator[str]:
    server = CallerServer(
        '127.0.0.1:0',
        SystemClock(),
        _Relay(),  # type: ignore[arg-type]
        lambda: True,
        frozenset,
        lambda service, code: None,
    )
    server.bind()
    server.start()
    yield server.address
    server.stop()


def test_the_refusal_of_an_upload_reaches_a_caller_that_reads_it_late(address: str) -> None:
    """Refusals were lost with a reset when the caller had sent for some seconds."""
    with connect_slowly(address) as caller:
        caller.sendall(
            b'POST /a/refuse HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n'
        )
        assert send_for(caller, 4.0)
        assert read_slowly(caller, 1e6).startswith(b'HTTP/1.1 503 ')


def test_requests_behind_the_last_one_do_not_cut_its_answer(address: str) -> None:
    """Requests that were not read made the close reset the connection."""
    with connect_slowly(address) as caller:
        caller.sendall(b'GET /a/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n')
        caller.sendall(1000 * b'GET /a/x HTTP/1.1\r\nHost: a\r\n\r\n')
        _, _, body = read_slowly(caller, 500_000).partition(b'\r\n\r\n')
        assert len(body) == ANSWER_BYTES
