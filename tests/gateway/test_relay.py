"""Tests of daemons that are cut off from the backend servers, while other daemons are not."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, NamedTuple

import pytest

from coltsfootstair.crashes import Verdict
from coltsfootstair.gateway._attempts import AttemptAccount, decode_account, encode_account
from coltsfootstair.gateway._relay import classify_relayed
from coltsfootstair.gateway._sender import Outcome
from coltsfootstair.http1 import Address, Answer
from tests.coltsfootstair_platform.standin import (
    Behaviour,
    ReceivedRequest,
    ServerStandin,
    build_configuration,
    build_route,
    encode_answer,
)
from tests.gateway.harness import (
    ReceivedAnswer,
    RunningGateway,
    cut_off_gateway,
    run_gateway,
    run_gateways,
    run_with_time_limit,
)

if TYPE_CHECKING:
    from coltsfootstair.gateway import Gateway

SETTLING_S = 1.5
"""Time from the beginning of a cut until callers are served as elsewhere, in seconds."""


_REQUEST_NUMBERS = itertools.count()


class Servers(NamedTuple):
    """Backend servers of three services, one of them divided by key."""

    calendar: list[ServerStandin]
    desk: list[ServerStandin]
    slots: list[ServerStandin]

    def list_all(self) -> list[tuple[str, ServerStandin]]:
        return [
            (service, server)
            for service, servers in self._asdict().items()
            for server in servers
        ]


def _make_servers() -> Servers:
    return Servers(
        [ServerStandin(f'c{number}') for number in range(3)],
        [ServerStandin(f'd{number}') for number in range(2)],
        [ServerStandin(f'k{number}') for number in range(2)],
    )


async def _count_served(running: RunningGateway, count: int) -> int:
    """Return how many of three kinds of requests are served, each tried once."""
    calls = []
    for number in range(count):
        request_id = next(_REQUEST_NUMBERS)
        calls += [
            running.call('lookups', X_Request_Id=f'l{request_id}'),
            running.call('bookings', body=b'b', X_Request_Id=f'b{request_id}'),
            running.call(
                'keyed', X_Request_Id=f'k{request_id}', X_Shard_Key=(number * 1999) % 65536
            ),
        ]
        await asyncio.sleep(0.01)
    answers = [await call for call in calls]
    return sum(answer.status == 200 for answer in answers)


async def _warm_up(gateways: list[RunningGateway]) -> None:
    async with asyncio.timeout(10.0):
        while (await gateways[0].call('keyed', X_Shard_Key=7)).status != 200:
            await asyncio.sleep(0.1)
    for running in gateways:
        await _count_served(running, 4)


@pytest.mark.parametrize('way', ['refuse', 'hang', 'live'])
def test_callers_of_a_daemon_without_paths_are_served_as_those_of_others(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusing what another daemon could send."""
    servers = _make_servers()

    async def work() -> tuple[int, int]:
        async with run_gateways(4, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            everyone = [server for _, server in servers.list_all()]
            for running in gateways[:2]:
                cut_off_gateway(running.gateway, everyone, way, monkeypatch)
            settled_at = asyncio.get_running_loop().time() + SETTLING_S
            while asyncio.get_running_loop().time() < settled_at:
                await asyncio.gather(*(_count_served(running, 2) for running in gateways))
            served = [await _count_served(running, 10) for running in gateways]
            return sum(served[:2]), sum(served[2:])

    cut_off, others = run_with_time_limit(work())
    assert others >= 0.9 * 60
    assert cut_off >= 0.95 * others
    bookings = [
        request.headers['x-request-id']
        for server in servers.desk
        for request in server.received
    ]
    assert len(bookings) == len(set(bookings)), 'a booking runs at most once'
    sent = [request for _, server in servers.list_all() for request in server.received]
    assert not any('coltsfootstair-relayed' in request.headers for request in sent)


def test_a_relayed_request_takes_one_hop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests that go round between daemons which are all cut off."""
    servers = _make_servers()

    async def work() -> list[int]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            everyone = [server for _, server in servers.list_all()]
            cut_off_gateway(gateways[0].gateway, everyone, 'refuse', monkeypatch)
            for _ in range(8):
                await _count_served(gateways[0], 1)
                await asyncio.sleep(0.1)
            own = await gateways[0].call('lookups', X_Request_Id='own')
            helper_address = gateways[0].gateway.helper_address
            assert helper_address is not None
            as_daemon = gateways[0]._replace(address=helper_address)
            relayed = await as_daemon.call('lookups', X_Request_Id='other')
            assert 'coltsfootstair-served-by' not in own.headers
            return [own.status, relayed.status]

    assert run_with_time_limit(work()) == [200, 503]


def test_a_caller_that_sends_headers_between_daemons_gains_nothing() -> None:
    """Guards against callers who are taken for daemons by what they send."""
    servers = _make_servers()
    sent = {
        'Coltsfootstair_Relayed': '1',
        'Coltsfootstair_Workspace': 'forged',
        'Coltsfootstair_Served_By': 'c0',
    }

    async def work() -> tuple[int, set[str], set[str]]:
        async with run_gateways(1, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            for _, server in servers.list_all():
                server.received.clear()
            answer = await gateways[0].call('lookups', X_Request_Id='own', **sent)
            received = [server.received for server in servers.calendar if server.received]
            return answer.status, set(answer.headers), set(received[0][0].headers)

    status, answer_headers, received_headers = run_with_time_limit(work())
    assert status == 200
    assert 'coltsfootstair-served-by' not in answer_headers
    assert not {'coltsfootstair-workspace', 'coltsfootstair-served-by'} & received_headers


@pytest.mark.parametrize(('status', 'is_passed_on'), [(503, True), (404, False)])
def test_a_helper_that_does_not_know_a_route_denies_nobody(
    status: int, is_passed_on: bool
) -> None:
    """Guards against passing on the 404 of a daemon whose configuration is older."""
    answer = Answer(status, [(b'Coltsfootstair-Result', b'106')], b'{}')
    result = classify_relayed(answer)
    assert result.outcome is Outcome.NOT_RUN
    assert (result.answer is not None) == is_passed_on


def test_a_caller_that_leaves_ends_its_request_behind_both_daemons(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for callers that have left, at the far end of a relay."""
    servers = _make_servers()

    async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(5.0)
        return False

    async def work() -> list[int]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            everyone = [server for _, server in servers.list_all()]
            cut_off_gateway(gateways[0].gateway, everyone, 'refuse', monkeypatch)
            for _ in range(8):
                await _count_served(gateways[0], 1)
                await asyncio.sleep(0.1)
            for server in servers.calendar:
                server.behaviour = hang
            caller = await gateways[0].connect()
            caller.send('lookups', X_Request_Id='left')
            async with asyncio.timeout(3.0):
                while not any(
                    request.headers['x-request-id'] == 'left'
                    for server in servers.calendar
                    for request in server.received
                ):
                    await asyncio.sleep(0.01)
            before = sum(server.abandoned_count for server in servers.calendar)
            caller.writer.close()
            await asyncio.sleep(0.3)
            return [before, sum(server.abandoned_count for server in servers.calendar)]

    before, after = run_with_time_limit(work())
    assert after == before + 1


def test_a_daemon_is_bound_by_the_leaving_that_it_passes_on_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending to a leaving server after the cut that hid its word."""
    servers = _make_servers()

    def leave(server: ServerStandin) -> Behaviour:
        async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
            writer.write(server.build_answer(request, Server_Leaving='1'))
            return True

        return answer

    async def work() -> tuple[list[str], list[str], dict[str, str]]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            everyone = [server for _, server in servers.list_all()]
            cut_off_gateway(gateways[0].gateway, everyone, 'refuse', monkeypatch)
            for _ in range(8):
                await _count_served(gateways[0], 1)
                await asyncio.sleep(0.1)
            for server in servers.calendar:
                server.behaviour = leave(server)
            answer = await gateways[0].call('lookups', X_Request_Id='last')
            said = [
                server.name
                for server in servers.calendar
                if any(r.headers['x-request-id'] == 'last' for r in server.received)
            ]
            registry = gateways[0].gateway._registry
            known = [server.name for server in registry.list_leaving()]
            return said, known, answer.headers

    said, known, headers = run_with_time_limit(work())
    assert len(said) == 1
    assert known == said
    assert not [name for name in headers if 'leaving' in name or 'served-by' in name]


async def _read_refusal(address: Address, request: bytes) -> ReceivedAnswer:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request)
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    writer.close()
    first, *lines = head.rstrip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    return ReceivedAnswer(int(first.split(' ')[1]), headers, b'')


@pytest.mark.parametrize(
    ('lines', 'status'),
    [
        ('Host: none.example\r\n\r\n', 404),
        ('Host: uploads.example\r\nContent-Length: 9000000\r\n\r\n', 413),
        ('Host: uploads.example\r\nA: ' + 'x' * 5000 + '\r\n\r\n', 431),
        ('Host: uploads.example\r\nno colon\r\n\r\n', 400),
        ('Host: uploads.example\r\n\r\n', 503),
    ],
)
def test_each_refusal_between_daemons_names_its_request(lines: str, status: int) -> None:
    """Guards against refusals that the asking daemon can't tell from repeated ones."""

    async def work() -> ReceivedAnswer:
        async with run_gateway() as running:
            address = _get_helper_address(running.gateway)
            head = f'POST /x/a HTTP/1.1\r\nX-Request-Id: r7\r\n{lines}'
            return await _read_refusal(address, head.encode())

    answer = run_with_time_limit(work())
    assert answer.status == status
    assert answer.headers['coltsfootstair-request-id'] == 'r7'


def _get_helper_address(gateway: Gateway) -> Address:
    assert gateway.helper_address is not None
    return gateway.helper_address


def test_an_answer_passed_on_between_daemons_names_its_request() -> None:
    async def answer(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(encode_answer(200, b'b', X_Upstream_Signature='s'))
        return True

    async def work() -> ReceivedAnswer:
        async with run_gateway(('calendar', ServerStandin('s1', answer))) as running:
            as_daemon = running._replace(address=_get_helper_address(running.gateway))
            return await as_daemon.call('lookups', X_Request_Id='r7')

    answered = run_with_time_limit(work())
    assert (answered.status, answered.headers['coltsfootstair-request-id']) == (200, 'r7')


async def _lose_answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Run a request, and reset the connection in place of an answer."""
    await asyncio.sleep(0.01)
    return False


async def _fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    request_id = request.headers['x-request-id']
    writer.write(encode_answer(500, b'', X_Request_Id=request_id, X_Upstream_Signature='s'))
    return True


async def _shed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    headers = {'X_Request_Id': request.headers['x-request-id'], 'X_Not_Executed': '1'}
    writer.write(encode_answer(503, b'', X_Upstream_Load='4,4,4,100', **headers))
    return True


async def _cut_off_and_settle(
    gateways: list[RunningGateway], servers: Servers, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Cut the first daemon off from all servers, until it sends through others."""
    everyone = [server for _, server in servers.list_all()]
    cut_off_gateway(gateways[0].gateway, everyone, 'refuse', monkeypatch)
    for _ in range(8):
        await _count_served(gateways[0], 1)
        await asyncio.sleep(0.1)


def _list_reached(servers: list[ServerStandin], request_id: str) -> list[str]:
    return [
        server.name
        for server in servers
        for request in server.received
        if request.headers['x-request-id'] == request_id
    ]


def _make_many_servers() -> Servers:
    """Return enough servers of a kind that no helper is left without an untried one."""
    return _make_servers()._replace(
        calendar=[ServerStandin(f'c{number}') for number in range(8)]
    )


@pytest.mark.parametrize('behaviour', [_lose_answer, _fail, _shed])
def test_a_relayed_request_reaches_no_more_servers_than_its_route_allows(
    behaviour: Behaviour, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against helpers that each count the attempts of one request from zero."""
    servers = _make_many_servers()

    async def work() -> list[list[str]]:
        async with run_gateways(5, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            await _cut_off_and_settle(gateways, servers, monkeypatch)
            for server in servers.calendar:
                server.behaviour = behaviour
            ids = [f'o{number}' for number in range(10)]
            for request_id in ids:
                await gateways[0].call('lookups', X_Request_Id=request_id)
            return [_list_reached(servers.calendar, request_id) for request_id in ids]

    reached = run_with_time_limit(work())
    assert max(map(len, reached)) == 2
    assert all(len(names) == len(set(names)) for names in reached)


class _LosingHelper:
    """A daemon that takes relayed requests, and ends the connection in place of an answer."""

    def __init__(self) -> None:
        self.count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.count += 1
        writer.close()


@pytest.mark.parametrize(('is_known', 'reached_count'), [(True, 1), (False, 0)])
def test_a_daemon_whose_answer_is_lost_may_have_made_its_attempt(
    is_known: bool, reached_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against counting only the attempts of helpers that live to report them."""
    servers = _make_many_servers()

    async def work() -> tuple[int, list[str]]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            await _cut_off_and_settle(gateways, servers, monkeypatch)
            losing = _LosingHelper()
            listener = await asyncio.start_server(losing.serve, '127.0.0.1', 0)
            lost = Address(*listener.sockets[0].getsockname()[:2])
            client = gateways[0].gateway._dispatcher._relay_client
            others = [_get_helper_address(other.gateway) for other in gateways[1:]]
            helpers = iter([[lost]])
            monkeypatch.setattr(client, '_get_helpers', lambda: next(helpers, others))
            if is_known:
                client._accounting.add(lost)
            for server in servers.calendar:
                server.behaviour = _lose_answer
            await gateways[0].call('lookups', X_Request_Id='lost')
            listener.close()
            return losing.count, _list_reached(servers.calendar, 'lost')

    lost_count, reached = run_with_time_limit(work())
    assert lost_count == 1
    assert len(reached) == reached_count


class _EarlierHelper:
    """A daemon of a version without accounts, which refuses what it may have tried."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.heads.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(encode_answer(503, b'', Coltsfootstair_Result='203', Retry_After='0.2'))
        await reader.read(1)
        writer.close()


def test_after_a_daemon_of_an_earlier_version_no_other_is_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against attempts of an earlier version that nobody counts, in an upgrade."""
    servers = _make_many_servers()

    async def work() -> tuple[ReceivedAnswer, list[bytes], list[str]]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            await _cut_off_and_settle(gateways, servers, monkeypatch)
            earlier = _EarlierHelper()
            listener = await asyncio.start_server(earlier.serve, '127.0.0.1', 0)
            address = Address(*listener.sockets[0].getsockname()[:2])
            client = gateways[0].gateway._dispatcher._relay_client
            others = [_get_helper_address(other.gateway) for other in gateways[1:]]
            helpers = iter([[address]])
            monkeypatch.setattr(client, '_get_helpers', lambda: next(helpers, others))
            answer = await gateways[0].call('lookups', X_Request_Id='mixed')
            listener.close()
            return answer, earlier.heads, _list_reached(servers.calendar, 'mixed')

    answer, heads, reached = run_with_time_limit(work())
    assert (answer.status, len(heads), reached) == (503, 1, [])
    # What it does not know is a header of the connection, so that it forwards it to nobody.
    assert b'connection: coltsfootstair-attempts' in heads[0].lower()


@pytest.mark.parametrize('behaviour', [_lose_answer, _shed])
def test_a_daemon_of_an_earlier_version_takes_a_spent_attempt_for_final(
    behaviour: Behaviour, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an earlier version that sends on what a helper has tried."""
    servers = _make_many_servers()

    async def work() -> tuple[ReceivedAnswer, list[str]]:
        async with run_gateways(1, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            for server in servers.calendar:
                server.behaviour = behaviour
            as_daemon = gateways[0]._replace(address=_get_helper_address(gateways[0].gateway))
            answer = await as_daemon.call('lookups', X_Request_Id='earlier')
            return answer, _list_reached(servers.calendar, 'earlier')

    answer, reached = run_with_time_limit(work())
    # One attempt of the two may have been its own.
    assert len(reached) == 1
    # An answer that names a server is final to it.
    assert answer.headers['coltsfootstair-served-by'] in reached
    assert 'coltsfootstair-attempts' not in answer.headers


def test_a_trial_that_is_granted_where_a_request_arrived_is_made_by_a_helper() -> None:
    """Guards against a second trial of one request, which the keeper would refuse."""
    servers = _make_many_servers()

    async def work() -> int:
        async with run_gateways(1, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            gateway = gateways[0].gateway
            monkeypatch = pytest.MonkeyPatch()
            monkeypatch.setattr(gateway._fleet.suspects, 'judge', lambda _: Verdict.HELD)
            monkeypatch.setattr(
                type(gateway._fleet.suspects), 'is_empty', property(lambda _: False)
            )
            monkeypatch.setattr(gateway._fleet.trials, '_send_request', lambda _: False)
            try:
                as_daemon = gateways[0]._replace(address=_get_helper_address(gateway))
                answer = await as_daemon.call(
                    'lookups',
                    X_Request_Id='tried',
                    Coltsfootstair_Attempts='attempts=0&ended=0&trial=1',
                )
            finally:
                monkeypatch.undo()
            return answer.status

    assert run_with_time_limit(work()) == 200


def test_a_request_with_as_many_headers_as_allowed_is_relayed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against helpers that count the headers between daemons as the caller's."""
    servers = _make_servers()

    async def work() -> list[int]:
        async with run_gateways(3, *servers.list_all()) as gateways:
            await _warm_up(gateways)
            most = 4096
            while (await gateways[0].call('lookups', A='x' * most)).status == 431:
                most -= 8
            await _cut_off_and_settle(gateways, servers, monkeypatch)
            return [
                (
                    await gateways[0].call('lookups', X_Request_Id=f'r{number}', A='x' * most)
                ).status
                for number in range(4)
            ]

    assert run_with_time_limit(work()) == [200] * 4


@pytest.mark.parametrize(
    ('chosen', 'reached'), [('desk', {'desk'}), ('gone', {'calendar', 'desk'})]
)
def test_a_helper_keeps_to_the_part_of_a_split_route_that_was_chosen(
    chosen: str, reached: set[str]
) -> None:
    """Guards against moving to another part what one part has no room for."""
    servers = _make_servers()
    configuration = build_configuration()
    parts = [{'service': service, 'weight': 1} for service in ('calendar', 'desk')]
    route = build_route('split', '', **{'weighted-backends': parts})
    del route['spec']['service']
    configuration['resources'].append(route)

    async def work() -> list[int]:
        async with run_gateways(1, *servers.list_all(), configuration=configuration) as (
            running,
        ):
            as_daemon = running._replace(address=_get_helper_address(running.gateway))
            account = f'attempts=0&ended=0&trial=0&service={chosen}'
            return [
                (
                    await as_daemon.call(
                        'split', X_Request_Id=f's{number}', Coltsfootstair_Attempts=account
                    )
                ).status
                for number in range(6)
            ]

    assert run_with_time_limit(work()) == [200] * 6
    assert {service for service, server in servers.list_all() if server.received} == reached


@pytest.mark.parametrize(
    'value',
    [
        None,
        b'',
        b'attempts',
        b'attempts=1',
        b'attempts=x&ended=0&trial=0',
        b'attempts=-1&ended=0&trial=0',
        b'attempts=1&ended=0&trial=0&outcome=none',
        b'attempts=1&ended=0&trial=0&tried=%ff',
        b'attempts=1&ended=0&trial=0\xff',
        b'attempts=' + b'1' * 9000 + b'&ended=0&trial=0',
    ],
)
def test_a_malformed_account_counts_as_none(value: bytes | None) -> None:
    assert decode_account(value) is None


def test_an_account_survives_the_way_to_another_daemon() -> None:
    account = AttemptAccount(
        2, 1, frozenset({'s&1', 's 2', 'ß=3'}), True, 'a=b', Outcome.FAILED
    )
    assert decode_account(encode_account(account)) == account
    assert decode_account(encode_account(AttemptAccount(0))) == AttemptAccount(0)
