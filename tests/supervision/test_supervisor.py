"""Tests of tasks that end although they must not."""

from __future__ import annotations

import asyncio
import itertools

import pytest
import structlog.testing
from tests.virtual_time import LoopClock, run

from coltsfootstair.supervision import FailureLog, RestartPolicy, Supervisor


class Failing:
    """Work that fails a number of times and then goes on."""

    def __init__(self, failure_count: int, error: BaseException | None) -> None:
        self.left = failure_count
        self.error = error
        self.started_at: list[float] = []

    async def run(self) -> None:
        self.started_at.append(asyncio.get_running_loop().time())
        if self.left:
            self.left -= 1
            if self.error is not None:
                raise self.error
            return
        await asyncio.Event().wait()


class Watched:
    """A supervisor with one task, and what became of it."""

    def __init__(self, work: Failing, *, is_essential: bool = True) -> None:
        self.counted: list[str] = []
        self.given_up: list[str] = []
        self.recovered_count = 0
        self.supervisor = Supervisor(
            LoopClock(),
            FailureLog(self.counted.append),
            self.given_up.append,
            RestartPolicy(give_up_after_s=10.0, min_uptime_s=60.0),
        )
        self.supervisor.start(
            'work', work.run, is_essential=is_essential, on_ended=self._recover
        )

    def _recover(self) -> None:
        self.recovered_count += 1


@pytest.mark.parametrize(
    'error', [None, ValueError('odd'), asyncio.CancelledError(), RecursionError()]
)
def test_a_task_that_ends_is_started_again_after_its_state_was_mended(
    error: BaseException | None,
) -> None:
    async def scenario() -> None:
        work = Failing(1, error)
        watched = Watched(work)
        await asyncio.sleep(10.0)
        assert len(work.started_at) == 2
        assert watched.recovered_count == 1
        assert watched.counted == ['work']
        assert not watched.supervisor.is_essential_down

    run(scenario())


def test_a_task_that_always_fails_does_not_spin() -> None:
    async def scenario() -> list[float]:
        work = Failing(1000, ValueError())
        Watched(work)
        await asyncio.sleep(60.0)
        return work.started_at

    started_at = run(scenario())
    delays = [after - before for before, after in itertools.pairwise(started_at)]
    assert delays[:4] == pytest.approx([0.1, 0.2, 0.4, 0.8])
    assert max(delays) == pytest.approx(5.0)


def test_an_essential_task_that_fails_in_a_row_is_down_until_it_has_run_for_a_while() -> None:
    async def scenario() -> list[bool]:
        work = Failing(6, ValueError())
        supervisor = Watched(work).supervisor
        down = []
        for _ in range(16):
            await asyncio.sleep(0.5)
            down.append(supervisor.is_essential_down)
        assert len(work.started_at) == 7
        return down

    down = run(scenario())
    # Four failures within 0.7 s; the last of six after 3.1 s, restarted at 6.3 s.
    assert down == [False, *[True] * 15]


def test_a_task_that_works_again_is_no_longer_down() -> None:
    async def scenario() -> tuple[bool, bool]:
        supervisor = Watched(Failing(4, ValueError())).supervisor
        await asyncio.sleep(1.0)
        before = supervisor.is_essential_down
        await asyncio.sleep(4.0)
        return before, supervisor.is_essential_down

    assert run(scenario()) == (True, False)


@pytest.mark.parametrize(('is_essential', 'given_up'), [(True, ['work']), (False, [])])
def test_an_essential_task_that_stays_down_is_given_up_once(
    *, is_essential: bool, given_up: list[str]
) -> None:
    async def scenario() -> list[str]:
        watched = Watched(Failing(1000, ValueError()), is_essential=is_essential)
        await asyncio.sleep(50.0)
        assert watched.given_up == [], 'a restart would come too soon after the start'
        await asyncio.sleep(50.0)
        assert watched.supervisor.is_essential_down == is_essential
        return watched.given_up

    assert run(scenario()) == given_up


def test_state_that_can_not_be_mended_does_not_end_the_supervision() -> None:
    async def scenario() -> int:
        work = Failing(3, ValueError())
        supervisor = Supervisor(LoopClock(), FailureLog(), lambda _name: None)

        def raise_error() -> None:
            raise KeyError

        supervisor.start('work', work.run, is_essential=True, on_ended=raise_error)
        await asyncio.sleep(5.0)
        return len(work.started_at)

    assert run(scenario()) == 4


def test_a_cancelled_supervisor_starts_nothing_again() -> None:
    async def scenario() -> list[float]:
        work = Failing(0, None)
        watched = Watched(work)
        await asyncio.sleep(1.0)
        watched.supervisor.cancel()
        await asyncio.sleep(60.0)
        assert watched.counted == []
        return work.started_at

    assert len(run(scenario())) == 1


def test_each_cause_is_logged_once_and_all_failures_are_counted() -> None:
    counted: list[str] = []
    failures = FailureLog(counted.append)

    def fail(error: Exception) -> None:
        try:
            raise error
        except Exception as raised:
            failures.record('work', raised, service='lookups')

    with structlog.testing.capture_logs() as lines:
        for _ in range(5):
            fail(ValueError('a'))
            fail(KeyError('b'))
    assert [line['reason'] for line in lines] == ["ValueError('a')", "KeyError('b')"]
    assert lines[0]['service'] == 'lookups'
    assert lines[0]['frames'][-1].startswith('test_supervisor.py:')
    assert len(counted) == 10


def test_a_failure_that_can_not_be_described_is_recorded() -> None:
    class OddError(Exception):
        def __repr__(self) -> str:
            raise ValueError('no text')

    with structlog.testing.capture_logs() as lines:
        FailureLog().record('work', OddError())
    assert lines[0]['reason'] == 'OddError'


def test_an_exception_in_a_callback_of_the_event_loop_is_counted() -> None:
    counted: list[str] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(FailureLog(counted.append).handle_loop_exception)
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0.1)

    run(scenario())
    assert counted == ['callback']
