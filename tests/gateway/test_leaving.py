"""Tests of requests around a backend server that says in an answer that it is leaving."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import pytest

from coltsfootstair.clock import ManualClock
from coltsfootstair.gateway import HeadFacts
from coltsfootstair.gateway._leaving import (
    LeavingOwners,
    compute_move_wait_s,
    find_leaving_server,
)
from coltsfootstair.http1 import Address, AnswerLimiter, Connection
from coltsfootstair.keyspace import (
    KeyRange,
    KeyTable,
    OwnershipView,
    encode_table,
)
from coltsfootstair.objects import StoredObject
from coltsfootstair.registry import BackendServer, Registry, ServerState
from coltsfootstair.results import ResultCode
from tests.coltsfootstair_platform.standin import (
    Behaviour,
    ReceivedRequest,
    ServerStandin,
    encode_answer,
)
from tests.gateway.harness import (
    ReceivedAnswer,
    RunningGateway,
    run_gateway,
    run_with_time_limit,
)

ENTRY_DELAY_S = 0.6
"""Longer than a daemon takes to read a changed entry."""

Build = Callable[[ServerStandin, ReceivedRequest], bytes]


def _answer_with(server: ServerStandin, build: Build) -> Behaviour:
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(build(server, request))
        return True

    return answer


def _build_leaving_answer(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return server.build_answer(request, Server_Leaving='1')


def _make_leaving_server(name: str, build: Build = _build_leaving_answer) -> ServerStandin:
    server = ServerStandin(name)
    server.behaviour = _answer_with(server, build)
    return server


def _build_failed(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return encode_answer(
        500,
        X_Request_Id='r1',
        X_Upstream_Signature=f'signed-by-{server.name}',
        Server_Leaving='1',
    )


def _build_shed(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return encode_answer(503, X_Not_Executed='1', X_Request_Id='r1', Server_Leaving='1')


def _build_unsigned(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return encode_answer(200, b'unsigned', X_Request_Id='r1', Server_Leaving='1')


def _build_crossed(server: ServerStandin, request: ReceivedRequest) -> bytes:
    late = encode_answer(200, b'late', X_Request_Id='another', Server_Leaving='1')
    return late + server.build_answer(request)


def _build_interim(server: ServerStandin, request: ReceivedRequest) -> bytes:
    interim = b'HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n'
    return interim + server.build_answer(request)


def _build_extra(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return server.build_answer(request) + server.build_answer(
        request, b'again', Server_Leaving='1'
    )


def _build_truncated(server: ServerStandin, request: ReceivedRequest) -> bytes:
    return server.build_answer(request, b'x' * 100, Server_Leaving='1')[:-40]


@pytest.mark.parametrize(
    'build',
    [
        _build_leaving_answer,
        _build_failed,
        _build_shed,
        _build_unsigned,
        _build_crossed,
        _build_interim,
        _build_extra,
        _build_truncated,
    ],
)
def test_a_server_that_says_it_leaves_gets_no_further_request(build: Build) -> None:
    """Guards against waiting for the store to tell of a server that is leaving.

    A server that told it in all its answers got requests for as long as its entry said that it
    was ready.
    """
    leaving = _make_leaving_server('s1', build)

    async def work() -> list[int]:
        async with run_gateway(('calendar', leaving)) as running:
            await running.call('lookups')
            return [(await running.call('lookups')).status for _ in range(3)]

    assert run_with_time_limit(work()) == [503] * 3, 'no other server is there'
    assert len(leaving.received) == 1


def test_a_late_answer_on_an_idle_connection_tells_that_its_server_leaves() -> None:
    """Guards against reading nothing of an answer for which no request waits."""
    server = ServerStandin('s1')

    async def answer_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.build_answer(request))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(server.build_answer(request, b'late', Server_Leaving='1'))
        return True

    server.behaviour = answer_twice

    async def work() -> list[int]:
        async with run_gateway(('calendar', server)) as running:
            statuses = [(await running.call('lookups')).status]
            await asyncio.sleep(0.15)
            return [*statuses, (await running.call('lookups')).status]

    assert run_with_time_limit(work()) == [200, 503]
    assert len(server.received) == 1


def test_the_head_of_an_answer_is_enough() -> None:
    """Guards against waiting for the end of a long answer, or for a caller that has left."""
    server = ServerStandin('s1')

    async def answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        content = server.build_answer(request, b'x' * 100, Server_Leaving='1')
        await asyncio.sleep(0.1)
        writer.write(content[:-40])
        await writer.drain()
        await asyncio.sleep(0.6)
        writer.write(content[-40:])
        return True

    server.behaviour = answer_slowly

    async def work() -> int:
        async with run_gateway(('desk', server)) as running:
            caller = await running.connect()
            caller.send('bookings', body=b'x')
            async with asyncio.timeout(5.0):
                while not server.received:
                    await asyncio.sleep(0.01)
            caller.writer.close()
            await asyncio.sleep(0.3)
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == 503, 'no other server is there'
    assert len(server.received) == 1


def test_work_at_a_leaving_server_ends_as_it_would() -> None:
    """Guards against breaking off requests at a server that says it leaves."""
    server = ServerStandin('s1')

    async def answer_long_ones_slowly(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(0.5 if request.target == '/x/long' else 0.0)
        writer.write(server.build_answer(request, Server_Leaving='1'))
        return True

    server.behaviour = answer_long_ones_slowly

    async def work() -> tuple[ReceivedAnswer, list[bytes]]:
        async with run_gateway(('desk', server)) as running:
            long_call = asyncio.ensure_future(running.call('uploads', '/x/long', b'body'))
            await asyncio.sleep(0.1)
            statuses = [
                (await running.call('bookings', '/x/short', b'')).status for _ in range(3)
            ]
            assert statuses == [200, 503, 503], 'no other server is there'
            return await long_call, [request.target.encode() for request in server.received]

    answered, targets = run_with_time_limit(work())
    assert (answered.status, answered.body) == (200, b'/x/longbody')
    assert targets == [b'/x/long', b'/x/short']


def test_callers_do_not_see_that_a_server_leaves() -> None:
    async def work() -> ReceivedAnswer:
        async with run_gateway(('calendar', _make_leaving_server('s1'))) as running:
            return await running.call('lookups')

    answered = run_with_time_limit(work())
    assert answered.status == 200
    assert 'server-leaving' not in answered.headers


def test_a_request_that_waits_for_a_connection_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending a request that waits when its server says that it leaves."""
    leaving, other = _make_leaving_server('s1'), ServerStandin('s2')
    waiting = asyncio.Event()
    open_connection = Connection.open

    async def open_slowly(
        address: Address,
        id_header: bytes,
        timeout_s: float,
        limiter: AnswerLimiter | None = None,
    ) -> Connection:
        if address.port == leaving.port and leaving.received:
            waiting.set()
            await asyncio.sleep(0.2)
        return await open_connection(address, id_header, timeout_s, limiter)

    async def work() -> list[int]:
        async with run_gateway(('calendar', leaving)) as running:
            release_first = asyncio.Event()

            async def answer_when_told(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> bool:
                await release_first.wait()
                writer.write(_build_leaving_answer(leaving, request))
                return True

            leaving.behaviour = answer_when_told
            first = asyncio.ensure_future(running.call('lookups'))
            async with asyncio.timeout(5.0):
                while not leaving.received:
                    await asyncio.sleep(0.01)
            second = asyncio.ensure_future(running.call('lookups', X_Request_Id='r2'))
            async with asyncio.timeout(5.0):
                await waiting.wait()
            await other.start()
            await running.store.put('servers', 's2', other.build_entry('calendar'))
            release_first.set()
            statuses = [(await first).status, (await second).status]
            other.stop()
            return statuses

    monkeypatch.setattr(Connection, 'open', open_slowly)
    statuses = run_with_time_limit(work())
    assert statuses[0] == 200
    # The other server may not be known yet.
    assert statuses[1] in (200, 503)
    assert len(leaving.received) == 1


@pytest.mark.parametrize(
    ('started_at_ms', 'status'), [(1700000000000, 503), (1700000000001, 200)]
)
@pytest.mark.parametrize('is_restored', [False, True])
def test_leaving_holds_for_one_incarnation_whatever_the_store_says(
    started_at_ms: int, status: int, is_restored: bool
) -> None:
    """Guards against an outdated entry that makes a leaving server ready again."""
    leaving = _make_leaving_server('s1')

    async def work() -> list[int]:
        async with run_gateway(('calendar', leaving)) as running:
            store = running.store
            store.take_copy()
            statuses = [(await running.call('lookups')).status]
            if is_restored:
                await store.restore()
            else:
                await store.delete('servers', 's1')
            await asyncio.sleep(ENTRY_DELAY_S)
            statuses.append((await running.call('lookups')).status)
            leaving.behaviour = leaving.echo
            for sequence in (2, 3):
                # A restored store is only believed once the server writes its entry again.
                entry = leaving.build_entry('calendar', born=started_at_ms, sequence=sequence)
                await store.put('servers', 's1', entry)
                await asyncio.sleep(ENTRY_DELAY_S)
            return [*statuses, (await running.call('lookups')).status]

    assert run_with_time_limit(work()) == [200, 503, status]


def test_another_server_at_the_address_does_not_speak_for_the_named_one() -> None:
    """Guards against taking the named server for leaving when another one has its address.

    A server without keys answers 421 only if another one is named.
    """
    server = _make_leaving_server(
        's1',
        lambda _server, _request: encode_answer(421, X_Request_Id='r1', Server_Leaving='1'),
    )

    async def work() -> list[int]:
        async with run_gateway(('calendar', server)) as running:
            statuses = [(await running.call('lookups')).status]
            server.behaviour = server.echo
            return [*statuses, (await running.call('lookups')).status]

    assert run_with_time_limit(work()) == [503, 200]


SERVER = BackendServer(
    's1', 1, 'slots', Address('10.0.0.1', 1), 'north', 4, ServerState.READY, 0.0
)
OTHER = SERVER._replace(name='s2', started_at_ms=5)


@pytest.mark.parametrize(
    ('facts', 'has_key', 'known', 'expected'),
    [
        (HeadFacts(False, False), True, [SERVER], None),
        (HeadFacts(False, True, 's1'), True, [SERVER], None),
        (HeadFacts(True, False), False, [SERVER], SERVER),
        # It answered a request that names it.
        (HeadFacts(True, False), False, [SERVER, OTHER], SERVER),
        (HeadFacts(True, True), False, [SERVER], None),
        # The named one may not own the key.
        (HeadFacts(True, True), True, [SERVER], SERVER),
        (HeadFacts(True, True), True, [SERVER, OTHER], None),
        (HeadFacts(True, True, 's1'), False, [SERVER, OTHER], SERVER),
        (HeadFacts(True, True, 's2'), True, [SERVER], None),
        (HeadFacts(True, True, 's2'), True, [SERVER, OTHER], OTHER),
        (
            HeadFacts(True, True, 's2'),
            True,
            [SERVER, OTHER._replace(address=Address('10.0.0.2', 1))],
            None,
        ),
    ],
)
def test_whose_answer_says_that_a_server_is_leaving(
    facts: HeadFacts,
    has_key: bool,
    known: list[BackendServer],
    expected: BackendServer | None,
) -> None:
    registry = Registry(ManualClock())
    for server in known:
        registry.apply_entry(server)
    assert find_leaving_server(facts, SERVER, registry, has_key=has_key) == expected


@pytest.mark.parametrize(('name', 'status'), [('s1', 503), ('another', 200)])
def test_an_answer_that_names_its_server_tells_of_that_one(name: str, status: int) -> None:
    """Guards against taking the word of one server for that of another."""

    def build(_server: ServerStandin, _request: ReceivedRequest) -> bytes:
        return encode_answer(421, X_Request_Id='r1', X_Instance_Id=name, Server_Leaving='1')

    server = _make_leaving_server('s1', build)

    async def work() -> list[int]:
        async with run_gateway(('calendar', server)) as running:
            statuses = [(await running.call('lookups')).status]
            server.behaviour = server.echo
            return [*statuses, (await running.call('lookups')).status]

    assert run_with_time_limit(work()) == [503, status]


def test_the_metrics_count_leaving_servers() -> None:
    async def work() -> tuple[float, float]:
        async with run_gateway(('calendar', _make_leaving_server('s1'))) as running:
            before = _read_leaving_count(running)
            await running.call('lookups')
            return before, _read_leaving_count(running)

    before, after = run_with_time_limit(work())
    assert after == before + 1


def _read_leaving_count(running: RunningGateway) -> float:
    """Return the sum over all gateways of this process, since the page shows them all."""
    prefix = 'coltsfootstair_leaving_backend_servers{'
    lines = running.gateway.metrics.render_page().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(prefix))


def _answer_leaving_if_asked(server: ServerStandin) -> Behaviour:
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if request.target == '/x/leave':
            writer.write(server.build_answer(request, Server_Leaving='1'))
        else:
            writer.write(server.build_answer(request))
        return True

    return answer


async def _call_until_owned(running: RunningGateway) -> None:
    async with asyncio.timeout(8.0):
        while (await running.call('keyed', X_Shard_Key=7)).status != 200:
            await asyncio.sleep(0.05)


def test_a_key_of_a_leaving_owner_is_refused_at_once_until_it_has_another() -> None:
    """Guards against requests to an owner that said that it leaves, and against waiting.

    An owner got the requests of its keys for a part of the drain time after its word, and then
    they waited for half of their target latency.
    """
    server = ServerStandin('s1')
    server.behaviour = _answer_leaving_if_asked(server)

    async def work() -> tuple[ReceivedAnswer, float]:
        async with run_gateway(('slots', server)) as running:
            await _call_until_owned(running)
            assert (await running.call('keyed', '/x/leave', X_Shard_Key=7)).status == 200
            before = time.monotonic()
            return await running.call('keyed', X_Shard_Key=7), time.monotonic() - before

    answered, took_s = run_with_time_limit(work())
    assert answered.status == 503
    assert b'"ran": "no"' in answered.body
    assert 0 < float(answered.headers['retry-after']) < 2
    # Half of the target latency of 0.3 s would be 0.15 s.
    assert took_s < 0.1
    assert server.received[-1].target == '/x/leave'


@pytest.mark.parametrize('status', [421, 503])
def test_a_leaving_owners_own_refusal_is_one_of_a_key_that_moves(status: int) -> None:
    """Guards against a Retry-After of another kind, or a wait, after the owner's refusal."""
    server = ServerStandin('s1')

    async def refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(
            encode_answer(
                status,
                X_Request_Id='r1',
                X_Not_Executed='1',
                X_Instance_Id='s1',
                Server_Leaving='1',
            )
        )
        return True

    async def work() -> tuple[ReceivedAnswer, float]:
        async with run_gateway(('slots', server)) as running:
            await _call_until_owned(running)
            server.behaviour = refuse
            before = time.monotonic()
            return await running.call('keyed', X_Shard_Key=7), time.monotonic() - before

    answered, took_s = run_with_time_limit(work())
    assert answered.status == 503
    assert answered.headers['coltsfootstair-result'] == '303'
    assert 0.2 < float(answered.headers['retry-after']) < 2
    # Nothing is waited for, as the time for a new table of keys, 0.1 s.
    assert took_s < 0.1


def test_a_caller_that_comes_back_as_told_is_served_by_the_next_owner() -> None:
    """Guards against a Retry-After that does not fit how long a move takes."""
    servers = [ServerStandin('s1'), ServerStandin('s2')]
    for server in servers:
        server.behaviour = _answer_leaving_if_asked(server)

    async def work() -> tuple[list[float], ServerStandin]:
        async with run_gateway(*(('slots', server) for server in servers)) as running:
            await _call_until_owned(running)
            await running.call('keyed', '/x/leave', X_Shard_Key=7)
            (left,) = [
                server for server in servers if _list_targets(server)[-1:] == ['/x/leave']
            ]
            waits_s = []
            while (answered := await running.call('keyed', X_Shard_Key=7)).status == 503:
                waits_s.append(float(answered.headers['retry-after']))
                await asyncio.sleep(waits_s[-1])
            assert answered.status == 200
            return waits_s, left

    waits_s, left = run_with_time_limit(work())
    assert len(waits_s) <= 2
    assert sum(waits_s) < 2
    assert _list_targets(left)[-1] == '/x/leave'
    paths = [path for path, _ in left.grant_calls]
    assert '/-/release' in paths, 'the keys are released before another owner gets them'


def _list_targets(server: ServerStandin) -> list[str]:
    return [request.target for request in server.received]


@pytest.mark.parametrize(
    ('known_for_s', 'wait_s'), [(0.0, 0.75), (0.3, 0.45), (0.7, 0.1), (0.8, 0.75), (9.0, 0.75)]
)
def test_retry_after_is_what_is_left_of_a_move(known_for_s: float, wait_s: float) -> None:
    assert compute_move_wait_s(known_for_s, 0.5) == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ('owner', 'is_granted', 'is_refused'),
    [
        (('s1', 1), True, True),
        (('s1', 1), False, True),  # Planned for it before it said so.
        (('s1', 2), True, False),  # A new life.
        (('s2', 1), False, False),  # The key has a newer owner and waits for its grant.
    ],
)
def test_keys_are_refused_as_long_as_no_newer_owner_is_known(
    owner: tuple[str, int], is_granted: bool, is_refused: bool
) -> None:
    clock = ManualClock()
    registry, ownership = Registry(clock), OwnershipView()
    owners = LeavingOwners(registry, ownership, clock)
    assert owners.refuse('slots', 7) is None, 'no table is known'
    table = KeyTable([KeyRange(0, 65535, owner, 2, is_granted)], 2)
    ownership.apply_object(StoredObject('table-slots', 1, encode_table(table)))
    assert owners.refuse('slots', 7) is None
    registry.mark_leaving(('s1', 1))
    refusal = owners.refuse('slots', 7)
    assert (refusal is not None) is is_refused
    assert refusal is None or refusal.code is ResultCode.KEY_MOVING
