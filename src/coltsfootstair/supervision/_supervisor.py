"""Starts long-lived tasks again when they end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from coltsfootstair.clock import Clock
    from coltsfootstair.supervision._failures import FailureLog

__all__ = ['RestartPolicy', 'SupervisedTask', 'Supervisor']

logger = structlog.get_logger()


class RestartPolicy(NamedTuple):
    """When a task that ends is started again, and when it counts as down.

    :param first_delay_s: delay after the first failure, in seconds; doubles with each further
        one
    :param max_delay_s: longest delay, in seconds
    :param recovered_after_s: time for which a task must run until it works again, in seconds
    :param max_failure_count: failures in a row up to which a task does not count as down
    :param give_up_after_s: time after which the daemon gives up an essential task that is
        down, in seconds
    :param min_uptime_s: time for which the daemon must have run before it gives up a task, in
        seconds. A fault that a restart doesn't mend ends a daemon only so often.
    """

    first_delay_s: float = 0.1
    max_delay_s: float = 5.0
    recovered_after_s: float = 3.0
    max_failure_count: int = 3
    give_up_after_s: float = 30.0
    min_uptime_s: float = 600.0


DEFAULT_POLICY = RestartPolicy()


class SupervisedTask:
    """Runs one piece of work again and again, since it must not end.

    :param run: begins the work; it may be called again whenever it has ended
    :param on_ended: called after each end that was not wanted; brings the state that an
        unfinished step left behind into order
    :param is_wanted: returns whether the work should still go on
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        clock: Clock,
        failures: FailureLog,
        on_ended: Callable[[SupervisedTask], None] = lambda _task: None,
        is_wanted: Callable[[], bool] = lambda: True,
        policy: RestartPolicy = DEFAULT_POLICY,
    ) -> None:
        self.name = name
        self.has_worked = False
        self._run = run
        self._clock = clock
        self._failures = failures
        self._on_ended = on_ended
        self._is_wanted = is_wanted
        self._policy = policy
        self._failure_count = 0
        self._failing_since: float | None = None

    @property
    def is_down(self) -> bool:
        """Whether the work has failed too often in a row."""
        return self._failure_count > self._policy.max_failure_count

    @property
    def failing_s(self) -> float:
        """Time since the first failure of those in a row, in seconds; 0 if it works."""
        if self._failing_since is None:
            return 0.0
        return self._clock.monotonic() - self._failing_since

    async def run(self) -> None:
        """Do the work until cancelled, or until it ends when it is not wanted any more."""
        while True:
            timer = asyncio.get_running_loop().call_later(
                self._policy.recovered_after_s, self._on_recovered
            )
            error: BaseException | None = None
            try:
                await self._run()
            except asyncio.CancelledError as cancelled:
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
                # The work awaited something that others have cancelled.
                error = cancelled
            except Exception as raised:
                error = raised
            finally:
                timer.cancel()
            if not self._is_wanted():
                if error is not None:
                    self._failures.record(self.name, error)
                return
            self._handle_end(error)
            await asyncio.sleep(
                min(
                    self._policy.max_delay_s,
                    self._policy.first_delay_s * 2.0 ** min(30, self._failure_count - 1),
                )
            )

    def _handle_end(self, error: BaseException | None) -> None:
        self._failure_count += 1
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
        self._failures.record(self.name, error)
        if self._failure_count == self._policy.max_failure_count + 1:
            logger.error('task down', task=self.name, failing_s=round(self.failing_s, 2))
        try:
            self._on_ended(self)
        except Exception as raised:
            self._failures.record(self.name, raised)

    def _on_recovered(self) -> None:
        self.has_worked = True
        if self._failing_since is not None:
            logger.info('task works again', task=self.name, failing_s=round(self.failing_s, 2))
        self._failure_count = 0
        self._failing_since = None


class Supervisor:
    """Runs the long-lived tasks of a daemon.

    :param on_given_up: called once, with the name of an essential task that stays down
    """

    def __init__(
        self,
        clock: Clock,
        failures: FailureLog,
        on_given_up: Callable[[str], None],
        policy: RestartPolicy = DEFAULT_POLICY,
    ) -> None:
        self._clock = clock
        self._failures = failures
        self._on_given_up = on_given_up
        self._policy = policy
        self._started_at = clock.monotonic()
        self._has_given_up = False
        self._essential: list[SupervisedTask] = []
        self._supervised: list[SupervisedTask] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        *,
        is_essential: bool,
        on_ended: Callable[[], None] = lambda: None,
    ) -> None:
        """Start long-lived work.

        :param is_essential: whether the daemon must not be ready while the work is down
        :param on_ended: called after each end of the work, before it is started again
        """

        def handle_end(task: SupervisedTask) -> None:
            on_ended()
            if is_essential:
                self._consider_giving_up(task)

        supervised = SupervisedTask(
            name, run, self._clock, self._failures, handle_end, policy=self._policy
        )
        self._supervised.append(supervised)
        if is_essential:
            self._essential.append(supervised)
        self.spawn(name, supervised.run())

    def spawn(self, name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start work that ends by itself; record its exception if it has one."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda ended: self._failures.record_end(name, ended))
        return task

    def list_down(self) -> list[str]:
        """Return the names of the tasks that are down."""
        return [task.name for task in self._supervised if task.is_down]

    @property
    def is_essential_down(self) -> bool:
        """Whether an essential task is down."""
        return any(task.is_down for task in self._essential)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _consider_giving_up(self, task: SupervisedTask) -> None:
        uptime_s = self._clock.monotonic() - self._started_at
        if (
            self._has_given_up
            or not task.is_down
            or task.failing_s < self._policy.give_up_after_s
            or uptime_s < self._policy.min_uptime_s
        ):
            return
        self._has_given_up = True
        logger.error(
            'daemon ends since a task stays down',
            task=task.name,
            failing_s=round(task.failing_s, 2),
        )
        self._on_given_up(task.name)
