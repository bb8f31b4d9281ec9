"""Tests of the archive of crashes in the store."""

from __future__ import annotations

import asyncio
import itertools
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from tests import virtual_time

from coltsfootstair.clock import ManualClock
from coltsfootstair.crashes import SuspectArchive, SuspectRequests, Verdict
from coltsfootstair.crashes._archive import (
    FIRST_READ_WAIT_S,
    LIFT_CHECK_INTERVAL_S,
    MAX_ARCHIVED,
    decode_archive,
    encode_archive,
)
from coltsfootstair.errors import StoreConflictError, StoreUnavailableError
from coltsfootstair.objects import StoredObject, UnreadableValue, compose_revision
from coltsfootstair.peers import CrashReport, SuspectStatement

REQUEST = (b'content', b'caller')
NOW = datetime(2026, 1, 1, tzinfo=UTC)


class LoopClock:
    """Virtual time, also as calendar time."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime:
        return NOW + timedelta(seconds=self.monotonic())


class OneObjectStore:
    """A store with one object, whose contents are lists of what is known."""

    def __init__(self) -> None:
        self.item: StoredObject | None = None
        self.era = 0
        self.is_away = False
        self.answers_late = False
        self.calls: list[str] = []
        self._revision = 0

    async def _call(self, name: str) -> None:
        self.calls.append(name)
        await asyncio.sleep(30.0 if self.answers_late else 0.004)
        if self.is_away:
            raise StoreUnavailableError('away')

    async def get(self, _kind: str, _name: str) -> StoredObject | None:
        await self._call('get')
        return self.item

    async def create(self, _kind: str, name: str, value: Any) -> StoredObject:
        return await self._write(name, value, 0)

    async def replace(
        self, _kind: str, name: str, value: Any, *, expected_revision: int
    ) -> StoredObject:
        return await self._write(name, value, expected_revision)

    async def _write(self, name: str, value: Any, expected_revision: int) -> StoredObject:
        await self._call('write')
        if (self.item.revision if self.item else 0) != expected_revision:
            raise StoreConflictError(name)
        self._revision += 1
        self.item = StoredObject(name, compose_revision(self.era, self._revision), value)
        return self.item

    def come_back_from(self, copy: StoredObject | None) -> None:
        """Come back from an older copy, in a new era."""
        self.era += 1
        self.item = copy


class Daemon:
    """What one daemon knows, with its archive."""

    def __init__(self, store: Any, *, is_keeper: bool = False) -> None:
        self.is_keeper = is_keeper
        self.clock = LoopClock()
        self.suspects = SuspectRequests(self.clock)
        self.archive = SuspectArchive(store, self.suspects, self.clock, lambda: self.is_keeper)
        self.task = asyncio.create_task(self.archive.run())

    async def crash(
        self, server: str, request: tuple[bytes, bytes] = REQUEST, *, is_trial: bool = False
    ) -> None:
        sent_at = self.clock.monotonic()
        await asyncio.sleep(0.1)
        now = self.clock.monotonic()
        self.suspects.record_crash(request, (server, 1), sent_at, now, is_trial=is_trial)

    async def convict(self) -> None:
        for server in ('s1', 's2', 's3'):
            await self.crash(server)
        await self.crash('s4', is_trial=True)


def _count_archived(store: OneObjectStore) -> list[int]:
    """Return the number of crashes of each archived suspect."""
    assert store.item is not None
    statements = decode_archive(store.item.value, NOW).statements
    return [len(statement.crashes) for statement in statements]


def test_each_crash_is_archived_soon_and_known_to_the_next_daemons() -> None:
    """Guards against crashes that are counted from zero after a loss of all processes."""

    async def play() -> list[tuple[list[int], Verdict]]:
        store = OneObjectStore()
        seen = []
        for server in ('s1', 's2', 's3', 's4'):
            keeper = Daemon(store, is_keeper=True)
            await keeper.archive.wait_for_first_read()
            await keeper.crash(server, is_trial=server == 's4')
            await asyncio.sleep(0.1)
            keeper.task.cancel()
            after = Daemon(store)
            await after.archive.wait_for_first_read()
            seen.append((_count_archived(store), after.suspects.judge(REQUEST)))
        return seen

    assert virtual_time.run(play()) == [
        ([1, 1], Verdict.FREE),
        ([2, 2], Verdict.FREE),
        ([3, 3], Verdict.HELD),
        ([4, 4], Verdict.CONVICTED),
    ]


def test_a_run_to_the_end_clears_a_request_in_the_archive_too() -> None:
    async def play() -> tuple[list[int], Verdict]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        for server in ('s1', 's2', 's3'):
            await keeper.crash(server)
        await asyncio.sleep(1.0)
        keeper.suspects.record_run(REQUEST)
        await asyncio.sleep(1.0)
        after = Daemon(store)
        await after.archive.wait_for_first_read()
        return _count_archived(store), after.suspects.judge(REQUEST)

    assert virtual_time.run(play()) == ([], Verdict.FREE)


def test_time_passes_for_what_is_archived() -> None:
    async def play() -> float:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        await keeper.convict()
        await asyncio.sleep(1.0)
        keeper.task.cancel()
        before_s = keeper.suspects.get_conviction_left_s(REQUEST)
        await asyncio.sleep(600.0)
        after = Daemon(store)
        await after.archive.wait_for_first_read()
        return before_s - after.suspects.get_conviction_left_s(REQUEST)

    assert virtual_time.run(play()) == pytest.approx(600.0, abs=0.1)


def test_only_the_keeper_writes_and_many_bystanders_cost_few_calls() -> None:
    """Guards against calls of the store that grow with the requests of a lost data centre."""

    async def play() -> tuple[list[str], list[str], int]:
        other_store, store = OneObjectStore(), OneObjectStore()
        other = Daemon(other_store)
        keeper = Daemon(store, is_keeper=True)
        await asyncio.sleep(1.0)
        for number in range(400):
            request = (b'content %d' % number, b'caller %d' % number)
            for daemon in (other, keeper):
                daemon.suspects.record_crash(request, ('s1', 1), 0.0, 0.5)
            await asyncio.sleep(0.005)
        await asyncio.sleep(10.0)
        return other_store.calls, store.calls, len(_count_archived(store))

    others_calls, keepers_calls, archived_count = virtual_time.run(play())
    assert others_calls == ['get']
    assert len(keepers_calls) <= 10
    assert archived_count == MAX_ARCHIVED


def test_a_request_with_several_crashes_is_kept_before_any_number_of_bystanders() -> None:
    async def play() -> list[int]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        await keeper.crash('s1')
        await keeper.crash('s2')
        for number in range(2 * MAX_ARCHIVED):
            now = keeper.clock.monotonic()
            keeper.suspects.record_crash([b'%d' % number], ('s3', 1), now, now)
        await asyncio.sleep(2.0)
        return _count_archived(store)[:3]

    assert virtual_time.run(play()) == [2, 2, 1]


def test_a_new_keeper_adds_to_what_an_earlier_one_has_written() -> None:
    async def play() -> list[int]:
        store = OneObjectStore()
        first, second = Daemon(store, is_keeper=True), Daemon(store)
        await first.crash('s1')
        await asyncio.sleep(1.0)
        first.is_keeper, second.is_keeper = False, True
        await second.crash('s2')
        await asyncio.sleep(1.0)
        # It was suspended, and takes itself for the keeper for a moment more.
        first.is_keeper = True
        await first.crash('s3')
        await asyncio.sleep(2.0)
        return _count_archived(store)

    assert virtual_time.run(play()) == [3, 3]


def test_what_a_store_from_an_older_copy_lacks_is_written_again() -> None:
    """Guards against a drill that takes away what all daemons still know."""

    async def play() -> list[list[int]]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        await keeper.crash('s1')
        await asyncio.sleep(1.0)
        copy = store.item
        await keeper.convict()
        await asyncio.sleep(1.0)
        archived = []
        for earlier in (copy, None):
            store.come_back_from(earlier)
            await asyncio.sleep(2.0)
            archived.append(_count_archived(store))
        return archived

    assert virtual_time.run(play()) == [[4, 4], [4, 4]]


def test_a_daemon_that_starts_without_the_store_serves_soon_and_reads_later() -> None:
    """Guards against a start that waits for a store that is away or hangs."""

    async def play() -> tuple[list[float], Verdict]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        await keeper.convict()
        await asyncio.sleep(1.0)
        waits_s = []
        for fault in ('is_away', 'answers_late'):
            setattr(store, fault, True)
            daemon = Daemon(store)
            began_at = daemon.clock.monotonic()
            await daemon.archive.wait_for_first_read()
            waits_s.append(daemon.clock.monotonic() - began_at)
            setattr(store, fault, False)
        await asyncio.sleep(40.0)
        return waits_s, daemon.suspects.judge(REQUEST)

    waits_s, verdict = virtual_time.run(play())
    assert max(waits_s) <= FIRST_READ_WAIT_S + 0.01
    assert verdict is Verdict.CONVICTED


@pytest.mark.parametrize('lifted_count', [1, 2])
def test_operators_lift_a_verdict_by_a_mark_in_its_entries(lifted_count: int) -> None:
    """Guards against a wrong verdict that outlives all daemons and all patience."""

    async def play() -> tuple[list[int], Verdict, Verdict]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        await keeper.convict()
        await asyncio.sleep(1.0)
        assert store.item is not None
        for entry in store.item.value['suspects'][:lifted_count]:
            entry['is-lifted'] = True
        await asyncio.sleep(LIFT_CHECK_INTERVAL_S + 1.0)
        after = Daemon(store)
        await after.archive.wait_for_first_read()
        return (
            _count_archived(store),
            keeper.suspects.judge(REQUEST),
            after.suspects.judge(REQUEST),
        )

    # A request has an entry for its content, and one with its caller.
    archived, *verdicts = virtual_time.run(play())
    assert archived == [4] * (2 - lifted_count)
    assert set(verdicts) == {Verdict.FREE if lifted_count == 2 else Verdict.CONVICTED}


def test_the_archive_is_read_again_only_while_there_are_verdicts() -> None:
    async def play() -> list[int]:
        store = OneObjectStore()
        keeper = Daemon(store, is_keeper=True)
        counts = []
        for convicts in (False, True):
            if convicts:
                await keeper.convict()
            else:
                await keeper.crash('s0')
            await asyncio.sleep(5.0)
            before = len(store.calls)
            await asyncio.sleep(60.0)
            counts.append(len(store.calls) - before)
        return counts

    without, with_verdicts = virtual_time.run(play())
    assert without == 0
    assert 10 <= with_verdicts <= 60.0 / LIFT_CHECK_INTERVAL_S + 1


GOOD = {
    'fingerprint': 'aa',
    'crashes': [
        {'server': 's1', 'started-ms': 1, 'sent-age-s': 2.0, 'ended-age-s': 1.0, 'later': 1}
    ],
}


def _alter(**fields: Any) -> dict[str, Any]:
    return GOOD | {'crashes': [GOOD['crashes'][0] | fields]}  # type: ignore[operator]


@pytest.mark.parametrize(
    'odd',
    [
        None,
        [],
        'text',
        {},
        GOOD | {'fingerprint': 'not hex'},
        GOOD | {'fingerprint': ''},
        GOOD | {'fingerprint': 'aa' * 100},
        GOOD | {'crashes': {}},
        _alter(server=7),
        _alter(server='s' * 1000),
        _alter(**{'started-ms': 2**60}),
        _alter(**{'sent-age-s': 0.5}),
        _alter(**{'ended-age-s': -1.0}),
        _alter(**{'sent-age-s': 1e300}),
    ],
)
def test_an_odd_entry_of_the_archive_is_left_out_alone(odd: Any) -> None:
    """Guards against an entry of another version that keeps a daemon from starting."""
    value = {'written-at': NOW.isoformat(), 'suspects': [odd, GOOD], 'later': {}}
    statements = decode_archive(value, NOW).statements
    assert [statement.fingerprint for statement in statements] == [b'\xaa']


@pytest.mark.parametrize(
    'value', [None, 7, [], {}, {'suspects': 7}, UnreadableValue('it is no JSON')]
)
def test_an_odd_archive_counts_as_empty(value: Any) -> None:
    assert decode_archive(value, NOW) == ([], [])


@pytest.mark.parametrize('written_at', [None, 7, 'noon', '2026-01-02T00:00:00+00:00'])
def test_an_archive_of_an_odd_time_is_as_old_as_it_says_itself(written_at: Any) -> None:
    archive = decode_archive({'written-at': written_at, 'suspects': [GOOD]}, NOW)
    [statement] = archive.statements
    assert statement.crashes[0].ended_age_s == 1.0


def test_the_archive_holds_digests_names_and_times_alone() -> None:
    """Guards against content of requests in the store."""
    statement = SuspectStatement(b'\xaa', [CrashReport(('s1', 1), 2.0, 1.0, True)], 3.0)
    assert encode_archive([statement], NOW) == {
        'written-at': '2026-01-01T00:00:00+00:00',
        'suspects': [
            {
                'fingerprint': 'aa',
                'is-lifted': False,
                'crashes': [
                    {
                        'server': 's1',
                        'started-ms': 1,
                        'sent-age-s': 2.0,
                        'ended-age-s': 1.0,
                        'is-trial': True,
                    }
                ],
            }
        ],
    }


def test_an_archive_survives_encoding() -> None:
    clock = ManualClock()
    suspects = SuspectRequests(clock)
    numbers = itertools.count()
    for _ in range(3):
        at = clock.monotonic()
        clock.advance(0.1)
        suspects.record_crash(REQUEST, (f's{next(numbers)}', 1), at, clock.monotonic())
    statements = suspects.list_crashes(10)
    assert decode_archive(encode_archive(statements, NOW), NOW) == (statements, [])
