"""What reaches a backend server of grant calls that the daemon has given up."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import multiprocessing
import sys
import termios
from collections.abc import Awaitable, Callable

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import ColtsfootstairError
from coltsfootstair.http1 import Address, BrokenExchangeError
from coltsfootstair.keyspace import StaleFenceError
from coltsfootstair.registry import BackendServer, ServerState
from coltsfootstair_platform import HttpGrantClient
from tests.coltsfootstair_platform.standin import (
    Listener,
    ReceivedRequest,
    encode_answer,
    read_request,
    run_listeners,
)
from tests.held_up import (
    MAX_ACKNOWLEDGEMENT_DELAY_S,
    fill_receive_buffer,
    listen_with_small_buffer,
    receive_rest,
)

CALL_TIMEOUT_S = 0.2
FULL_FOR_S = 2 * MAX_ACKNOWLEDGEMENT_DELAY_S
RECEIVE_TIMEOUT_S = 5.0


class CutServer:
    """A backend server to which bytes on their way are held up, as by a cut of the network.

    It answers the first call, so that the connection is kept. Once ``fill_receive_buffer``
    was called, the sender's kernel must keep all further bytes until ``receive_rest``.
    """

    def __init__(self) -> None:
        self._listener = listen_with_small_buffer()
        self._listener.setblocking(False)
        self._connection = self._listener
        address = Address(*self._listener.getsockname()[:2])
        self.server = BackendServer(
            's1', 1, 'slots', address, 'north', 4, ServerState.READY, 0.0
        )

    async def answer_first_call(self) -> None:
        loop = asyncio.get_running_loop()
        self._connection, _ = await loop.sock_accept(self._listener)
        self._connection.setblocking(False)
        await loop.sock_recv(self._connection, 65536)
        await loop.sock_sendall(self._connection, encode_answer(200))

    async def wait_until_full(self) -> None:
        """Wait until the number of received bytes stays the same for a while."""
        last, count = -1, 0
        while not 0 < count == last:
            await asyncio.sleep(FULL_FOR_S)
            waiting = fcntl.ioctl(self._connection.fileno(), termios.FIONREAD, b'\0' * 4)
            last, count = count, int.from_bytes(waiting, sys.byteorder)

    async def receive_rest(self) -> tuple[bytes, bool]:
        """Return all bytes up to the end of the connection, and whether it was reset."""
        return await asyncio.to_thread(receive_rest, self._connection)

    def close(self) -> None:
        self._connection.close()
        self._listener.close()


async def _grant_into_cut(server: BackendServer, timeout_s: float) -> int | None:
    """Make a call that is answered, and one that is cut off; return its missing bytes."""
    client = HttpGrantClient(SystemClock())
    await client.grant(server, 0, 99, 2, 2.5, None, RECEIVE_TIMEOUT_S)
    fill_receive_buffer(server.address)
    with pytest.raises(BrokenExchangeError) as raised:
        await client.grant(server, 0, 99, 2, 2.5, None, timeout_s)
    return raised.value.unacknowledged_bytes


def _run_daemon(server: BackendServer) -> None:
    asyncio.run(_grant_into_cut(server, 10 * RECEIVE_TIMEOUT_S))


def test_an_extra_answer_to_a_grant_does_not_answer_the_release_after_it() -> None:
    """The keys would go to their next owner while the release is not carried out."""

    async def simulate() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            granted = await read_request(reader)
            assert granted is not None
            answer = encode_answer(200, X_Request_Id=granted.headers.get('x-request-id', ''))
            writer.write(answer)
            await read_request(reader)
            writer.write(answer)

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = Address(*listener.sockets[0].getsockname()[:2])
        server = BackendServer('s1', 1, 'slots', address, 'north', 4, ServerState.READY, 0.0)
        client = HttpGrantClient(SystemClock())
        await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        with pytest.raises(BrokenExchangeError):
            await client.release(server, 0, 9, 3, CALL_TIMEOUT_S)
        listener.close()

    asyncio.run(simulate())


def test_a_grant_call_that_was_given_up_in_a_cut_does_not_arrive_after_it() -> None:
    """Two servers held the same keys: the kernel delivered the call after the cut."""

    async def simulate() -> tuple[bytes, bool]:
        with contextlib.closing(CutServer()) as cut_server:
            answering = asyncio.create_task(cut_server.answer_first_call())
            assert await _grant_into_cut(cut_server.server, CALL_TIMEOUT_S)
            await answering
            # The cut ends some time after the call was given up.
            await asyncio.sleep(CALL_TIMEOUT_S)
            return await cut_server.receive_rest()

    received, was_reset = asyncio.run(simulate())
    assert b'/-/grant' not in received
    assert was_reset


def test_a_grant_call_of_a_killed_daemon_in_a_cut_does_not_arrive_after_it() -> None:
    """The kernel goes on sending for a process that has ended."""

    async def simulate() -> tuple[bytes, bool]:
        with contextlib.closing(CutServer()) as cut_server:
            context = multiprocessing.get_context('spawn')
            daemon = context.Process(target=_run_daemon, args=(cut_server.server,))
            daemon.start()
            await cut_server.answer_first_call()
            await cut_server.wait_until_full()
            await asyncio.sleep(CALL_TIMEOUT_S)
            daemon.kill()
            await asyncio.to_thread(daemon.join)
            return await cut_server.receive_rest()

    received, was_reset = asyncio.run(simulate())
    assert b'/-/grant' not in received
    assert was_reset


class AnsweringServer(Listener):
    """Answers all calls with one status, and says that it is leaving."""

    def __init__(self, status: int, **headers: str) -> None:
        super().__init__()
        self._status = status
        self._headers = headers

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(encode_answer(self._status, b'', Server_Leaving='1', **self._headers))
        return True


@pytest.mark.parametrize(
    ('status', 'name', 'is_leaving'),
    [
        (200, None, True),
        (409, None, True),
        (503, None, True),
        (421, None, False),
        (400, None, False),
        (200, 's1', True),
        (421, 's1', True),
        (421, 's2', False),
        (200, 's2', False),
    ],
)
@pytest.mark.parametrize('is_release', [False, True])
def test_answers_to_calls_tell_that_a_server_is_leaving(
    status: int, name: str | None, is_leaving: bool, is_release: bool
) -> None:
    """Guards against granting keys again to a server that nobody else asks anything.

    421 and 400 are the answers of another server at the address, unless it names itself.
    """

    async def simulate() -> list[tuple[str, int]]:
        leaving: list[tuple[str, int]] = []
        listener = AnsweringServer(status, **({} if name is None else {'X_Instance_Id': name}))
        async with run_listeners(listener):
            address = Address('127.0.0.1', listener.port)
            server = BackendServer(
                's1', 7, 'slots', address, 'north', 4, ServerState.READY, 0.0
            )
            client = HttpGrantClient(SystemClock())
            client.subscribe_leaving(leaving.append)
            with contextlib.suppress(ColtsfootstairError):
                if is_release:
                    await client.release(server, 0, 99, 2, RECEIVE_TIMEOUT_S)
                else:
                    await client.grant(server, 0, 99, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        return leaving

    assert asyncio.run(simulate()) == ([('s1', 7)] if is_leaving else [])


HANDOVERS = ('5c0e7a21d94b36f8', '90d1c4e2a7b35f68')


class RepeatingOwner(Listener):
    """Answers calls without ids, and writes an earlier answer once more before a true one.

    :ivar true_answer: answer to the next calls
    :ivar repeated: what is written before it
    :ivar connection_count: number of connections on which a call came
    """

    def __init__(self) -> None:
        super().__init__()
        self.true_answer = encode_answer(200)
        self.repeated = b''
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def connection_count(self) -> int:
        return len(self._connections)

    async def _serve(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._connections.add(writer)
        if self.repeated:
            writer.write(self.repeated)
            await asyncio.sleep(CALL_TIMEOUT_S / 4)
        writer.write(self.true_answer)
        return True


def _run_owner(
    scenario: Callable[[RepeatingOwner, HttpGrantClient, BackendServer], Awaitable[None]],
) -> None:
    async def run() -> None:
        owner = RepeatingOwner()
        async with run_listeners(owner):
            address = Address('127.0.0.1', owner.port)
            server = BackendServer(
                's1', 1, 'slots', address, 'north', 4, ServerState.READY, 0.0
            )
            await scenario(owner, HttpGrantClient(SystemClock()), server)

    asyncio.run(run())


@pytest.mark.parametrize(
    'repeated', [encode_answer(200), encode_answer(200, X_Handover=HANDOVERS[0])]
)
def test_a_release_is_not_answered_by_an_earlier_answer_without_an_id(repeated: bytes) -> None:
    """The keys would go to their next owner while the last one is at work on them."""

    async def scenario(
        owner: RepeatingOwner, client: HttpGrantClient, server: BackendServer
    ) -> None:
        await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        owner.true_answer = encode_answer(200, X_Handover=HANDOVERS[0])
        released = await client.release(server, 0, 4, 3, RECEIVE_TIMEOUT_S)
        assert released == HANDOVERS[0]
        owner.repeated = repeated
        owner.true_answer = encode_answer(200, X_Handover=HANDOVERS[1])
        released = await client.release(server, 5, 9, 3, RECEIVE_TIMEOUT_S)
        assert released == HANDOVERS[1]

    _run_owner(scenario)


def test_a_grant_is_not_answered_by_the_answer_to_a_release() -> None:
    async def scenario(
        owner: RepeatingOwner, client: HttpGrantClient, server: BackendServer
    ) -> None:
        owner.true_answer = encode_answer(200, X_Handover=HANDOVERS[0])
        await client.release(server, 0, 9, 3, RECEIVE_TIMEOUT_S)
        owner.repeated = owner.true_answer
        owner.true_answer = encode_answer(409)
        with pytest.raises(StaleFenceError):
            await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)

    _run_owner(scenario)


@pytest.mark.parametrize('status', [421, 400, 409, 503])
def test_an_earlier_refusal_of_a_call_does_not_answer_a_later_one(status: int) -> None:
    """Guards against a server that counts as ended for what another life was told."""

    async def scenario(
        owner: RepeatingOwner, client: HttpGrantClient, server: BackendServer
    ) -> None:
        owner.true_answer = encode_answer(status)
        with pytest.raises(ColtsfootstairError):
            await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        connection_count = owner.connection_count
        owner.true_answer = encode_answer(200)
        await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        assert owner.connection_count == connection_count + 1

    _run_owner(scenario)


def test_calls_that_are_answered_as_they_should_be_share_a_connection() -> None:
    """A busy server resets new connections, and renewals must reach it."""

    async def scenario(
        owner: RepeatingOwner, client: HttpGrantClient, server: BackendServer
    ) -> None:
        for number in range(20):
            owner.true_answer = encode_answer(200)
            await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
            owner.true_answer = encode_answer(200, X_Handover=f'h{number}')
            released = await client.release(server, 0, 9, 3, RECEIVE_TIMEOUT_S)
            assert released == f'h{number}'
        assert owner.connection_count == 1

    _run_owner(scenario)


def test_a_release_without_a_handover_is_believed_on_a_connection_of_its_own() -> None:
    """Guards against a server that hands nothing over and whose keys could never move."""

    async def scenario(
        owner: RepeatingOwner, client: HttpGrantClient, server: BackendServer
    ) -> None:
        await client.grant(server, 0, 9, 2, 2.5, None, RECEIVE_TIMEOUT_S)
        with pytest.raises(BrokenExchangeError, match='without the id'):
            await client.release(server, 0, 9, 3, RECEIVE_TIMEOUT_S)
        assert await client.release(server, 0, 9, 3, RECEIVE_TIMEOUT_S) is None

    _run_owner(scenario)
