"""Tests of requests from callers to backend servers and of their answers.

In the configuration of the stand-in, the route 'lookups' leads to the service 'calendar',
'bookings' and 'uploads' to 'desk', and 'keyed' to 'slots', which is divided by key. Lookups
and keyed lookups are idempotent. The timeout of each route is 1 s.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.http1 import Address, ConnectionPool
from coltsfootstair.peers import Heartbeat, Message, PeerChannel
from tests.coltsfootstair_platform.standin import ReceivedRequest, ServerStandin, encode_answer
from tests.gateway.harness import (
    ReceivedAnswer,
    RunningGateway,
    run_gateway,
    run_with_time_limit,
)


async def _never_answer(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> bool:
    await asyncio.sleep(20.0)
    return False


def _reset_socket(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info('socket')
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


async def _reset(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    _reset_socket(writer)
    return False


def test_a_request_is_passed_on_and_its_answer_returned_unchanged() -> None:
    server = ServerStandin('s1')

    async def work() -> ReceivedAnswer:
        async with run_gateway(('desk', server)) as running:
            return await running.call(
                'bookings', '/x/book?when=1', b'body', X_Custom='kept', X_Target_Instance='me'
            )

    answered = run_with_time_limit(work())
    assert answered.status == 200
    assert answered.body == b'/x/book?when=1body'
    assert answered.headers['x-upstream-signature'] == 'signed-by-s1'
    assert 'x-upstream-load' not in answered.headers
    (received,) = server.received
    assert received.headers['x-custom'] == 'kept'
    assert received.headers['x-request-id'] == 'r1'
    assert received.headers['x-target-instance'] == 's1'
    # What remains of the route's timeout of 1000 ms; the caller would have waited longer.
    assert 500 < int(received.headers['x-request-deadline']) <= 1000


def test_a_request_without_a_route_gets_status_404() -> None:
    async def work() -> list[int]:
        async with run_gateway() as running:
            return [
                (await running.call('nowhere')).status,
                (await running.call('lookups', '/y/a')).status,
            ]

    assert run_with_time_limit(work()) == [404, 404]


def test_a_service_without_servers_is_refused_at_once_with_retry_after() -> None:
    async def work() -> tuple[ReceivedAnswer, float]:
        async with run_gateway() as running:
            before = time.monotonic()
            return await running.call('lookups'), time.monotonic() - before

    answered, took_s = run_with_time_limit(work())
    assert answered.status == 503
    assert float(answered.headers['retry-after']) > 0
    assert b'"ran": "no"' in answered.body
    assert took_s < 0.2


def test_pipelined_requests_are_answered_in_order() -> None:
    async def answer_first_slowly(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(0.2 if request.target.endswith('1') else 0.0)
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer_first_slowly)

    async def work() -> list[bytes]:
        async with run_gateway(('calendar', server)) as running:
            caller = await running.connect()
            for number in range(1, 5):
                caller.send('lookups', f'/x/{number}', X_Request_Id=f'r{number}')
            return [(await caller.read_answer()).body for _ in range(4)]

    assert run_with_time_limit(work()) == [b'/x/1', b'/x/2', b'/x/3', b'/x/4']


def test_a_chunked_body_is_passed_on_complete() -> None:
    server = ServerStandin('s1')

    async def work() -> ReceivedAnswer:
        async with run_gateway(('desk', server)) as running:
            caller = await running.connect()
            caller.writer.write(
                b'POST /x/up HTTP/1.1\r\nHost: uploads.example\r\nX-Request-Id: r1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n'
            )
            return await caller.read_answer()

    assert run_with_time_limit(work()).body == b'/x/upabcdefg'


@pytest.mark.parametrize(
    ('raw_request', 'status'),
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
def test_an_invalid_request_is_refused_and_not_passed_on(
    raw_request: bytes, status: int
) -> None:
    server = ServerStandin('s1')

    async def work() -> tuple[int, bool]:
        async with run_gateway(('calendar', server), ('desk', server)) as running:
            caller = await running.connect()
            caller.writer.write(raw_request)
            return (await caller.read_answer()).status, await caller.wait_for_end()

    assert run_with_time_limit(work()) == (status, True)
    assert server.received == []


def test_an_idempotent_request_is_cancelled_at_the_server_when_its_caller_leaves() -> None:
    server = ServerStandin('s1', _never_answer)

    async def work() -> int:
        async with run_gateway(('calendar', server)) as running:
            caller = await running.connect()
            caller.send('lookups')
            await asyncio.sleep(0.1)
            caller.writer.close()
            await asyncio.sleep(0.4)
            return server.abandoned_count

    assert run_with_time_limit(work()) == 1


def test_a_booking_is_not_cancelled_at_the_server_when_its_caller_leaves() -> None:
    server = ServerStandin('s1', _never_answer)

    async def work() -> int:
        async with run_gateway(('desk', server)) as running:
            caller = await running.connect()
            caller.send('bookings', body=b'x')
            await asyncio.sleep(0.1)
            caller.writer.close()
            await asyncio.sleep(0.4)
            return server.abandoned_count

    assert run_with_time_limit(work()) == 0


def test_a_lookup_whose_connection_was_reset_is_retried_at_another_server() -> None:
    servers = ServerStandin('s1', _reset), ServerStandin('s2')

    async def work() -> set[int]:
        async with run_gateway(('calendar', servers[0]), ('calendar', servers[1])) as running:
            return {(await running.call('lookups')).status for _ in range(8)}

    assert run_with_time_limit(work()) == {200}


def test_a_booking_whose_connection_was_reset_is_not_retried() -> None:
    servers = ServerStandin('s1', _reset), ServerStandin('s2', _reset)

    async def work() -> int:
        async with run_gateway(('desk', servers[0]), ('desk', servers[1])) as running:
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == 502
    assert len(servers[0].received) + len(servers[1].received) == 1


def test_a_lookup_that_may_have_run_is_not_refused_as_not_run_for_lack_of_a_server() -> None:
    """Its first server had sent garbage, and there was no other one to send it to."""
    gateways: list[RunningGateway] = []

    async def drain_and_send_garbage(
        _request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        entry = server.build_entry('calendar', state='draining')
        await gateways[0].store.put('servers', server.name, entry)
        await asyncio.sleep(0.6)
        writer.write(b'no answer\r\n\r\n')
        return True

    server = ServerStandin('s1', drain_and_send_garbage)

    async def work() -> ReceivedAnswer:
        async with run_gateway(('calendar', server)) as running:
            gateways.append(running)
            return await running.call('lookups')

    answered = run_with_time_limit(work())
    assert answered.status == 502
    assert b'"ran": "unknown"' in answered.body
    assert len(server.received) == 1


def test_an_answer_without_a_server_signature_is_reported_as_incomplete() -> None:
    async def answer_unsigned(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(encode_answer(200, b'forged', X_Request_Id='r1'))
        return True

    async def work() -> int:
        async with run_gateway(('desk', ServerStandin('s1', answer_unsigned))) as running:
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == 502


def test_an_answer_with_a_content_encoding_is_reported_as_incomplete() -> None:
    async def answer_encoded(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.build_answer(request, Content_Encoding='gzip'))
        return True

    server = ServerStandin('s1', answer_encoded)

    async def work() -> int:
        async with run_gateway(('desk', server)) as running:
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == 502


def test_a_second_answer_to_the_previous_request_is_not_passed_to_the_next_caller() -> None:
    async def answer_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if len(server.received) > 1:
            previous = server.received[-2]
            writer.write(server.build_answer(previous, b'to the last request'))
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer_twice)

    async def work() -> list[bytes]:
        async with run_gateway(('desk', server)) as running:
            return [
                (await running.call('bookings', f'/x/{n}', b'', X_Request_Id=f'r{n}')).body
                for n in range(4)
            ]

    assert run_with_time_limit(work()) == [b'/x/0', b'/x/1', b'/x/2', b'/x/3']


def test_extra_bytes_after_an_answer_are_not_used_for_a_request() -> None:
    async def answer_with_extra_bytes(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(server.build_answer(request) + server.build_answer(request, b'again'))
        return True

    server = ServerStandin('s1', answer_with_extra_bytes)

    async def work() -> list[bytes]:
        async with run_gateway(('desk', server)) as running:
            return [
                (await running.call('bookings', f'/x/{n}', b'', X_Request_Id=f'r{n}')).body
                for n in range(3)
            ]

    assert run_with_time_limit(work()) == [b'/x/0', b'/x/1', b'/x/2']


@pytest.mark.parametrize(('resets', 'status'), [(False, 200), (True, 502)])
def test_an_answer_without_length_is_whole_only_if_it_ends_in_order(
    resets: bool, status: int
) -> None:
    async def answer_without_length(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Upstream-Signature: s\r\nX-Request-Id: r1\r\n\r\nsome bytes'
        )
        await writer.drain()
        if resets:
            await asyncio.sleep(0.05)
            _reset_socket(writer)
        return False

    async def work() -> int:
        async with run_gateway(
            ('desk', ServerStandin('s1', answer_without_length))
        ) as running:
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == status


def test_a_truncated_answer_is_not_passed_on() -> None:
    async def truncate(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(server.build_answer(request, b'x' * 100)[:-40])
        await writer.drain()
        return False

    server = ServerStandin('s1', truncate)

    async def work() -> int:
        async with run_gateway(('desk', server)) as running:
            return (await running.call('bookings', body=b'x')).status

    assert run_with_time_limit(work()) == 502


def test_a_connection_is_not_reused_before_the_whole_body_is_sent() -> None:
    """Guards against using a connection again before the rest of a long body is sent.

    A server that answers before the whole body has arrived still reads the rest, and would
    read the next request's bytes as the rest of the body.
    """
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b'\r\n\r\n'):
            request_id = head.split(b'X-Request-Id: ')[1].split(b'\r\n')[0].decode()
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            writer.write(
                encode_answer(
                    400, b'no', X_Request_Id=request_id, X_Upstream_Signature='s', X_Not_Run=''
                )
            )
            bodies.append(await reader.readexactly(length))

    async def work() -> list[int]:
        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        server = ServerStandin('s1')
        server.port = listener.sockets[0].getsockname()[1]
        async with run_gateway() as running:
            await running.store.put('servers', 's1', server.build_entry('desk'))
            # Until the gateway has read the server's entry.
            await asyncio.sleep(0.4)
            statuses = []
            for number in range(3):
                body = bytes([97 + number]) * 500_000
                answered = await running.call(
                    'uploads', '/x/', body, X_Request_Id=f'r{number}'
                )
                statuses.append(answered.status)
            return statuses

    assert run_with_time_limit(work()) == [400, 400, 400]
    assert [(set(body), len(body)) for body in bodies] == [
        ({97}, 500_000),
        ({98}, 500_000),
        ({99}, 500_000),
    ]


def test_a_request_to_an_unresponsive_server_is_answered_at_the_routes_timeout() -> None:
    server = ServerStandin('s1', _never_answer)

    async def work() -> tuple[int, bytes, float]:
        async with run_gateway(('desk', server)) as running:
            before = time.monotonic()
            answered = await running.call('bookings', body=b'x')
            return answered.status, answered.body, time.monotonic() - before

    status, body, took_s = run_with_time_limit(work())
    assert status == 504
    assert b'"ran": "unknown"' in body
    # The route's timeout is 1 s.
    assert 0.8 < took_s < 1.2


def test_a_request_that_a_server_did_not_run_is_sent_to_another_server() -> None:
    async def shed(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(encode_answer(503, X_Not_Executed='1', X_Request_Id='r1'))
        return True

    async def work() -> list[int]:
        servers = ServerStandin('s1', shed), ServerStandin('s2')
        async with run_gateway(('desk', servers[0]), ('desk', servers[1])) as running:
            return [(await running.call('bookings', body=b'x')).status for _ in range(4)]

    assert run_with_time_limit(work()) == [200] * 4


def test_a_request_that_all_servers_refuse_is_reported_as_not_run() -> None:
    async def shed(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(encode_answer(503, X_Not_Executed='1', X_Request_Id='r1'))
        return True

    async def work() -> ReceivedAnswer:
        async with run_gateway(('desk', ServerStandin('s1', shed))) as running:
            return await running.call('bookings', body=b'x')

    answered = run_with_time_limit(work())
    assert answered.status == 503
    assert b'"ran": "no"' in answered.body
    assert float(answered.headers['retry-after']) > 0


def test_a_request_is_retried_at_an_owner_that_sheds_it_with_free_slots() -> None:
    """Guards against refusing requests although the owner of their key has free slots.

    1,732 lookups with a key were refused although their owners had free slots.
    """

    async def shed_every_other(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        if len(server.received) % 2:
            request_id = request.headers['x-request-id']
            # Load report: running, waiting, slots, and the slowdown in percent.
            load = '1,0,4,100'
            writer.write(
                encode_answer(
                    503, X_Not_Executed='1', X_Request_Id=request_id, X_Upstream_Load=load
                )
            )
        else:
            writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', shed_every_other)

    async def work() -> int:
        async with run_gateway(('slots', server)) as running:
            async with asyncio.timeout(8.0):
                while not server.grant_calls:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.2)
            return (await running.call('keyed', X_Shard_Key=7)).status

    assert run_with_time_limit(work()) == 200
    assert len(server.received) == 2


def test_a_request_without_a_key_to_a_service_divided_by_key_is_refused() -> None:
    async def work() -> ReceivedAnswer:
        async with run_gateway(('slots', ServerStandin('s1'))) as running:
            return await running.call('keyed')

    assert run_with_time_limit(work()).status == 400


def test_a_busy_connection_is_closed_after_its_current_answer_when_the_daemon_stops() -> None:
    """Guards against serving connections that are never idle after the daemon was stopped.

    New requests on such connections were served until the process was killed.
    """

    async def answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.15)
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer_slowly)

    async def work() -> tuple[int, int]:
        async with run_gateway(('calendar', server), grace_s=4.0) as running:
            caller = await running.connect()
            answer_count = 0
            caller.send('lookups', X_Request_Id='r0')
            for number in range(1, 60):
                caller.send('lookups', X_Request_Id=f'r{number}')
                if number == 3:
                    running.gateway.stop()
                try:
                    answered = await caller.read_answer()
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                assert answered.status == 200
                answer_count += 1
                if answered.headers.get('connection') == 'close':
                    break
            return answer_count, len(server.received)

    answer_count, received_count = run_with_time_limit(work())
    # The daemon stops after the third request; callers may send requests until they are told.
    assert answer_count < 8
    assert received_count == answer_count, 'each request that was passed on is answered'


def test_open_requests_get_a_final_answer_at_the_end_of_the_grace_time() -> None:
    """Guards against stopping without an answer to requests that are still in progress.

    An upload to an unresponsive server got no answer when the daemon's VM stopped.
    """
    server = ServerStandin('s1', _never_answer)

    async def work() -> tuple[int, float]:
        async with run_gateway(('desk', server), grace_s=0.9) as running:
            caller = await running.connect()
            caller.send('bookings', body=b'x')
            await asyncio.sleep(0.1)
            before = time.monotonic()
            running.gateway.stop()
            return (await caller.read_answer()).status, time.monotonic() - before

    status, took_s = run_with_time_limit(work())
    assert status == 504
    assert 0.3 < took_s < 0.8


def test_connections_to_servers_use_tcp_keep_alive() -> None:
    """Guards against waiting for an answer on a connection whose other end is gone.

    Watches waited for 31 s on such connections.
    """

    async def work() -> tuple[int, int, int]:
        server = ServerStandin('s1')
        await server.start()
        pool = ConnectionPool(SystemClock(), b'')
        connection = await pool.open(Address('127.0.0.1', server.port), 1.0)
        assert connection._transport is not None
        raw_socket = connection._transport.get_extra_info('socket')
        options = (
            raw_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
            raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        )
        connection.close()
        server.stop()
        return options

    enabled, idle_s, user_timeout_ms = run_with_time_limit(work())
    assert enabled == 1
    # The other end counts as lost long before the 31 s.
    assert idle_s <= 1
    assert user_timeout_ms <= 3000


def test_datagrams_between_daemons_arrive() -> None:
    """Guards against a channel between daemons that is never opened.

    Daemons then got no messages from each other, and one after another became keeper.
    """

    async def work() -> list[Message]:
        received_messages: list[Message] = []
        receiver = await PeerChannel.open(
            Address('127.0.0.1', 0), lambda message, _sender: received_messages.append(message)
        )
        sender = await PeerChannel.open(Address('127.0.0.1', 0), lambda *_: None)
        assert receiver._transport is not None
        port = receiver._transport.get_extra_info('sockname')[1]
        async with asyncio.timeout(5.0):
            while not received_messages:
                sender.send(
                    Heartbeat('d1', 3, True, 9, {'s1': 0.5}, ['s2'], {'servers': 7}),
                    Address('127.0.0.1', port),
                )
                await asyncio.sleep(0.01)
        receiver.close()
        sender.close()
        return received_messages

    assert run_with_time_limit(work())[0] == Heartbeat(
        'd1', 3, True, 9, {'s1': 0.5}, ['s2'], {'servers': 7}
    )


def test_requests_wait_for_the_first_answer_of_a_server_with_unknown_load() -> None:
    """Guards against overloading a server whose load is still unknown.

    When all daemons sent their requests at once, the requests were refused, or timed out in
    the server's queue.
    """

    async def answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.05)
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer_slowly)

    async def work() -> list[int]:
        async with run_gateway(('calendar', server)) as running:
            # With 9 daemons, each may send only a few requests to a server of unknown load.
            running.gateway._fleet._get_known_daemon_count = lambda: 9
            calls = [running.call('lookups', f'/x/{number}') for number in range(4)]
            return [answered.status for answered in await asyncio.gather(*calls)]

    assert run_with_time_limit(work()) == [200] * 4


def test_a_waiting_booking_is_not_sent_after_its_caller_has_left() -> None:
    """Guards against sending a waiting request although its caller has left.

    Such a request was sent as soon as the server had room.
    """

    async def answer_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.1)
        writer.write(server.build_answer(request))
        return True

    server = ServerStandin('s1', answer_slowly)

    async def work() -> list[str]:
        async with run_gateway(('desk', server)) as running:
            # With 9 daemons, each may send only a few requests to a server of unknown load.
            running.gateway._fleet._get_known_daemon_count = lambda: 9
            earlier_calls = [
                asyncio.ensure_future(running.call('bookings', f'/x/{number}', b'body'))
                for number in range(2)
            ]
            await asyncio.sleep(0.03)
            caller = await running.connect()
            caller.send('bookings', '/x/left', b'body')
            await asyncio.sleep(0.03)
            caller.writer.close()
            assert [(await call).status for call in earlier_calls] == [200, 200]
            await asyncio.sleep(0.2)
            return [received.target for received in server.received]

    assert run_with_time_limit(work()) == ['/x/0', '/x/1']
