"""Tests of slow callers whose requests another daemon relays to the backend servers."""

from __future__ import annotations

import asyncio

import pytest

from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    build_configuration,
)
from tests.gateway.harness import (
    RunningGateway,
    cut_off_gateway,
    run_gateways,
    run_with_time_limit,
)
from tests.slow_callers import SlowCaller

CALLER_COUNT = 6

SERVER_COUNT = 4

ANSWER_BYTES = 90_000


async def _wait_until_relayed(running: RunningGateway) -> None:
    async with asyncio.timeout(10.0):
        while (await running.call('lookups')).status != 200:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('stopped', ['daemon of the callers', 'daemon that relays', 'none'])
def test_a_stop_cuts_no_relayed_answers_of_callers_that_read_slowly(
    stopped: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against resets between callers and daemons, and between daemons."""

    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(servers[0].build_answer(request, bytes(ANSWER_BYTES)))
        await writer.drain()
        return True

    servers = [ServerStandin(f's{number}', answer) for number in range(SERVER_COUNT)]
    configuration = build_configuration()
    for resource in configuration['resources']:
        if resource['resource-kind'] == 'routes':
            resource['spec'] |= {'timeout-ms': 20_000, 'target-latency-ms': 800}

    async def work() -> tuple[int, list[str]]:
        async with run_gateways(
            2, *(('calendar', server) for server in servers), configuration=configuration
        ) as gateways:
            for number in range(4 * SERVER_COUNT):
                await gateways[0].call('lookups', X_Request_Id=f'before{number}')
            cut_off_gateway(gateways[0].gateway, servers, 'refuse', monkeypatch)
            await _wait_until_relayed(gateways[0])
            host, port = gateways[0].address
            callers = [await SlowCaller(300_000).open(port, host) for _ in range(CALLER_COUNT)]
            async with asyncio.TaskGroup() as group:
                for caller in callers:
                    group.create_task(caller.call_until_closed('/x/a', 6))
                await asyncio.sleep(1.0)
                match stopped:
                    case 'daemon of the callers':
                        gateways[0].gateway.stop()
                    case 'daemon that relays':
                        gateways[1].gateway.stop()
                await asyncio.sleep(2.0)
                for caller in callers:
                    caller.is_finishing = True
            ran = {
                request.headers['x-request-id']
                for server in servers
                for request in server.received
            }
            lost = [each for caller in callers for each in caller.outstanding if each in ran]
            for caller in callers:
                caller.close()
            return len(ran), lost

    ran_count, lost = run_with_time_limit(work())
    assert ran_count > 10 * CALLER_COUNT
    assert lost == []
