"""Tests of backend servers that turn requests away and ask for a pause.

The routes are those of ``test_path``; the timeout of each is 1 s.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import pytest

from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin, encode_answer
from tests.gateway.harness import (
    ReceivedAnswer,
    RunningGateway,
    run_gateway,
    run_with_time_limit,
)

if TYPE_CHECKING:
    from coltsfootstair.http1 import Address, Connection

REFUSED_WITHIN_S = 0.15
"""Time within which a request that is not held is refused, in seconds."""

SLOT_COUNT = 4

NOT_RUN = {'X_Not_Executed': '1'}


class PausingServer(ServerStandin):
    """A backend server that turns away its first requests, one for each given ``Retry-After``.

    :param headers: further headers of these answers
    :param load: load report of these answers: running, waiting, slots and slowdown in percent
    """

    def __init__(
        self,
        name: str,
        retry_after: Iterable[str],
        headers: dict[str, str] = NOT_RUN,
        load: str = '1,0,4,100',
    ) -> None:
        super().__init__(name, self._answer)
        self._retry_after = list(retry_after)
        self._headers = headers
        self._load = load
        self.received_at: list[float] = []
        self.service_time_s = 0.0
        self.running_count = 0
        self.max_running_count = 0

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        self.received_at.append(time.monotonic())
        if not self._retry_after:
            self.running_count += 1
            self.max_running_count = max(self.max_running_count, self.running_count)
            await asyncio.sleep(self.service_time_s)
            self.running_count -= 1
            writer.write(self.build_answer(request))
            return True
        writer.write(
            encode_answer(
                503,
                b'',
                X_Request_Id=request.headers['x-request-id'],
                X_Upstream_Load=self._load,
                Retry_After=self._retry_after.pop(0),
                **self._headers,
            )
        )
        return True


async def _answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(0.1)
    writer.write(ServerStandin('s2').build_answer(request))
    return True


async def _call_timed(
    running: RunningGateway, route: str, *args: Any, **headers: Any
) -> tuple[ReceivedAnswer, float]:
    before = time.monotonic()
    return await running.call(route, *args, **headers), time.monotonic() - before


async def _call_at_once(running: RunningGateway) -> Counter[int]:
    """Send more bookings at once than one server has slots; return the statuses."""
    calls = [running.call('bookings', body=b'x') for _ in range(3 * SLOT_COUNT)]
    return Counter([answered.status for answered in await asyncio.gather(*calls)])


async def _wait_for_grants(server: ServerStandin) -> None:
    async with asyncio.timeout(8.0):
        while not server.grant_calls:
            await asyncio.sleep(0.05)
    await asyncio.sleep(0.2)


def test_a_server_that_asked_for_a_pause_gets_no_request_before_its_end() -> None:
    """Guards against sending requests to a server that wants none for a while."""
    server = PausingServer('s1', ['1.5'])

    async def work() -> list[tuple[ReceivedAnswer, float]]:
        async with run_gateway(('desk', server)) as running:
            results = []
            for number in range(12):
                results.append(await _call_timed(running, 'bookings', f'/x/{number}', b'x'))
                await asyncio.sleep(0.1)
            await asyncio.sleep(max(0.0, server.received_at[0] + 3.6 - time.monotonic()))
            results.append(await _call_timed(running, 'bookings', '/x/last', b'x'))
            return results

    results = run_with_time_limit(work())
    first_at, *later_at = server.received_at
    assert all(at >= first_at + 1.5 for at in later_at)
    for answered, took_s in results[:-1]:
        assert answered.status == 503
        assert b'"ran": "no"' in answered.body
        assert took_s < REFUSED_WITHIN_S
    assert results[-1][0].status == 200


def test_a_refusal_states_the_time_that_is_left_of_the_pause() -> None:
    """Guards against callers that come back while the pause lasts.

    The pause of 30 s is longer than the caller of the first request waits.
    """
    server = PausingServer('s1', ['30'])

    async def work() -> list[ReceivedAnswer]:
        async with run_gateway(('desk', server)) as running:
            return [await running.call('bookings', body=b'x') for _ in range(8)]

    retry_after_s = [
        float(each.headers['retry-after']) for each in run_with_time_limit(work())
    ]
    assert all(29.0 < each_s < 36.0 for each_s in retry_after_s)
    assert len(set(retry_after_s)) > 4, 'callers come back at different times'


def test_requests_go_to_the_other_servers_during_a_pause() -> None:
    servers = PausingServer('s1', ['20'] * 99), ServerStandin('s2', _answer_slowly)

    async def work() -> tuple[int, Counter[int]]:
        async with run_gateway(('desk', servers[0]), ('desk', servers[1])) as running:
            await _call_at_once(running)
            count = len(servers[0].received)
            return count, await _call_at_once(running)

    count_before, statuses = run_with_time_limit(work())
    assert statuses[200] >= SLOT_COUNT
    assert len(servers[0].received) == count_before > 0


def test_a_request_that_failed_elsewhere_is_not_retried_at_a_paused_server() -> None:
    """Guards against retries that pass over a pause, also where no other server is left."""

    async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(server_that_fails.build_answer(request).replace(b'200', b'500', 1))
        return True

    paused, server_that_fails = PausingServer('s1', ['20'] * 9), ServerStandin('s2', fail)

    async def work() -> None:
        async with run_gateway(
            ('calendar', paused), ('calendar', server_that_fails)
        ) as running:
            for _ in range(20):
                await running.call('lookups')

    run_with_time_limit(work())
    assert len(paused.received) == 1


def test_a_daemon_comes_back_in_steps_when_a_pause_is_over() -> None:
    """Guards against sending all at once to a server that was overloaded a moment ago."""
    server = PausingServer('s1', ['0.5'])
    server.service_time_s = 0.05

    async def work() -> list[int]:
        async with run_gateway(('desk', server)) as running:
            # With one daemon, its first request comes at most 0.1 s after the pause.
            running.gateway._fleet._get_known_daemon_count = lambda: 1
            await running.call('bookings', body=b'x')
            await asyncio.sleep(0.6)
            counts = []
            for _ in range(2):
                server.max_running_count = 0
                await _call_at_once(running)
                counts.append(server.max_running_count)
                await asyncio.sleep(1.5)
            return counts

    first_count, later_count = run_with_time_limit(work())
    assert first_count <= 2
    assert later_count >= SLOT_COUNT


def test_the_soonest_end_counts_if_all_servers_have_asked_for_a_pause() -> None:
    servers = PausingServer('s1', ['20'] * 9), PausingServer('s2', ['5'] * 9)

    async def work() -> list[float]:
        async with run_gateway(('calendar', servers[0]), ('calendar', servers[1])) as running:
            answers = [await running.call('lookups') for _ in range(6)]
            return [float(answered.headers['retry-after']) for answered in answers]

    # The first request is sent to both servers.
    assert all(4.0 < retry_after_s < 8.0 for retry_after_s in run_with_time_limit(work()))
    assert [len(server.received) for server in servers] == [1, 1]


@pytest.mark.parametrize('load', ['4,9,4,100', '1,0,4,100'])
def test_a_keyed_request_is_refused_at_once_while_its_owner_wants_none(load: str) -> None:
    """Guards against requests that wait for their owner, or are retried at it, in a pause.

    A request that its owner turns away with free slots is otherwise retried there.
    """
    server = PausingServer('s1', ['20'] * 9, load=load)

    async def work() -> list[tuple[ReceivedAnswer, float]]:
        async with run_gateway(('slots', server)) as running:
            await _wait_for_grants(server)
            return [await _call_timed(running, 'keyed', X_Shard_Key=7) for _ in range(5)]

    for answered, took_s in run_with_time_limit(work()):
        assert answered.status == 503
        assert 18.0 < float(answered.headers['retry-after']) < 25.0
        assert took_s < REFUSED_WITHIN_S
    assert len(server.received) == 1


def test_a_request_whose_key_has_moved_is_not_refused_for_the_old_owners_pause() -> None:
    """Guards against refusing a request for the pause of a server that lost its key."""
    waits: list[float] = []

    async def lose_key(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers['x-request-id']
        if len(server.received) == 1:
            await asyncio.sleep(0.2)
            writer.write(encode_answer(421, X_Request_Id=request_id, X_Not_Executed='1'))
        else:
            writer.write(
                encode_answer(
                    503, X_Request_Id=request_id, X_Not_Executed='1', Retry_After='20'
                )
            )
        return True

    server = ServerStandin('s1', lose_key)

    async def work() -> list[ReceivedAnswer]:
        async with run_gateway(('slots', server)) as running:
            await _wait_for_grants(server)
            ownership = running.gateway._ownership
            wait_for_change = ownership.wait_for_change

            async def count_wait(timeout_s: float) -> bool:
                waits.append(timeout_s)
                return await wait_for_change(timeout_s)

            ownership.wait_for_change = count_wait  # type: ignore[method-assign]
            first = asyncio.ensure_future(running.call('keyed', X_Shard_Key=7))
            await asyncio.sleep(0.05)
            return [await running.call('keyed', X_Shard_Key=7), await first]

    answers = run_with_time_limit(work())
    assert [answered.headers['coltsfootstair-result'] for answered in answers] == [
        '206',
        '206',
    ]
    assert len(waits) == 1
    assert len(server.received) == 2


def test_grants_are_renewed_during_a_pause() -> None:
    server = PausingServer('s1', ['20'] * 9)

    async def work() -> int:
        async with run_gateway(('slots', server)) as running:
            await _wait_for_grants(server)
            await running.call('keyed', X_Shard_Key=7)
            count = len(server.grant_calls)
            await asyncio.sleep(2.5)
            return len(server.grant_calls) - count

    assert run_with_time_limit(work()) > 0


def test_a_request_that_waits_for_room_is_refused_when_the_pause_begins() -> None:
    """Guards against requests that are held here until the pause is over."""

    async def turn_away_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.05)
        writer.write(
            encode_answer(
                503,
                X_Request_Id='r1',
                X_Not_Executed='1',
                Retry_After='20',
                X_Upstream_Load='',
            )
        )
        return True

    server = ServerStandin('s1', turn_away_slowly)

    async def work() -> list[float]:
        async with run_gateway(('desk', server)) as running:
            # With 100 daemons, each may send one request to a server of unknown load.
            running.gateway._fleet._get_known_daemon_count = lambda: 100
            calls = [_call_timed(running, 'bookings', body=b'x') for _ in range(5)]
            return [took_s for _, took_s in await asyncio.gather(*calls)]

    assert max(run_with_time_limit(work())) < 0.05 + REFUSED_WITHIN_S
    assert len(server.received) == 1


def test_a_request_whose_connection_is_being_opened_when_the_pause_begins_is_not_sent() -> (
    None
):
    """Guards against sending what was chosen for the server before it asked for a pause."""
    server = PausingServer('s1', ['20'] * 9)

    async def work() -> list[tuple[ReceivedAnswer, float]]:
        async with run_gateway(('desk', server)) as running:
            pool = running.gateway._pool
            open_at_once = pool.open

            async def open_slowly(address: Address, timeout_s: float) -> Connection:
                await asyncio.sleep(0.1)
                return await open_at_once(address, timeout_s)

            pool.open = open_slowly  # type: ignore[method-assign]
            calls = []
            for _ in range(4):
                calls.append(
                    asyncio.ensure_future(_call_timed(running, 'bookings', body=b'x'))
                )
                await asyncio.sleep(0.03)
            return await asyncio.gather(*calls)

    for answered, took_s in run_with_time_limit(work()):
        assert answered.status == 503
        assert float(answered.headers['retry-after']) > 19.0
        assert took_s < 0.1 + REFUSED_WITHIN_S
    assert len(server.received) == 1


def test_a_pause_counts_if_the_answer_does_not_say_that_the_request_was_not_run() -> None:
    """The request keeps its outcome: it may have run, so a booking is not sent again."""
    signature = {'X_Upstream_Signature': 'signed'}
    servers = PausingServer('s1', ['20'] * 9, signature), ServerStandin('s2', _answer_slowly)

    async def work() -> tuple[int, Counter[int]]:
        async with run_gateway(('desk', servers[0])) as running:
            status = (await running.call('bookings', body=b'x')).status
            await running.store.put('servers', 's2', servers[1].build_entry('desk'))
            await asyncio.sleep(0.4)
            return status, await _call_at_once(running)

    async def run_with_second_server() -> tuple[int, Counter[int]]:
        await servers[1].start()
        try:
            return await work()
        finally:
            servers[1].stop()

    first_status, statuses = run_with_time_limit(run_with_second_server())
    assert first_status == 503
    assert statuses[200] >= SLOT_COUNT
    assert len(servers[0].received) == 1


@pytest.mark.parametrize('value', ['soon', '-3', '', 'inf', 'nan', '1e3', '0', '0.0'])
def test_a_malformed_value_or_zero_is_no_pause(value: str) -> None:
    server = PausingServer('s1', [value])

    async def work() -> list[int]:
        async with run_gateway(('desk', server)) as running:
            return [(await running.call('bookings', body=b'x')).status for _ in range(3)]

    assert run_with_time_limit(work())[-1] == 200


def test_another_status_than_503_is_no_request_for_a_pause() -> None:
    async def limit(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(
            encode_answer(429, X_Request_Id='r1', X_Not_Executed='1', Retry_After='20')
        )
        return True

    server = ServerStandin('s1', limit)

    async def work() -> None:
        async with run_gateway(('desk', server)) as running:
            for _ in range(3):
                await running.call('bookings', body=b'x')

    run_with_time_limit(work())
    assert len(server.received) >= 3


def test_a_new_life_of_a_server_is_not_held_back() -> None:
    """Guards against a pause that outlasts the incarnation that asked for it."""
    server = PausingServer('s1', ['20'])

    async def work() -> list[int]:
        async with run_gateway(('desk', server)) as running:
            statuses = [(await running.call('bookings', body=b'x')).status for _ in range(2)]
            entry = server.build_entry('desk', born=1700000009000)
            await running.store.put('servers', 's1', entry)
            await asyncio.sleep(0.6)
            return [*statuses, (await running.call('bookings', body=b'x')).status]

    assert run_with_time_limit(work()) == [503, 503, 200]


def test_a_server_whose_entry_was_missing_for_a_moment_keeps_its_pause() -> None:
    """Guards against forgetting a pause with the entry of a server that comes back."""
    server = PausingServer('s1', ['20'] * 9)

    async def work() -> None:
        async with run_gateway(('desk', server)) as running:
            await running.call('bookings', body=b'x')
            await running.store.delete('servers', 's1')
            await asyncio.sleep(2.5)
            assert b'has no server' in (await running.call('bookings', body=b'x')).body
            await running.store.put('servers', 's1', server.build_entry('desk'))
            await asyncio.sleep(0.6)
            await running.call('bookings', body=b'x')

    run_with_time_limit(work())
    assert len(server.received) == 1
