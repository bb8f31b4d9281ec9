"""Tests of daemon processes that close connections whose callers read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.coltsfootstair_platform.programs import Program, run_programs
from tests.coltsfootstair_platform.standin import (
    ReceivedRequest,
    ServerStandin,
    StoreStandin,
    build_configuration,
    run_listeners,
)
from tests.gateway.harness import run_with_time_limit
from tests.slow_callers import SlowCaller

CALLER_COUNT = 6

BUSY_CALLER_COUNT = 8
"""Callers that send one request after the other, each on a new connection."""

IDLE_TIMEOUT_MS = 1500

AHEAD_COUNT = 4
"""Requests that are sent before one that is refused."""

GRACE_S = 4.0

EXIT_WITHOUT_CALLERS_S = 3.0
"""Time within which a daemon must end for which nobody waits, in seconds: that in which load
balancers send callers to others, and half a second."""


class _System(NamedTuple):
    """One daemon with its store and a backend server."""

    program: Program
    store: StoreStandin
    server: ServerStandin

    async def connect(self, bytes_per_s: float) -> SlowCaller:
        return await SlowCaller(bytes_per_s).open(self.program.callers)

    def list_lost(self, caller: SlowCaller) -> list[str]:
        """Return the ids of requests that ran and have no complete answer."""
        ran = {request.headers['x-request-id'] for request in self.server.received}
        return [each for each in caller.outstanding if each in ran]


def _build_configuration(version: int = 1, **limits: int) -> dict[str, Any]:
    """Return a configuration whose routes have time for more than any test takes."""
    configuration = build_configuration(version, **limits)
    for resource in configuration['resources']:
        if resource['resource-kind'] == 'routes':
            resource['spec'] |= {'timeout-ms': 20_000, 'target-latency-ms': 800}
    return configuration


@contextlib.asynccontextmanager
async def _run_system(folder: Path) -> AsyncIterator[_System]:
    async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        # The last part of the path is the length of the answer.
        size = int(request.target.rpartition('/')[2])
        writer.write(server.build_answer(request, bytes(size)))
        await writer.drain()
        return True

    server = ServerStandin('s1', answer)
    store = StoreStandin()
    async with run_listeners(store, server):
        await store.put(
            'config', 'main', _build_configuration(**{'idle-timeout-ms': IDLE_TIMEOUT_MS})
        )
        await store.put('servers', 's1', server.build_entry('calendar', slots=64))
        async with run_programs(1, store, folder) as (program,):
            yield _System(program, store, server)


def _play(folder: Path, play: Callable[[_System], Awaitable[None]]) -> None:
    async def work() -> None:
        async with _run_system(folder) as system:
            await play(system)
            assert system.program.failures == []

    run_with_time_limit(work())


async def _play_callers(
    system: _System,
    bytes_per_s: float,
    play: Callable[[SlowCaller], Awaitable[None]],
) -> list[str]:
    """Play callers side by side, and return the ids of the requests that were lost."""
    callers = [await system.connect(bytes_per_s) for _ in range(CALLER_COUNT)]
    try:
        await asyncio.gather(*(play(caller) for caller in callers))
        return [lost for caller in callers for lost in system.list_lost(caller)]
    finally:
        for caller in callers:
            caller.close()


@pytest.mark.parametrize(
    ('ahead_count', 'answer_bytes', 'bytes_per_s'),
    [
        (6, 90_000, 300_000),
        (2, 300_000, 300_000),
        (16, 20_000, 100_000),
        (1, 900_000, 600_000),
    ],
)
def test_a_stop_cuts_no_answers_of_callers_that_pipeline_and_read_slowly(
    ahead_count: int, answer_bytes: int, bytes_per_s: float, tmp_path: Path
) -> None:
    """Answers that had run were cut 1.5 s after SIGTERM by a reset (review 11)."""

    async def play(system: _System) -> None:
        async def stop() -> None:
            await asyncio.sleep(1.0)
            await system.program.end(signal.SIGTERM)

        async def call(caller: SlowCaller) -> None:
            await caller.call_until_closed(f'/x/{answer_bytes}', ahead_count)

        async with asyncio.TaskGroup() as group:
            group.create_task(stop())
            lost = await _play_callers(system, bytes_per_s, call)
        assert lost == []

    _play(tmp_path, play)


def test_a_stop_of_a_busy_daemon_cuts_no_answers_of_callers_that_read_slowly(
    tmp_path: Path,
) -> None:
    """Guards against answers that are cut since others take the daemon's time."""

    async def play(system: _System) -> None:
        async def make_load() -> None:
            while True:
                await system.program.call('lookups.example', '/x/10')

        async def call(caller: SlowCaller) -> None:
            await caller.call_until_closed('/x/90000', 6)

        async def stop() -> None:
            await asyncio.sleep(1.0)
            await system.program.end(signal.SIGTERM)

        load = [asyncio.create_task(make_load()) for _ in range(BUSY_CALLER_COUNT)]
        async with asyncio.TaskGroup() as group:
            group.create_task(stop())
            lost = await _play_callers(system, 300_000, call)
        for task in load:
            task.cancel()
        assert lost == []

    _play(tmp_path, play)


@pytest.mark.parametrize('sends_more', [True, False])
def test_the_idle_timeout_cuts_no_answer_that_is_being_read(
    sends_more: bool, tmp_path: Path
) -> None:
    """A connection was taken for idle while its caller still read the answer."""

    async def play(system: _System) -> None:
        async def call(caller: SlowCaller) -> None:
            await caller.send('/x/1500000')
            reading = asyncio.create_task(caller.read_answer())
            if sends_more:
                await asyncio.sleep(1.3 * IDLE_TIMEOUT_MS / 1000)
                await caller.send('/x/10')
            answer = await reading
            assert answer is not None
            assert answer.body_bytes == 1_500_000
            if sends_more:
                assert await caller.read_answer() is not None

        assert await _play_callers(system, 400_000, call) == []

    _play(tmp_path, play)


@pytest.mark.parametrize('bytes_per_s', [60_000, 300_000])
@pytest.mark.parametrize('last', ['malformed', 'too large', 'close'])
def test_a_refusal_cuts_no_answers_before_it(
    last: str, bytes_per_s: float, tmp_path: Path
) -> None:
    """Guards against a reset by requests that are sent on behind the last one."""

    async def play(system: _System) -> None:
        async def call(caller: SlowCaller) -> None:
            async def send_on() -> None:
                while await caller.send_bytes(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'):
                    await asyncio.sleep(0.2)

            for _ in range(AHEAD_COUNT):
                await caller.send('/x/60000')
            match last:
                case 'malformed':
                    await caller.send_bytes(b'\x00 no request\r\n\r\n')
                case 'too large':
                    await caller.send_bytes(
                        b'GET /x/1 HTTP/1.1\r\nHost: lookups.example\r\nA: '
                        + bytes(8000).replace(b'\0', b'a')
                        + b'\r\n\r\n'
                    )
                case _:
                    await caller.send('/x/60000', 'Connection: close')
            sending = asyncio.create_task(send_on())
            statuses = []
            while (answer := await caller.read_answer()) is not None:
                statuses.append(answer.status)
                if answer.closes_connection:
                    break
            sending.cancel()
            final = {'malformed': 400, 'too large': 431, 'close': 200}[last]
            assert statuses == [200] * AHEAD_COUNT + [final]

        assert await _play_callers(system, bytes_per_s, call) == []

    _play(tmp_path, play)


def test_the_refusal_of_an_upload_reaches_a_caller_that_reads_it_late(tmp_path: Path) -> None:
    """Refusals were lost with a reset when the caller had sent for longer than a second."""

    async def play(system: _System) -> None:
        async def call(caller: SlowCaller) -> None:
            await caller.send_bytes(
                b'POST /x/a HTTP/1.1\r\nHost: uploads.example\r\nX-Request-Id: u\r\n'
                b'Content-Length: 4000000\r\n\r\n'
            )
            for _ in range(40):
                assert await caller.send_bytes(bytes(100_000))
                await asyncio.sleep(0.1)
            answer = await caller.read_answer()
            assert answer is not None
            assert answer.status == 413

        assert await _play_callers(system, 300_000, call) == []

    _play(tmp_path, play)


def test_a_configuration_cuts_no_answers(tmp_path: Path) -> None:
    """Guards against new limits, such as a shorter idle timeout, that cut what is read."""

    async def play(system: _System) -> None:
        async def change() -> None:
            for version in range(2, 6):
                await asyncio.sleep(0.4)
                limits = {'idle-timeout-ms': 1000 // version}
                await system.store.put(
                    'config', 'main', _build_configuration(version, **limits)
                )

        async def call(caller: SlowCaller) -> None:
            for _ in range(8):
                await caller.send('/x/90000')
            for _ in range(8):
                assert await caller.read_answer() is not None

        async with asyncio.TaskGroup() as group:
            group.create_task(change())
            lost = await _play_callers(system, 300_000, call)
        assert lost == []

    _play(tmp_path, play)


async def _stop_and_measure(system: _System) -> float:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await system.program.end(signal.SIGTERM)
    return loop.time() - began_at


def test_a_stop_does_not_wait_for_callers_that_are_idle_and_never_close(
    tmp_path: Path,
) -> None:
    """Guards against daemons that end late since callers keep their connections."""

    async def play(system: _System) -> None:
        callers = [await system.connect(1e6) for _ in range(CALLER_COUNT)]
        for caller in callers:
            await caller.send('/x/10')
            assert await caller.read_answer() is not None
        assert await _stop_and_measure(system) < EXIT_WITHOUT_CALLERS_S
        for caller in callers:
            assert await caller.read_answer() is None
            caller.close()

    _play(tmp_path, play)


@pytest.mark.parametrize('sends_on', [True, False])
def test_a_stop_ends_in_time_with_callers_that_never_read(
    sends_on: bool, tmp_path: Path
) -> None:
    """Guards against daemons that wait for a delivery until they are killed."""

    async def play(system: _System) -> None:
        async def send_on(caller: SlowCaller) -> None:
            while await caller.send_bytes(
                b'GET /x/1 HTTP/1.1\r\nHost: lookups.example\r\n\r\n'
            ):
                await asyncio.sleep(0.1)

        callers = [await system.connect(1e6) for _ in range(CALLER_COUNT)]
        for caller in callers:
            for _ in range(4):
                await caller.send('/x/300000')
        await asyncio.sleep(0.5)
        async with asyncio.TaskGroup() as group:
            senders = [group.create_task(send_on(caller)) for caller in callers if sends_on]
            assert await _stop_and_measure(system) < GRACE_S
            for sender in senders:
                sender.cancel()
        for caller in callers:
            caller.close()

    _play(tmp_path, play)
