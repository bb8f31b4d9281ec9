"""Which answer belongs to a request, if a server writes earlier ones once more."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.http1 import Address, Answer, BrokenExchangeError, ConnectionPool, Headers
from tests.http1.played import ID_HEADER, PlayedConnection, encode

T = TypeVar('T')

REFUSAL = 'X-Not-Executed: 1'
STATUSES = [200, 400, 408, 421, 429, 500, 503]
ARRIVAL_S = 0.05


def _run(work: Coroutine[Any, Any, T]) -> T:
    async def run_work() -> T:
        async with asyncio.timeout(5.0):
            return await work

    return asyncio.run(run_work())


async def _refuse_one(played: PlayedConnection, request_id: str | None = 'r0') -> None:
    """Send a request that is refused, so that its refusal may come once more."""
    first = await played.start('r0')
    played.receive(encode(503, request_id, b'', REFUSAL))
    assert (await first).status == 503


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('method', ['GET', 'POST', 'HEAD'])
def test_an_answer_without_an_id_on_a_used_connection_is_not_believed(
    status: int, method: str
) -> None:
    """A repeated refusal was taken for the answer to a request that ran."""

    async def work() -> None:
        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1', method)
        played.receive(encode(status, None, b'', REFUSAL))
        await asyncio.sleep(0)
        assert not second.done()
        played.end()
        with pytest.raises(BrokenExchangeError) as raised:
            await second
        assert raised.value.sent

    _run(work())


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('repeated_id', [None, 'r0'])
@pytest.mark.parametrize('is_behind', [False, True])
@pytest.mark.parametrize('is_one_segment', [False, True])
def test_the_true_answer_is_found_beside_a_repeated_one(
    status: int, repeated_id: str | None, is_behind: bool, is_one_segment: bool
) -> None:
    """A repeated refusal without an id was taken for the answer."""

    async def work() -> None:
        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1')
        answers = [encode(status, repeated_id, b'', REFUSAL), encode(200, 'r1', b'true')]
        if is_behind:
            answers.reverse()
        played.receive(*([b''.join(answers)] if is_one_segment else answers))
        answer = await second
        assert (answer.status, answer.body) == (200, b'true')
        await asyncio.sleep(0)
        assert not played.connection.is_open

    _run(work())


def test_a_server_that_returns_no_id_is_not_waited_for_until_the_deadline() -> None:
    async def work() -> float:
        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1')
        played.receive(encode(503, None, b'', REFUSAL))
        began_at = time.monotonic()
        with pytest.raises(BrokenExchangeError, match='without the id') as raised:
            await second
        assert raised.value.sent
        assert not played.connection.is_open
        return time.monotonic() - began_at

    assert 0.4 < _run(work()) < 1.0


def test_a_repeated_answer_that_ends_with_the_connection_is_none_to_a_later_request() -> None:
    async def work() -> None:
        for request_id in (b'', b'X-Request-Id: r0\r\n'):
            played = PlayedConnection()
            await _refuse_one(played)
            second = await played.start('r1')
            played.receive(
                b'HTTP/1.1 503 Busy\r\n' + request_id + b'X-Not-Executed: 1\r\n\r\n'
            )
            played.end()
            with pytest.raises(BrokenExchangeError):
                await second

    _run(work())


@pytest.mark.parametrize('request_id', ['r0', None])
def test_a_first_answer_is_believed_without_an_id_and_is_the_last(
    request_id: str | None,
) -> None:
    """A repeat of it could not be told from the answer to the next request."""

    async def work() -> None:
        played = PlayedConnection()
        first = await played.start(request_id)
        played.receive(encode(400, None, b'no', REFUSAL))
        assert (await first).status == 400
        assert not played.connection.is_open

    _run(work())


def test_a_connection_on_which_another_answer_came_first_is_a_used_one() -> None:
    async def work() -> None:
        played = PlayedConnection()
        first = await played.start('r0')
        played.receive(encode(200, 'other'), encode(503, None, b'', REFUSAL))
        played.receive(encode(200, 'r0', b'true'))
        assert (await first).body == b'true'

    _run(work())


def test_repeated_interim_answers_change_nothing() -> None:
    async def work() -> None:
        played = PlayedConnection()
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        for number in range(3):
            task = await played.start(f'r{number}')
            played.receive(interim * 2, encode(200, f'r{number}', b'%d' % number))
            assert (await task).body == b'%d' % number
        assert played.connection.is_open
        played.receive(interim)
        assert not played.connection.is_open

    _run(work())


def test_an_id_with_blanks_around_it_is_the_same_id() -> None:
    """The answer was ignored, and its request timed out."""

    async def work() -> Answer:
        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1')
        played.receive(encode(200, ' r1 \t', b'true'))
        return await second

    assert _run(work()).body == b'true'


def test_heads_are_told_apart_by_whose_answer_they_begin() -> None:
    async def work() -> list[tuple[int, bool]]:
        heads: list[tuple[int, bool]] = []

        def on_head(status: int, _headers: Headers, is_own: bool) -> None:
            heads.append((status, is_own))

        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1', on_head=on_head)
        played.receive(encode(503, 'r0'), encode(429, None), encode(200, 'r1'))
        await second
        played.receive(encode(421, 'r1'))
        return heads

    assert _run(work()) == [(503, False), (429, False), (200, True)]


class _Server:
    """Refuses all requests, with their ids."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                request_id = head.split(b'X-Request-Id: ')[1].split(b'\r\n')[0].decode()
                writer.write(encode(503, request_id, b'', REFUSAL))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return  # The connection or the test has ended.
        finally:
            writer.transport.abort()

    def send(self, extra: bytes) -> None:
        for writer in self._writers:
            writer.write(extra)

    def close(self) -> None:
        for writer in self._writers:
            writer.close()


async def _open_pool(server: _Server) -> tuple[ConnectionPool, Address, asyncio.Server]:
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    address = Address(*listener.sockets[0].getsockname()[:2])
    return ConnectionPool(SystemClock(), ID_HEADER), address, listener


async def _refuse_over(pool: ConnectionPool, address: Address, request_id: bytes) -> None:
    connection = pool.take_idle(address, unless_refused_id=request_id)
    connection = connection or await pool.open(address, 1.0)
    headers = [(b'X-Request-Id', request_id)]
    line = b'GET /x HTTP/1.1'
    answer = await connection.exchange(line, headers, b'', expected_id=request_id)
    assert answer.status == 503
    connection.record_refusal()
    pool.release(connection)


@pytest.mark.parametrize('extra', [encode(503, None, b'', REFUSAL), b'', b'\r\n'])
def test_a_connection_with_unread_bytes_or_an_unread_end_is_not_used(extra: bytes) -> None:
    """A repeated refusal that had arrived but was not read answered the next request."""

    async def work() -> bool:
        server = _Server()
        pool, address, listener = await _open_pool(server)
        await _refuse_over(pool, address, b'r0')
        if extra:
            server.send(extra)
        else:
            server.close()
        await asyncio.sleep(0)
        # What has arrived is not read while the event loop does not run.
        time.sleep(ARRIVAL_S)
        found = pool.take_idle(address)
        server.close()
        await asyncio.sleep(0)
        listener.close()
        return found is not None

    assert not _run(work())


def test_an_id_is_not_used_again_on_a_connection_that_has_refused_it() -> None:
    """Its first refusal, written once more, would bear the right id."""

    async def work() -> tuple[list[bool], int]:
        server = _Server()
        pool, address, listener = await _open_pool(server)
        for request_id in (b'r0', b'r1', b'r0', b'r1', b'r2', b'r0'):
            await _refuse_over(pool, address, request_id)
        found = [
            pool.take_idle(address, unless_refused_id=request_id) is not None
            for request_id in (b'r0', b'r0', b'r2', b'r3')
        ]
        listener.close()
        return found, pool.opened_count

    found, opened_count = _run(work())
    # Of three connections two have refused r1, one r2, and all r0.
    assert opened_count == 3
    assert found == [False, False, True, True]


def test_a_connection_that_refuses_on_and_on_is_closed_at_last() -> None:
    """It would keep the ids of all that it has refused."""

    async def work() -> int:
        server = _Server()
        pool, address, listener = await _open_pool(server)
        for number in range(200):
            await _refuse_over(pool, address, b'r%d' % number)
        listener.close()
        return pool.opened_count

    assert 2 <= _run(work()) <= 5


def test_an_answer_that_crosses_a_request_without_ids_is_not_believed() -> None:
    """A server that returns no ids can't answer what its kernel has not got yet."""

    async def work() -> tuple[int, bool]:
        got_first, has_ended = asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(encode(200, None))
            # Nothing is read, so that most of the next request does not arrive.
            reader_transport = writer.transport
            assert isinstance(reader_transport, asyncio.Transport)
            reader_transport.pause_reading()
            await got_first.wait()
            await asyncio.sleep(ARRIVAL_S)
            writer.write(encode(200, None))
            await has_ended.wait()
            writer.transport.abort()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*listener.sockets[0].getsockname()[:2])
        pool = ConnectionPool(SystemClock(), b'')
        connection = await pool.open(address, 1.0)
        status = (await connection.exchange(b'GET /x HTTP/1.1', [], b'')).status
        got_first.set()
        body = b'x' * 32_000_000
        with pytest.raises(BrokenExchangeError, match='before the request') as raised:
            await connection.exchange(b'PUT /x HTTP/1.1', [], body)
        has_ended.set()
        await asyncio.sleep(0)
        listener.close()
        return status, raised.value.sent

    assert _run(work()) == (200, True)


@pytest.mark.parametrize('order', list(itertools.permutations(['true', 'id', 'no id'])))
def test_any_order_of_repeats_and_the_true_answer(order: tuple[str, ...]) -> None:
    async def work() -> Answer:
        played = PlayedConnection()
        await _refuse_one(played)
        second = await played.start('r1')
        parts = {
            'true': encode(200, 'r1', b'true'),
            'id': encode(421, 'r0', b'', REFUSAL),
            'no id': encode(421, None, b'', REFUSAL),
        }
        played.receive(b''.join(parts[name] for name in order))
        return await second

    assert _run(work()).body == b'true'
