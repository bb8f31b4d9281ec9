"""Worker threads of a load; each has its own connections."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
import threading
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.clock import Clock
from coltsfootstair.load._caller import Answer, Caller, Request
from coltsfootstair.load._samples import NO_RESULT, Outcome, Sample
from coltsfootstair.results import ResultCode

if TYPE_CHECKING:
    from coltsfootstair.load._arrivals import Arrival
    from coltsfootstair.load._loads import UploadLoad

__all__ = ['ArrivalWorker', 'UploadWorker', 'WorkerContext']

LOOKUP_TIMEOUT_MS = 2_000
"""Timeout that callers ask for with a lookup, in milliseconds."""

BOOKING_TIMEOUT_MS = 5_000
"""Timeout that callers ask for with a booking, in milliseconds."""

MAX_LATENESS_S = 5.0
"""A request that is overdue by more than this is not sent, in seconds."""

MAX_RETRIES = 2
"""How often a booking is sent again while its outcome is not known."""

CHUNK_BYTES = 32 * 1024
"""Bytes of an upload that are sent at a time."""

MAX_UPLOAD_PAUSE_S = 0.2
"""Longest pause of a caller before its next upload, in seconds."""

_OUTCOME_UNKNOWN_CODES = (ResultCode.OUTCOME_UNKNOWN, ResultCode.ANSWER_INCOMPLETE)
"""Result codes that leave open whether the request ran."""


class WorkerContext(NamedTuple):
    """What the worker threads share.

    :param list_addresses: returns the addresses for callers of the daemons that may be used
    :param stopping: set when no further requests are to be sent
    :param report_sample: called with the sample of each request, from any thread
    """

    list_addresses: Callable[[], list[str]]
    clock: Clock
    stopping: threading.Event
    report_sample: Callable[[Sample], None]


class _Sender:
    """Sends one request at a time, each to a daemon chosen at random."""

    def __init__(self, context: WorkerContext, seed: str) -> None:
        self.random = random.Random(seed)
        self.clock = context.clock
        self._context = context
        self._caller = Caller(context.clock)

    def close(self) -> None:
        self._caller.close()

    def send(
        self, request: Request, matches: Callable[[Answer], bool], due_at: float
    ) -> Sample:
        """Send a request once, and report its sample.

        If no daemon accepts a connection, nothing is sent and the outcome is ``NO_ANSWER``.

        :param matches: whether a complete answer belongs to this request
        """
        addresses = self._context.list_addresses()
        self.random.shuffle(addresses)
        address = next((each for each in addresses if self._caller.connect(each)), '')
        answer = self._caller.send(address, request) if address else Answer(Outcome.NO_ANSWER)
        outcome = answer.outcome
        if outcome is Outcome.COMPLETE and not (answer.key == request.key and matches(answer)):
            outcome = Outcome.MISMATCHED
        sample = Sample(
            request.service,
            request.key,
            request.operation_id,
            answer.request_id,
            due_at,
            self.clock.monotonic() - due_at,
            outcome,
            answer.result,
            answer.ran,
            address,
            answer.served_by,
        )
        self._context.report_sample(sample)
        return sample

    def report_unsent(self, arrival: Arrival, due_at: float) -> None:
        """Report a request that is not sent because it is too long overdue."""
        lateness_s = self.clock.monotonic() - due_at
        fields = (arrival.service, arrival.key, arrival.operation_id, '', due_at, lateness_s)
        self._context.report_sample(Sample(*fields, Outcome.UNSENT, NO_RESULT, '', ''))


class ArrivalWorker:
    """Sends the next requests of a schedule that several threads share.

    :param name: seeds the choice of daemons
    :param lock: guards ``arrivals``
    """

    def __init__(
        self,
        context: WorkerContext,
        name: str,
        arrivals: Iterator[Arrival],
        lock: threading.Lock,
    ) -> None:
        self._sender = _Sender(context, name)
        self._stopping = context.stopping
        self._arrivals = arrivals
        self._lock = lock

    def run(self, started_at: float) -> None:
        """Send requests until the schedule is finished or the load is stopped."""
        while (arrival := self._next()) is not None:
            due_at = started_at + arrival.offset_s
            # Overdue requests are sent too; otherwise a slow system would get a lower load.
            wait_s = due_at - self._sender.clock.monotonic()
            if wait_s > 0 and self._stopping.wait(wait_s):
                break
            if wait_s < -MAX_LATENESS_S:
                self._sender.report_unsent(arrival, due_at)
            else:
                self._send(arrival, due_at)
        self._sender.close()

    def _next(self) -> Arrival | None:
        with self._lock:
            return next(self._arrivals, None)

    def _send(self, arrival: Arrival, due_at: float) -> None:
        _, service, key, operation_id, body = arrival
        timeout_ms = BOOKING_TIMEOUT_MS if operation_id else LOOKUP_TIMEOUT_MS
        request = Request(service, key, operation_id, body, len(body), timeout_ms)
        for _ in range(1 + MAX_RETRIES):
            sample = self._sender.send(request, lambda answer: answer.body == body, due_at)
            is_unanswered = sample.outcome in (Outcome.NO_ANSWER, Outcome.TRUNCATED)
            if not operation_id or not (
                is_unanswered or sample.result in _OUTCOME_UNKNOWN_CODES
            ):
                return
            due_at = self._sender.clock.monotonic()


class UploadWorker:
    """Uploads one body after another, slowly.

    :param name: seeds the choice of daemons and prefixes the names of the bodies
    """

    def __init__(self, context: WorkerContext, name: str, load: UploadLoad) -> None:
        self._sender = _Sender(context, name)
        self._stopping = context.stopping
        self._name = name
        self._load = load

    def run(self, started_at: float) -> None:
        """Upload until the load is stopped; an upload that has started is finished."""
        for number in itertools.count():
            if self._stopping.wait(MAX_UPLOAD_PAUSE_S * self._sender.random.random()):
                break
            self._upload(f'{self._name} {number}'.replace(' ', '-'))
        self._sender.close()

    def _upload(self, name: str) -> None:
        load = self._load
        body = _RateLimitedBody(name, load, self._sender.clock)
        request = Request(load.service, name, '', body, load.size_bytes)
        self._sender.send(request, body.is_confirmed_by, self._sender.clock.monotonic())


class _RateLimitedBody:
    """A body that is generated while it is sent, at a limited rate."""

    def __init__(self, name: str, load: UploadLoad, clock: Clock) -> None:
        # A digest has 32 bytes, so whole digests fill a chunk.
        self._chunk = hashlib.sha256(name.encode()).digest() * (CHUNK_BYTES // 32)
        self._load = load
        self._clock = clock
        self._digest = hashlib.sha256()
        # Never set: only waited for, to sleep.
        self._pause = threading.Event()

    def __iter__(self) -> Iterator[bytes]:
        started_at = self._clock.monotonic()
        sent = 0
        while sent < self._load.size_bytes:
            ahead_s = sent / self._load.bytes_per_s - (self._clock.monotonic() - started_at)
            self._pause.wait(max(0.0, ahead_s))
            chunk = self._chunk[: self._load.size_bytes - sent]
            self._digest.update(chunk)
            sent += len(chunk)
            yield chunk

    def is_confirmed_by(self, answer: Answer) -> bool:
        """Check whether the answer has the length and the digest of this body."""
        expected = {'bytes': self._load.size_bytes, 'sha256': self._digest.hexdigest()}
        try:
            return bool(json.loads(answer.body) == expected)
        except ValueError:
            return False
