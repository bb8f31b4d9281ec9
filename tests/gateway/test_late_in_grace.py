"""Tests of requests that come late in the grace time of a daemon that stops."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    build_configuration,
)
from tests.gateway.harness import RunningGateway, run_gateways, run_with_time_limit


def _build_server(work_s: float) -> ServerStandin:
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(work_s)
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer)
    return server


async def _learn_service_time(running: RunningGateway) -> None:
    for number in range(8):
        await running.call('bookings', body=b'x', X_Request_Id=f'before{number}')


def _build_slow_configuration() -> dict[str, Any]:
    """Return a configuration whose routes have time for much longer than the grace time."""
    configuration = build_configuration()
    for resource in configuration['resources']:
        if resource['resource-kind'] == 'routes':
            resource['spec'] |= {'timeout-ms': 20_000, 'target-latency-ms': 800}
    return configuration


@pytest.mark.parametrize(
    ('grace_s', 'way', 'after_s', 'work_s'),
    [
        (3.0, 'new connection', 2.2, 0.6),
        (2.0, 'new connection', 1.3, 0.5),
        (2.0, 'late body', 1.3, 0.5),
        (2.0, 'kept connection', 1.3, 0.5),
        (2.0, 'relayed', 1.3, 0.5),
    ],
)
def test_a_request_too_late_in_the_grace_time_reaches_no_server(
    grace_s: float, way: str, after_s: float, work_s: float
) -> None:
    """Guards against requests that are passed on and cut at the end of the grace time."""
    server = _build_server(work_s)

    async def work() -> tuple[int, dict[str, str], list[str]]:
        async with run_gateways(
            1, ('desk', server), grace_s=grace_s, configuration=_build_slow_configuration()
        ) as (running,):
            await _learn_service_time(running)
            kept = await running.connect()
            if way == 'late body':
                kept.writer.write(
                    b'POST /x/a HTTP/1.1\r\nHost: bookings.example\r\nX-Request-Id: late\r\n'
                    b'X-Request-Deadline: 20000\r\nContent-Length: 2\r\n\r\nx'
                )
                await asyncio.sleep(0.05)
                running.gateway.stop()
                await asyncio.sleep(after_s)
                kept.writer.write(b'y')
                caller = kept
            else:
                running.gateway.stop()
                await asyncio.sleep(after_s)
                match way:
                    case 'new connection':
                        caller = await running.connect()
                    case 'relayed':
                        address = running.gateway.helper_address
                        assert address is not None
                        caller = await running._replace(address=address).connect()
                    case _:
                        caller = kept
                caller.send(
                    'bookings', body=b'x', X_Request_Id='late', X_Request_Deadline=20000
                )
            answer = await caller.read_answer()
            await asyncio.sleep(0.1)
            ids = [request.headers['x-request-id'] for request in server.received]
            return answer.status, answer.headers, ids

    status, headers, ids = run_with_time_limit(work())
    assert 'late' not in ids
    assert status == 503
    assert float(headers['retry-after']) > 0


def test_a_request_that_can_be_answered_within_the_grace_time_is_served() -> None:
    """Guards against a stop that turns away what there is time for."""
    server = _build_server(0.3)

    async def work() -> int:
        async with run_gateways(
            1, ('desk', server), grace_s=3.0, configuration=_build_slow_configuration()
        ) as (running,):
            await _learn_service_time(running)
            running.gateway.stop()
            await asyncio.sleep(1.0)
            return (await running.call('bookings', body=b'x', X_Request_Id='late')).status

    assert run_with_time_limit(work()) == 200


def test_a_request_that_times_out_as_the_grace_time_ends_does_not_end_the_stop() -> None:
    """The daemon ended with an error, and cut all final answers (seed 67207 of the soak)."""
    server = _build_server(10.0)

    async def work() -> list[int]:
        async with run_gateways(
            1, ('desk', server), configuration=_build_slow_configuration()
        ) as (running,):
            callers = [await running.connect() for _ in range(2)]
            for number, caller in enumerate(callers):
                caller.send('bookings', body=b'x', X_Request_Id=f'r{number}')
            while len(server.received) < len(callers):
                await asyncio.sleep(0.01)
            loop = asyncio.get_running_loop()
            dispatcher = running.gateway._dispatcher
            # The time-out of one request has passed, and its task has not run since.
            next(iter(dispatcher._timeouts)).reschedule(loop.time())
            ended: asyncio.Future[None] = loop.create_future()

            def time_out_all() -> None:
                try:
                    dispatcher.time_out_all()
                except RuntimeError as error:
                    ended.set_exception(error)
                else:
                    ended.set_result(None)

            loop.call_soon(time_out_all)
            await ended
            return [(await caller.read_answer()).status for caller in callers]

    assert run_with_time_limit(work()) == [504, 504]
