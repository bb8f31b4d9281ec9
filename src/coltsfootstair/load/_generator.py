"""Runs the loads of several services at the same time."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

from coltsfootstair.load._arrivals import generate_arrivals
from coltsfootstair.load._loads import BookingLoad, Load, LookupLoad, UploadLoad
from coltsfootstair.load._workers import ArrivalWorker, UploadWorker, WorkerContext

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.load._samples import Sample

__all__ = ['LoadGenerator']

WORKERS_PER_LOAD = 48
"""Maximum number of requests of one load that wait for an answer at a time."""


class LoadGenerator:
    """Sends the requests of some loads for a limited time.

    :param list_addresses: returns the addresses for callers of the daemons that may be used
    :param duration_s: how long requests are sent, in seconds
    :param seed: determines the schedules and the keys
    """

    def __init__(
        self,
        list_addresses: Callable[[], list[str]],
        loads: Sequence[Load],
        duration_s: float,
        seed: int,
        clock: Clock,
    ) -> None:
        self._duration_s = duration_s
        self._seed = seed
        self._clock = clock
        self._stopping = threading.Event()
        self._samples: list[Sample] = []
        self._context = WorkerContext(
            list_addresses, clock, self._stopping, self._samples.append
        )
        self._workers = [worker for load in loads for worker in self._create_workers(load)]
        self._executor = ThreadPoolExecutor(len(self._workers), 'load')
        self._futures: list[Future[None]] = []
        self._timer = threading.Timer(duration_s, self._stopping.set)
        self._timer.daemon = True

    def start(self) -> None:
        """Start sending requests."""
        started_at = self._clock.monotonic()
        self._futures = [
            self._executor.submit(worker.run, started_at) for worker in self._workers
        ]
        self._timer.start()

    def stop(self) -> None:
        """Send no further requests."""
        self._timer.cancel()
        self._stopping.set()

    def join(self) -> list[Sample]:
        """Wait until the load has ended; return a sample of each request."""
        for future in self._futures:
            future.result()
        self._executor.shutdown()
        self._timer.cancel()
        return self.get_samples()

    def get_samples(self) -> list[Sample]:
        """Return the samples of the requests that have ended so far."""
        return list(self._samples)

    def _create_workers(self, load: Load) -> list[ArrivalWorker | UploadWorker]:
        match load:
            case LookupLoad() | BookingLoad():
                arrivals = iter(generate_arrivals(load, self._duration_s, self._seed))
                lock = threading.Lock()
                return [
                    ArrivalWorker(self._context, f'{load.service} {n}', arrivals, lock)
                    for n in range(WORKERS_PER_LOAD)
                ]
            case UploadLoad():
                return [
                    UploadWorker(self._context, f'{load.service} {n}', load)
                    for n in range(load.uploader_count)
                ]
