"""Refusals that a backend server writes once more on a kept connection."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.gateway._relay import RelayClient
from coltsfootstair.gateway._sender import Outcome, RequestState
from coltsfootstair.gateway._trace import RequestTrace
from coltsfootstair.http1 import Address, ConnectionPool, IncomingRequest
from coltsfootstair_platform import HeaderDialect
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    build_configuration,
    build_route,
    encode_answer,
    read_request,
)
from tests.gateway.harness import (
    ReceivedAnswer,
    RunningGateway,
    run_gateway,
    run_gateways,
    run_with_time_limit,
)

if TYPE_CHECKING:
    from coltsfootstair.gateway._relay import RelayResult

RUN_S = 0.03


class RepeatingServer(ServerStandin):
    """Refuses every other request that arrives, and writes its last refusal before each run.

    :param status: status of the refusals
    :param returns_id: whether refusals have the id of the request that they refused
    """

    def __init__(self, name: str, status: int, *, returns_id: bool, **headers: str) -> None:
        super().__init__(name, self._refuse_or_run)
        self.runs: Counter[str] = Counter()
        self._status = status
        self._returns_id = returns_id
        self._headers = headers
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def _refuse_or_run(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.headers.get('x-request-id', '')
        if len(self.received) % 2 == 0:
            headers = dict(self._headers)
            if self._returns_id:
                headers['X_Request_Id'] = request_id
            refusal = encode_answer(self._status, b'', X_Not_Executed='1', **headers)
            self._refusals[writer] = refusal
            writer.write(refusal)
            return True
        self.runs[request_id] += 1
        if writer in self._refusals:
            writer.write(self._refusals[writer])
        await asyncio.sleep(RUN_S)
        writer.write(self.build_answer(request))
        return True


async def _call_often(
    running: RunningGateway, route: str, ids: list[str], **headers: Any
) -> list[tuple[str, ReceivedAnswer]]:
    return [
        (
            request_id,
            await running.call(route, '/x/a', b'', X_Request_Id=request_id, **headers),
        )
        for request_id in ids
    ]


@pytest.mark.parametrize('status', [503, 429, 421, 400])
@pytest.mark.parametrize('returns_id', [True, False])
@pytest.mark.parametrize('server_count', [1, 2])
def test_a_booking_that_runs_is_not_called_not_run(
    status: int, returns_id: bool, server_count: int
) -> None:
    """Guards against a repeated refusal, on which it was refused or sent to another server."""
    servers = [
        RepeatingServer(f's{number}', status, returns_id=returns_id)
        for number in range(server_count)
    ]

    async def work() -> list[tuple[str, ReceivedAnswer]]:
        async with run_gateway(*(('desk', server) for server in servers)) as running:
            return await _call_often(running, 'bookings', [f'r{n}' for n in range(20)])

    answers = run_with_time_limit(work())
    runs = sum((server.runs for server in servers), Counter[str]())
    assert set(runs.values()) == {1}
    for request_id, answer in answers:
        if request_id in runs:
            assert answer.status == 200
            assert answer.body == b'/x/a'
        else:
            # What has no id is no proof on a used connection.
            assert answer.status == 503 or (answer.status == 502 and not returns_id)


@pytest.mark.parametrize('returns_id', [True, False])
def test_a_caller_that_uses_an_id_again_is_not_told_of_the_first_refusal(
    returns_id: bool,
) -> None:
    server = RepeatingServer('s1', 503, returns_id=returns_id)

    async def work() -> list[tuple[str, ReceivedAnswer]]:
        async with run_gateway(('desk', server)) as running:
            return await _call_often(running, 'bookings', ['same'] * 20)

    answers = run_with_time_limit(work())
    assert server.runs['same'] == sum(answer.status == 200 for _, answer in answers) > 0


def test_callers_without_ids_get_no_answer_of_others() -> None:
    """Guards against requests that any earlier answer on the connection is believed for."""
    server = RepeatingServer('s1', 503, returns_id=False)

    async def work() -> list[int]:
        async with run_gateway(('desk', server)) as running:
            statuses = []
            for _ in range(10):
                caller = await running.connect()
                caller.writer.write(
                    b'POST /x/a HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 0\r\n'
                    b'X-Request-Deadline: 2000\r\n\r\n'
                )
                statuses.append((await caller.read_answer()).status)
                caller.writer.close()
            return statuses

    statuses = run_with_time_limit(work())
    assert server.runs[''] == statuses.count(200) > 0
    assert not any('x-request-id' in request.headers for request in server.received)


def test_a_retry_at_the_owner_is_not_ended_by_the_refusal_before_it() -> None:
    """Guards against the first attempt's refusal, whose id is right, answering the second."""
    server = RepeatingServer('s1', 503, returns_id=True, X_Upstream_Load='1,0,4,100')
    configuration = build_configuration()
    configuration['resources'].append(
        build_route('keyed-bookings', 'slots', kind='non_idempotent')
    )

    async def work() -> list[tuple[str, ReceivedAnswer]]:
        async with run_gateways(1, ('slots', server), configuration=configuration) as gateways:
            async with asyncio.timeout(8.0):
                while (await gateways[0].call('keyed', X_Shard_Key=7)).status != 200:
                    await asyncio.sleep(0.1)
            ids = [f'b{number}' for number in range(20)]
            return await _call_often(gateways[0], 'keyed-bookings', ids, X_Shard_Key=7)

    answers = run_with_time_limit(work())
    assert [answer.status for _, answer in answers] == [200] * 20
    assert all(server.runs[request_id] == 1 for request_id, _ in answers)


def _build_refusal(request_id: str | None) -> bytes:
    headers = {} if request_id is None else {'Coltsfootstair_Request_Id': request_id}
    return encode_answer(503, b'{}', Coltsfootstair_Result='200', **headers)


class _Helper:
    """Another daemon: refuses its first request, and writes that again before each answer.

    :param returns_id: whether its refusals name their request; earlier versions' do not
    """

    def __init__(self, *, returns_id: bool) -> None:
        self.connection_count = 0
        self._returns_id = returns_id
        self._first = b''

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        has_refused_here = False
        while (request := await read_request(reader)) is not None:
            request_id = request.headers.get('x-request-id', '')
            if not self._first:
                self._first = _build_refusal(request_id if self._returns_id else None)
                has_refused_here = True
                writer.write(self._first)
                continue
            if has_refused_here:
                writer.write(self._first)
                await asyncio.sleep(RUN_S)
            writer.write(
                encode_answer(
                    200,
                    request_id.encode(),
                    X_Request_Id=request_id,
                    Coltsfootstair_Served_By='s1',
                )
            )
        writer.close()


def _build_request(request_id: bytes) -> RequestState:
    headers = [(b'Host', b'a'), (b'X-Request-Id', request_id)]
    incoming = IncomingRequest(b'GET', b'/x/a', b'/x/a', headers, b'', 0.0)
    request = RequestState(incoming, request_id, RequestTrace(request_id, 0.0))
    request.times_out_at = SystemClock().monotonic() + 1.0
    return request


@pytest.mark.parametrize(('returns_id', 'connection_count'), [(True, 1), (False, 2)])
@pytest.mark.parametrize('second_id', [b'r2', b'r1'])
def test_a_refusal_that_another_daemon_repeats_answers_no_later_request(
    returns_id: bool, connection_count: int, second_id: bytes
) -> None:
    """Guards against sending to a third daemon what the second one has sent on."""

    async def work() -> tuple[list[RelayResult], int]:
        helper = _Helper(returns_id=returns_id)
        listener = await asyncio.start_server(helper.serve, '127.0.0.1', 0)
        address = Address(*listener.sockets[0].getsockname()[:2])
        clock, dialect = SystemClock(), HeaderDialect()
        pool = ConnectionPool(clock, dialect.request_id_header)
        client = RelayClient(dialect, pool, clock, random.Random(1), lambda: [address])
        results = [
            await client.send(_build_request(request_id), address)
            for request_id in (b'r1', second_id)
        ]
        pool.close()
        listener.close()
        await asyncio.sleep(RUN_S)
        return results, helper.connection_count

    (refused, answered), count = run_with_time_limit(work())
    assert refused.outcome is Outcome.NOT_RUN
    assert answered.outcome is Outcome.ANSWERED
    assert answered.answer is not None
    assert answered.answer.body == second_id
    assert count == (2 if second_id == b'r1' else connection_count)
