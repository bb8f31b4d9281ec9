"""Answers that stop at any byte, on their way to callers and through a second daemon."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from typing import TYPE_CHECKING

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.gateway._relay import RelayClient
from coltsfootstair.gateway._sender import Outcome, RequestState
from coltsfootstair.gateway._trace import RequestTrace
from coltsfootstair.http1 import Address, ConnectionPool, IncomingRequest
from coltsfootstair_platform import HeaderDialect
from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin, encode_answer
from tests.gateway.harness import RunningGateway, run_gateway, run_with_time_limit

if TYPE_CHECKING:
    from coltsfootstair.gateway._relay import RelayResult

RESET = struct.pack('ii', 1, 0)
BODY = b'0123456789ab'
SIGNATURE = 'X-Upstream-Signature: s'
UPLOAD_BYTES = 8 * 1024 * 1024
UPLOAD_COUNT = 5


def _build_answers(request_id: str) -> dict[str, bytes]:
    identity = f'X-Request-Id: {request_id}'
    heads = {
        'length': ['200 OK', identity, SIGNATURE, 'Content-Length: 12'],
        'no id': ['200 OK', SIGNATURE, 'Content-Length: 12'],
        'no framing': ['200 OK', identity, SIGNATURE],
        'no content': ['204 No Content', identity, SIGNATURE],
        'not modified': ['304 Not Modified', identity, SIGNATURE, 'Content-Length: 12'],
    }
    answers = {
        name: ('HTTP/1.1 ' + '\r\n'.join(lines)).encode() + b'\r\n\r\n'
        for name, lines in heads.items()
    }
    for name in ('length', 'no id', 'no framing'):
        answers[name] += BODY
    return answers


class CuttingServer(ServerStandin):
    """Stops in the middle of its answers, in order or by a reset."""

    def __init__(self, form: str, *, resets: bool) -> None:
        super().__init__('s1', self._cut)
        self.cut_at = 0
        self._form = form
        self._resets = resets

    async def _cut(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        answer = _build_answers(request.headers['x-request-id'])[self._form]
        if request.method == 'HEAD':
            answer = answer.removesuffix(BODY)
        writer.write(answer[: self.cut_at])
        await _end(writer, resets=self._resets)
        return False


async def _end(writer: asyncio.StreamWriter, *, resets: bool) -> None:
    if resets:
        # What was sent is read before the reset.
        await asyncio.sleep(0.002)
        raw_socket = writer.get_extra_info('socket')
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


async def _ask(running: RunningGateway, number: int, method: str) -> int:
    """Send a booking; return the status of its answer."""
    reader, writer = await asyncio.open_connection(*running.address)
    head = (
        f'{method} /x/{number} HTTP/1.1\r\nHost: bookings.example\r\nX-Request-Id: r{number}'
    )
    writer.write(head.encode() + b'\r\nX-Request-Deadline: 2000\r\n\r\n')
    status = int((await reader.readuntil(b'\r\n\r\n')).split(b' ')[1])
    writer.close()
    return status


@pytest.mark.parametrize('form', _build_answers('r1'))
@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('is_relayed', [False, True])
def test_a_caller_gets_no_whole_answer_of_a_server_that_stopped(
    form: str, method: str, resets: bool, is_relayed: bool
) -> None:
    """Guards against 200 with an empty or short body, also through a second daemon."""
    head_length = _build_answers('r1')[form].index(b'\r\n\r\n') + 4

    async def work() -> tuple[list[int], int]:
        server = CuttingServer(form, resets=resets)
        async with run_gateway(('desk', server)) as running:
            if is_relayed:
                assert running.gateway.helper_address is not None
                running = running._replace(address=running.gateway.helper_address)
            statuses = []
            for cut_at in range(head_length):
                server.cut_at = cut_at
                statuses.append(await _ask(running, cut_at, method))
                # Its failures would else keep the server from further requests.
                fleet = running.gateway._fleet
                fleet._estimate_by_incarnation.clear()
                fleet._mean_by_service.clear()
            return statuses, len(server.received)

    statuses, received_count = run_with_time_limit(work())
    assert received_count >= 0.9 * head_length
    assert set(statuses) <= {502, 503}
    assert statuses.count(502) == received_count


class EarlyServer(ServerStandin):
    """Answers uploads at once, ends its side, and resets the connection a moment later."""

    def __init__(self, status: int, reset_after_s: float) -> None:
        super().__init__('s1')
        self._status = status
        self._reset_after_s = reset_after_s
        self.answered_count = 0

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            request_id = head.lower().partition('x-request-id: ')[2].split('\r\n')[0]
            lines = [f'X-Request-Id: {request_id}', SIGNATURE, 'Connection: close']
            first = f'HTTP/1.1 {self._status} Any'
            writer.write('\r\n'.join([first, *lines]).encode() + b'\r\n\r\n' + BODY)
            writer.write_eof()
            self.answered_count += 1
            await asyncio.sleep(self._reset_after_s)
            await _end(writer, resets=True)
        except (ConnectionError, asyncio.IncompleteReadError):
            return  # A connection that only shows whether the server lives.


@pytest.mark.parametrize(
    ('status', 'reset_after_s', 'passed_on'), [(200, 0.005, 502), (413, 0.2, 413)]
)
@pytest.mark.parametrize('is_relayed', [False, True])
def test_a_caller_gets_no_whole_answer_of_a_server_that_stopped_within_an_upload(
    status: int, reset_after_s: float, passed_on: int, is_relayed: bool
) -> None:
    """Guards against passing on the part of a body that came before a reset."""

    async def work() -> tuple[list[int], int]:
        server = EarlyServer(status, reset_after_s)
        limits = {'max-body-bytes': 2 * UPLOAD_BYTES}
        async with run_gateway(('desk', server), **limits) as running:
            if is_relayed:
                assert running.gateway.helper_address is not None
                running = running._replace(address=running.gateway.helper_address)
            statuses = []
            for number in range(UPLOAD_COUNT):
                answer = await running.call(
                    'uploads', '/x/a', b'u' * UPLOAD_BYTES, X_Request_Id=f'r{number}'
                )
                statuses.append(answer.status)
                fleet = running.gateway._fleet
                fleet._estimate_by_incarnation.clear()
                fleet._mean_by_service.clear()
            return statuses, server.answered_count

    statuses, answered_count = run_with_time_limit(work())
    assert answered_count == UPLOAD_COUNT
    assert set(statuses) == {passed_on}


def _build_request() -> RequestState:
    headers = [(b'Host', b'a'), (b'X-Request-Id', b'r1')]
    incoming = IncomingRequest(b'GET', b'/x/a', b'/x/a', headers, b'', 0.0)
    request = RequestState(incoming, b'r1', RequestTrace(b'r1', 0.0))
    request.times_out_at = SystemClock().monotonic() + 1.0
    return request


@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('names_server', [False, True])
def test_an_answer_of_another_daemon_that_stops_early_is_none(
    resets: bool, names_server: bool
) -> None:
    """Guards against a daemon that ends in the middle of what it passes on."""
    headers = {'X_Request_Id': 'r1', 'X_Upstream_Signature': 's'}
    if names_server:
        headers['Coltsfootstair_Served_By'] = 's1'
    answer = encode_answer(200, BODY, **headers)
    cuts = iter(range(len(answer)))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer[: next(cuts)])
        await _end(writer, resets=resets)
        writer.close()

    async def work() -> list[RelayResult]:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        helper = Address(*listener.sockets[0].getsockname()[:2])
        clock, dialect = SystemClock(), HeaderDialect()
        pool = ConnectionPool(clock, dialect.request_id_header)
        client = RelayClient(dialect, pool, clock, random.Random(1), lambda: [helper])
        results = []
        for _ in answer:
            request = _build_request()
            results.append(await client.send(request, helper))
            assert request.may_have_run
        listener.close()
        return results

    assert {result.outcome for result in run_with_time_limit(work())} == {Outcome.UNKNOWN}
