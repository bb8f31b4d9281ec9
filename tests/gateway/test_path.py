"""What callers and backend servers see of one request."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.http1 import Address, ConnectionPool
from coltsfootstair.peers import Heartbeat, Message, PeerChannel
from tests.coltsfootstair_platform.standin import Received, ServerStandin, answer
from tests.gateway.harness import Answered, play, system


async def _hang(_request: Received, _writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(20.0)
    return False


def _reset_socket(writer: asyncio.StreamWriter) -> None:
    plain = writer.get_extra_info('socket')
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


async def _reset(_request: Received, writer: asyncio.StreamWriter) -> bool:
    _reset_socket(writer)
    return False


def test_a_request_is_passed_on_and_its_answer_returned_unchanged() -> None:
    server = ServerStandin('s1')

    async def work() -> Answered:
        async with system(('desk', server)) as running:
            return await running.call(
                'bookings', '/x/book?when=1', b'body', X_Custom='kept', X_Target_Instance='me'
            )

    answered = play(work())
    assert answered.status == 200
    assert answered.body == b'/x/book?when=1body'
    assert answered.headers['x-upstream-signature'] == 'signed-by-s1'
    assert 'x-upstream-load' not in answered.headers
    (received,) = server.received
    assert received.headers['x-custom'] == 'kept'
    assert received.headers['x-request-id'] == 'r1'
    assert received.headers['x-target-instance'] == 's1'
    assert 500 < int(received.headers['x-request-deadline']) <= 1000


def test_what_no_route_allows_is_not_found() -> None:
    async def work() -> list[int]:
        async with system() as running:
            return [
                (await running.call('nowhere')).status,
                (await running.call('lookups', '/y/a')).status,
            ]

    assert play(work()) == [404, 404]


def test_a_service_without_servers_is_refused_at_once_with_a_time() -> None:
    async def work() -> tuple[Answered, float]:
        async with system() as running:
            before = time.monotonic()
            return await running.call('lookups'), time.monotonic() - before

    answered, took_s = play(work())
    assert answered.status == 503
    assert float(answered.headers['retry-after']) > 0
    assert b'"ran": "no"' in answered.body
    assert took_s < 0.2


def test_pipelined_requests_are_answered_in_order() -> None:
    async def slow_first(request: Received, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.2 if request.target.endswith('1') else 0.0)
        writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', slow_first)

    async def work() -> list[bytes]:
        async with system(('calendar', server)) as running:
            caller = await running.connect()
            for number in range(1, 5):
                caller.send('lookups', f'/x/{number}', X_Request_Id=f'r{number}')
            return [(await caller.answer()).body for _ in range(4)]

    assert play(work()) == [b'/x/1', b'/x/2', b'/x/3', b'/x/4']


def test_a_body_in_chunks_is_passed_on_whole() -> None:
    server = ServerStandin('s1')

    async def work() -> Answered:
        async with system(('desk', server)) as running:
            caller = await running.connect()
            caller.writer.write(
                b'POST /x/up HTTP/1.1\r\nHost: uploads.example\r\nX-Request-Id: r1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n'
            )
            return await caller.answer()

    assert play(work()).body == b'/x/upabcdefg'


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /x/ HTTP/1.1\r\nHost: lookups.example\r\nX: ' + b'y' * 5000 + b'\r\n\r\n', 431),
        (
            b'POST /x/ HTTP/1.1\r\nHost: uploads.example\r\nContent-Length: 9000000\r\n\r\n',
            413,
        ),
        (
            (
                b'POST /x/ HTTP/1.1\r\nHost: uploads.example\r\nContent-Length: 4\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x/ HTTP/1.1\r\n\r\n'
            ),
            400,
        ),
        (b'not HTTP at all\r\n\r\n', 400),
        (b'GET /x/ HTTP/1.1\r\nHost: lookups', 408),
    ],
)
def test_what_is_no_proper_request_is_refused_and_passed_on_to_nobody(
    sent: bytes, status: int
) -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[int, bool]:
        async with system(('calendar', server), ('desk', server)) as running:
            caller = await running.connect()
            caller.writer.write(sent)
            return (await caller.answer()).status, await caller.ended()

    assert play(work()) == (status, True)
    assert server.received == []


def test_a_caller_that_leaves_ends_an_idempotent_request() -> None:
    server = ServerStandin('s1', _hang)

    async def work() -> int:
        async with system(('calendar', server)) as running:
            caller = await running.connect()
            caller.send('lookups')
            await asyncio.sleep(0.1)
            caller.writer.close()
            await asyncio.sleep(0.4)
            return server.left

    assert play(work()) == 1


def test_a_booking_whose_caller_leaves_is_not_broken_off() -> None:
    server = ServerStandin('s1', _hang)

    async def work() -> int:
        async with system(('desk', server)) as running:
            caller = await running.connect()
            caller.send('bookings', body=b'x')
            await asyncio.sleep(0.1)
            caller.writer.close()
            await asyncio.sleep(0.4)
            return server.left

    assert play(work()) == 0


def test_a_lookup_that_was_reset_is_repeated_elsewhere() -> None:
    servers = ServerStandin('s1', _reset), ServerStandin('s2')

    async def work() -> set[int]:
        async with system(('calendar', servers[0]), ('calendar', servers[1])) as running:
            return {(await running.call('lookups')).status for _ in range(8)}

    assert play(work()) == {200}


def test_a_booking_that_was_reset_is_not_repeated() -> None:
    servers = ServerStandin('s1', _reset), ServerStandin('s2', _reset)

    async def work() -> int:
        async with system(('desk', servers[0]), ('desk', servers[1])) as running:
            return (await running.call('bookings', body=b'x')).status

    assert play(work()) == 502
    assert len(servers[0].received) + len(servers[1].received) == 1


def test_an_answer_without_the_mark_of_a_server_is_no_success() -> None:
    async def unmarked(_request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(answer(200, b'forged', X_Request_Id='r1'))
        return True

    async def work() -> int:
        async with system(('desk', ServerStandin('s1', unmarked))) as running:
            return (await running.call('bookings', body=b'x')).status

    assert play(work()) == 502


def test_an_encoded_answer_is_no_success() -> None:
    async def encoded(request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.whole(request, Content_Encoding='gzip'))
        return True

    server = ServerStandin('s1', encoded)

    async def work() -> int:
        async with system(('desk', server)) as running:
            return (await running.call('bookings', body=b'x')).status

    assert play(work()) == 502


def test_a_late_second_answer_is_never_given_to_the_next_caller() -> None:
    async def twice(request: Received, writer: asyncio.StreamWriter) -> bool:
        if len(server.received) > 1:
            old = server.received[-2]
            writer.write(server.whole(old, b'to the last request'))
        writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', twice)

    async def work() -> list[bytes]:
        async with system(('desk', server)) as running:
            return [
                (await running.call('bookings', f'/x/{n}', b'', X_Request_Id=f'r{n}')).body
                for n in range(4)
            ]

    assert play(work()) == [b'/x/0', b'/x/1', b'/x/2', b'/x/3']


def test_bytes_behind_an_answer_belong_to_no_request() -> None:
    async def extra(request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.whole(request) + server.whole(request, b'again'))
        return True

    server = ServerStandin('s1', extra)

    async def work() -> list[bytes]:
        async with system(('desk', server)) as running:
            return [
                (await running.call('bookings', f'/x/{n}', b'', X_Request_Id=f'r{n}')).body
                for n in range(3)
            ]

    assert play(work()) == [b'/x/0', b'/x/1', b'/x/2']


@pytest.mark.parametrize(('resets', 'status'), [(False, 200), (True, 502)])
def test_an_answer_without_length_is_whole_only_if_it_ends_in_order(
    resets: bool, status: int
) -> None:
    async def unframed(request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Upstream-Signature: s\r\nX-Request-Id: r1\r\n\r\nsome bytes'
        )
        await writer.drain()
        if resets:
            await asyncio.sleep(0.05)
            _reset_socket(writer)
        return False

    async def work() -> int:
        async with system(('desk', ServerStandin('s1', unframed))) as running:
            return (await running.call('bookings', body=b'x')).status

    assert play(work()) == status


def test_a_cut_answer_never_looks_whole() -> None:
    async def cut(request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.whole(request, b'x' * 100)[:-40])
        await writer.drain()
        return False

    server = ServerStandin('s1', cut)

    async def work() -> int:
        async with system(('desk', server)) as running:
            return (await running.call('bookings', body=b'x')).status

    assert play(work()) == 502


def test_an_early_answer_leaves_the_connection_usable() -> None:
    """A server that answers before a long body is in reads that body's rest, nothing else."""
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b'\r\n\r\n'):
            name = head.split(b'X-Request-Id: ')[1].split(b'\r\n')[0].decode()
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            writer.write(
                answer(400, b'no', X_Request_Id=name, X_Upstream_Signature='s', X_Not_Run='')
            )
            bodies.append(await reader.readexactly(length))

    async def work() -> list[int]:
        raw = await asyncio.start_server(serve, '127.0.0.1', 0)
        server = ServerStandin('s1')
        server.port = raw.sockets[0].getsockname()[1]
        async with system() as running:
            await running.store.put('servers', 's1', server.entry('desk'))
            await asyncio.sleep(0.4)
            statuses = []
            for number in range(3):
                body = bytes([97 + number]) * 500_000
                answered = await running.call(
                    'uploads', '/x/', body, X_Request_Id=f'r{number}'
                )
                statuses.append(answered.status)
            return statuses

    assert play(work()) == [400, 400, 400]
    assert [(set(body), len(body)) for body in bodies] == [
        ({97}, 500_000),
        ({98}, 500_000),
        ({99}, 500_000),
    ]


def test_a_silent_server_gets_a_final_answer_at_the_routes_time() -> None:
    server = ServerStandin('s1', _hang)

    async def work() -> tuple[int, bytes, float]:
        async with system(('desk', server)) as running:
            before = time.monotonic()
            answered = await running.call('bookings', body=b'x')
            return answered.status, answered.body, time.monotonic() - before

    status, body, took_s = play(work())
    assert status == 504
    assert b'"ran": "unknown"' in body
    assert 0.8 < took_s < 1.2


def test_what_a_server_did_not_run_goes_to_another() -> None:
    async def shed(_request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(answer(503, X_Not_Executed='1', X_Request_Id='r1'))
        return True

    async def work() -> list[int]:
        servers = ServerStandin('s1', shed), ServerStandin('s2')
        async with system(('desk', servers[0]), ('desk', servers[1])) as running:
            return [(await running.call('bookings', body=b'x')).status for _ in range(4)]

    assert play(work()) == [200] * 4


def test_a_refusal_by_all_servers_is_passed_on_as_not_run() -> None:
    async def shed(_request: Received, writer: asyncio.StreamWriter) -> bool:
        writer.write(answer(503, X_Not_Executed='1', X_Request_Id='r1'))
        return True

    async def work() -> Answered:
        async with system(('desk', ServerStandin('s1', shed))) as running:
            return await running.call('bookings', body=b'x')

    answered = play(work())
    assert answered.status == 503
    assert b'"ran": "no"' in answered.body
    assert float(answered.headers['retry-after']) > 0


def test_an_owner_that_sheds_with_room_is_asked_again() -> None:
    """1,732 keyed lookups were refused though their owners had room for them."""

    async def sheds_once(request: Received, writer: asyncio.StreamWriter) -> bool:
        if len(server.received) % 2:
            name = request.headers['x-request-id']
            load = '1,0,4,100'
            writer.write(
                answer(503, X_Not_Executed='1', X_Request_Id=name, X_Upstream_Load=load)
            )
        else:
            writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', sheds_once)

    async def work() -> int:
        async with system(('slots', server)) as running:
            async with asyncio.timeout(8.0):
                while not server.orders:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            return (await running.call('keyed', X_Shard_Key=7)).status

    assert play(work()) == 200
    assert len(server.received) == 2


def test_a_request_without_a_key_is_refused_where_keys_have_owners() -> None:
    async def work() -> Answered:
        async with system(('slots', ServerStandin('s1'))) as running:
            return await running.call('keyed')

    assert play(work()).status == 400


def test_busy_connections_end_with_an_answer_after_the_stop() -> None:
    """Connections that were never idle took requests until the process was killed."""

    async def slow(request: Received, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.15)
        writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', slow)

    async def work() -> tuple[int, int]:
        async with system(('calendar', server), grace_s=4.0) as running:
            caller = await running.connect()
            answers = 0
            caller.send('lookups', X_Request_Id='r0')
            for number in range(1, 60):
                caller.send('lookups', X_Request_Id=f'r{number}')
                if number == 3:
                    running.gateway.stop()
                try:
                    answered = await caller.answer()
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                assert answered.status == 200
                answers += 1
                if answered.headers.get('connection') == 'close':
                    break
            return answers, len(server.received)

    answers, received = play(work())
    assert answers < 8
    assert received == answers, 'what was passed on was answered'


def test_what_is_unanswered_at_the_end_of_the_grace_gets_a_final_answer() -> None:
    """An upload at a server that hung was cut off without an answer when its VM stopped."""
    server = ServerStandin('s1', _hang)

    async def work() -> tuple[int, float]:
        async with system(('desk', server), grace_s=0.9) as running:
            caller = await running.connect()
            caller.send('bookings', body=b'x')
            await asyncio.sleep(0.1)
            before = time.monotonic()
            running.gateway.stop()
            return (await caller.answer()).status, time.monotonic() - before

    status, took_s = play(work())
    assert status == 504
    assert 0.3 < took_s < 0.8


def test_connections_to_servers_are_probed_when_silent() -> None:
    """Watches lay for 31 s on connections that had gone silent."""

    async def work() -> tuple[int, int, int]:
        server = ServerStandin('s1')
        await server.start()
        pool = ConnectionPool(SystemClock(), b'')
        connection = await pool.open(Address('127.0.0.1', server.port), 1.0)
        assert connection._transport is not None
        plain = connection._transport.get_extra_info('socket')
        options = (
            plain.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            plain.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            plain.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        )
        connection.close()
        server.stop()
        return options

    enabled, idle_s, user_ms = play(work())
    assert enabled == 1
    assert idle_s <= 1
    assert user_ms <= 3000


def test_datagrams_between_daemons_arrive() -> None:
    """The channel never opened, and each daemon took over from the others in turn."""

    async def work() -> list[Message]:
        heard: list[Message] = []
        receiver = await PeerChannel.open(
            Address('127.0.0.1', 0), lambda message, _sender: heard.append(message)
        )
        sender = await PeerChannel.open(Address('127.0.0.1', 0), lambda *_: None)
        assert receiver._transport is not None
        port = receiver._transport.get_extra_info('sockname')[1]
        async with asyncio.timeout(5.0):
            while not heard:
                sender.send(
                    Heartbeat('d1', 3, True, 9, {'s1': 0.5}, ['s2'], {'servers': 7}),
                    Address('127.0.0.1', port),
                )
                await asyncio.sleep(0.01)
        receiver.close()
        sender.close()
        return heard

    assert play(work())[0] == Heartbeat('d1', 3, True, 9, {'s1': 0.5}, ['s2'], {'servers': 7})


def test_requests_wait_for_the_first_answer_of_a_server_whose_load_is_not_known() -> None:
    """They were refused, or lost behind each other, when all daemons sent them at once."""

    async def slow(request: Received, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.05)
        writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', slow)

    async def work() -> list[int]:
        async with system(('calendar', server)) as running:
            running.gateway._fleet._daemons = lambda: 9
            calls = [running.call('lookups', f'/x/{number}') for number in range(4)]
            return [answered.status for answered in await asyncio.gather(*calls)]

    assert play(work()) == [200] * 4


def test_a_booking_that_was_not_sent_yet_is_dropped_when_its_caller_leaves() -> None:
    """It was sent on once there was room, though nobody waited for it any more."""

    async def slow(request: Received, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.1)
        writer.write(server.whole(request))
        return True

    server = ServerStandin('s1', slow)

    async def work() -> list[str]:
        async with system(('desk', server)) as running:
            running.gateway._fleet._daemons = lambda: 9
            room = [
                asyncio.ensure_future(running.call('bookings', f'/x/{number}', b'body'))
                for number in range(2)
            ]
            await asyncio.sleep(0.03)
            caller = await running.connect()
            caller.send('bookings', '/x/left', b'body')
            await asyncio.sleep(0.03)
            caller.writer.close()
            assert [(await call).status for call in room] == [200, 200]
            await asyncio.sleep(0.2)
            return [received.target for received in server.received]

    assert play(work()) == ['/x/0', '/x/1']
