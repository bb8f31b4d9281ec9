"""Plays the callers of several services at once."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

from coltsfootstair.load._arrivals import generate_arrivals
from coltsfootstair.load._loads import BookingLoad, Load, LookupLoad, UploadLoad
from coltsfootstair.load._workers import ArrivalWorker, Crew, Surroundings

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.load._samples import Sample

__all__ = ['LoadGenerator']

WORKERS_PER_LOAD = 48
"""Requests of one load that may be without an answer at a time."""


class LoadGenerator:
    """Plays the callers of some loads for some seconds.

    :param daemons: returns the callers' addresses that the balancer chooses from
    """

    def __init__(
        self,
        daemons: Callable[[], list[str]],
        loads: Sequence[Load],
        seconds: float,
        seed: int,
        clock: Clock,
    ) -> None:
        self._seconds = seconds
        self._seed = seed
        self._clock = clock
        self._stopping = threading.Event()
        self._samples: list[Sample] = []
        self._surroundings = Surroundings(daemons, clock, self._stopping, self._samples.append)
        self._workers = [worker for load in loads for worker in self._workers_of(load)]
        self._executor = ThreadPoolExecutor(len(self._workers), 'load')
        self._running: list[Future[None]] = []
        self._timer = threading.Timer(seconds, self._stopping.set)
        self._timer.daemon = True

    def start(self) -> None:
        """Begin to send."""
        started_at = self._clock.monotonic()
        self._running = [
            self._executor.submit(worker.run, started_at) for worker in self._workers
        ]
        self._timer.start()

    def stop(self) -> None:
        """Send nothing more."""
        self._timer.cancel()
        self._stopping.set()

    def join(self) -> list[Sample]:
        """Wait until the load has ended; return what became of each request."""
        for worker in self._running:
            worker.result()
        self._executor.shutdown()
        self._timer.cancel()
        return self.get_samples()

    def get_samples(self) -> list[Sample]:
        """Return what became of each request so far."""
        return list(self._samples)

    def _workers_of(self, load: Load) -> list[ArrivalWorker | Crew]:
        match load:
            case LookupLoad() | BookingLoad():
                due = iter(generate_arrivals(load, self._seconds, self._seed))
                lock = threading.Lock()
                return [
                    ArrivalWorker(self._surroundings, f'{load.service} {n}', due, lock)
                    for n in range(WORKERS_PER_LOAD)
                ]
            case UploadLoad():
                return [
                    Crew(self._surroundings, f'{load.service} {n}', load)
                    for n in range(load.uploader_count)
                ]
