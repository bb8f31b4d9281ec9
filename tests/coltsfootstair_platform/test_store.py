"""Tests of the store client while the store comes back from older copies of itself."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from coltsfootstair.clock import SystemClock
from coltsfootstair.errors import (
    RevisionTooOldError,
    StoreConflictError,
    StoreUnavailableError,
)
from coltsfootstair.http1 import Address
from coltsfootstair.objects import era_of, number_of
from coltsfootstair_platform import HttpObjectStore
from tests.coltsfootstair_platform.standin import StoreStandin

EXTRA_AFTER_S = 0.01


class _StandinWithLostWatchAnswers(StoreStandin):
    async def _watch(self, kind: str, after: int, wait_s: float) -> dict[str, Any]:
        await asyncio.Event().wait()
        raise AssertionError


class _StandinThatAnswersTwice(StoreStandin):
    """Sends each answer once more a moment later, from a thread of its own."""

    async def _send(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        await super()._send(answer, writer)
        raw_socket = writer.get_extra_info('socket')
        duplicate = socket.socket(fileno=os.dup(raw_socket.fileno()))
        threading.Timer(EXTRA_AFTER_S, _send_and_close, (duplicate, answer)).start()


def _send_and_close(connection: socket.socket, answer: bytes) -> None:
    with connection, contextlib.suppress(OSError):
        connection.send(answer)


def _run(
    scenario: Callable[[StoreStandin, HttpObjectStore], Awaitable[None]],
    standin_type: type[StoreStandin] = StoreStandin,
) -> None:
    async def run() -> None:
        standin = standin_type()
        await standin.start()
        store = HttpObjectStore(Address('127.0.0.1', standin.port), SystemClock())
        try:
            async with asyncio.timeout(10.0):
                await scenario(standin, store)
        finally:
            standin.stop()

    asyncio.run(run())


def test_revisions_of_a_later_era_come_after_all_earlier_ones() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        standin.take_copy()
        for number in range(5):
            await standin.put('kind', f'o{number}', {})
        before = (await store.list('kind')).revision
        await standin.restore()
        after = await store.list('kind')
        assert after.revision > before
        assert number_of(after.revision) < number_of(before)
        assert (era_of(before), era_of(after.revision), store.era) == (1, 2, 2)
        assert after.objects == []

    _run(scenario)


def test_a_write_based_on_an_earlier_era_conflicts_although_its_number_exists_again() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        item = await store.create('kind', 'lease', {'holder': 'a'})
        standin.take_copy()
        await standin.restore()
        # The client does not know of the new era yet: the object is there under its number.
        with pytest.raises(StoreConflictError, match='revision of era 1, now 2'):
            await store.replace(
                'kind', 'lease', {'holder': 'b'}, expected_revision=item.revision
            )
        current = await store.get('kind', 'lease')
        assert current is not None
        with pytest.raises(StoreConflictError):
            await store.replace(
                'kind', 'lease', {'holder': 'c'}, expected_revision=item.revision
            )
        assert await store.get('kind', 'lease') == current

    _run(scenario)


def test_a_watch_from_an_earlier_era_asks_for_a_new_list() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        standin.take_copy()
        await standin.put('kind', 'o1', {})
        revision = (await store.list('kind')).revision
        watch = asyncio.create_task(store.watch('kind', revision, 5.0))
        await asyncio.sleep(0.05)
        await standin.restore()
        await standin.put('kind', 'o2', {})
        await standin.put('kind', 'o3', {})
        with pytest.raises(RevisionTooOldError):
            await watch

    _run(scenario)


def test_a_waiting_watch_of_an_earlier_era_ends_when_another_call_tells_of_a_later_one() -> (
    None
):
    """Its answer was lost, and a daemon knew no new configuration for 12 s."""

    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        await standin.put('kind', 'o', {})
        revision = (await store.list('kind')).revision
        watch = asyncio.create_task(store.watch('kind', revision, 60.0))
        await asyncio.sleep(0.1)
        standin.answered_era = 2
        await store.get('kind', 'o')
        with pytest.raises(RevisionTooOldError):
            await asyncio.wait_for(watch, 1.0)

    _run(scenario, _StandinWithLostWatchAnswers)


def test_a_late_answer_of_an_earlier_era_is_dropped() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        await standin.restore()
        await store.list('kind')
        standin.answered_era = 1
        with pytest.raises(StoreUnavailableError, match='earlier era 1'):
            await store.list('kind')
        assert store.era == 2

    _run(scenario)


def test_a_refusal_tells_the_era_too() -> None:
    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        standin.down = True
        standin.era = 7
        with pytest.raises(StoreUnavailableError):
            await store.list('kind')
        assert store.era == 7

    _run(scenario)


@pytest.mark.parametrize(('pause_s', 'blocked_s'), [(0.15, 0.0), (0.0, 0.15)])
def test_an_extra_answer_of_the_store_does_not_answer_the_next_call(
    pause_s: float, blocked_s: float
) -> None:
    """An extra answer that had arrived, but was not read yet, passed for another object.

    :param pause_s: time between the calls
    :param blocked_s: for how long nothing is read before the next call
    """

    async def scenario(standin: StoreStandin, store: HttpObjectStore) -> None:
        for name in ('a', 'b', 'c'):
            await standin.put('kind', name, {'of': name})
        for name in ('a', 'b', 'c', 'a'):
            item = await store.get('kind', name)
            assert item is not None
            assert item.value == {'of': name}
            await asyncio.sleep(pause_s)
            time.sleep(blocked_s)

    _run(scenario, _StandinThatAnswersTwice)
