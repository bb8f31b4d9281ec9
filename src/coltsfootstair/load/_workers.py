"""The threads of a load: each sends requests over connections of its own."""

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

__all__ = ['ArrivalWorker', 'Crew', 'Surroundings']

LOOKUP_TIMEOUT_MS = 2_000
BOOKING_TIMEOUT_MS = 5_000
GIVE_UP_S = 5.0
"""How long overdue a request is still sent, in seconds."""

MAX_RESENDS = 2
PORTION_BYTES = 32 * 1024
CREW_PAUSE_S = 0.2
_UNSURE = (ResultCode.OUTCOME_UNKNOWN, ResultCode.ANSWER_INCOMPLETE)


class Surroundings(NamedTuple):
    """What the threads of one load share.

    :param daemons: returns the addresses that the balancer chooses from
    :param stopping: set when nothing more is to be sent
    :param report: takes what became of a request, from any thread
    """

    daemons: Callable[[], list[str]]
    clock: Clock
    stopping: threading.Event
    report: Callable[[Sample], None]


class _Sender:
    """Sends one request at a time to daemons chosen at random."""

    def __init__(self, surroundings: Surroundings, seed: str) -> None:
        self.source = random.Random(seed)
        self.clock = surroundings.clock
        self._surroundings = surroundings
        self._caller = Caller(surroundings.clock)

    def close(self) -> None:
        self._caller.close()

    def send(self, request: Request, own: Callable[[Answer], bool], due_at: float) -> Sample:
        """Send a request, once; nothing was sent where no connection could be made."""
        daemons = self._surroundings.daemons()
        self.source.shuffle(daemons)
        daemon = next((each for each in daemons if self._caller.connect(each)), '')
        answer = self._caller.send(daemon, request) if daemon else Answer(Outcome.NO_ANSWER)
        outcome = answer.outcome
        if outcome is Outcome.COMPLETE and not (answer.key == request.key and own(answer)):
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
            daemon,
            answer.served_by,
        )
        self._surroundings.report(sample)
        return sample

    def give_up(self, arrival: Arrival, due_at: float) -> None:
        """Report a request that is too long overdue to be sent."""
        late_s = self.clock.monotonic() - due_at
        place = (arrival.service, arrival.key, arrival.operation_id, '', due_at, late_s)
        self._surroundings.report(Sample(*place, Outcome.UNSENT, NO_RESULT, '', ''))


class ArrivalWorker:
    """Takes the next arrival of a list that several threads share."""

    def __init__(
        self,
        surroundings: Surroundings,
        name: str,
        due: Iterator[Arrival],
        lock: threading.Lock,
    ) -> None:
        self._sender = _Sender(surroundings, name)
        self._stopping = surroundings.stopping
        self._due = due
        self._lock = lock

    def run(self, started_at: float) -> None:
        """Send until no arrival is left."""
        while (arrival := self._next()) is not None:
            due_at = started_at + arrival.at
            # What is overdue is sent all the same, or a slow system would be asked less.
            wait_s = due_at - self._sender.clock.monotonic()
            if wait_s > 0 and self._stopping.wait(wait_s):
                break
            if wait_s < -GIVE_UP_S:
                self._sender.give_up(arrival, due_at)
            else:
                self._send(arrival, due_at)
        self._sender.close()

    def _next(self) -> Arrival | None:
        with self._lock:
            return next(self._due, None)

    def _send(self, arrival: Arrival, due_at: float) -> None:
        _, service, key, operation_id, body = arrival
        timeout_ms = BOOKING_TIMEOUT_MS if operation_id else LOOKUP_TIMEOUT_MS
        request = Request(service, key, operation_id, body, len(body), timeout_ms)
        for _ in range(1 + MAX_RESENDS):
            sample = self._sender.send(request, lambda answer: answer.body == body, due_at)
            lost = sample.outcome in (Outcome.NO_ANSWER, Outcome.TRUNCATED)
            if not operation_id or not (lost or sample.result in _UNSURE):
                return
            due_at = self._sender.clock.monotonic()


class Crew:
    """Uploads one body after the other, slowly."""

    def __init__(self, surroundings: Surroundings, name: str, load: UploadLoad) -> None:
        self._sender = _Sender(surroundings, name)
        self._stopping = surroundings.stopping
        self._name = name
        self._load = load

    def run(self, started_at: float) -> None:
        """Upload until stopped; an upload that has begun is finished."""
        for number in itertools.count():
            if self._stopping.wait(CREW_PAUSE_S * self._sender.source.random()):
                break
            self._upload(f'{self._name} {number}'.replace(' ', '-'))
        self._sender.close()

    def _upload(self, name: str) -> None:
        load = self._load
        body = _SlowBody(name, load, self._sender.clock)
        request = Request(load.service, name, '', body, load.size_bytes)
        self._sender.send(request, body.is_answered_by, self._sender.clock.monotonic())


class _SlowBody:
    """A body that is made while it is sent, at a bounded rate."""

    def __init__(self, name: str, load: UploadLoad, clock: Clock) -> None:
        self._portion = hashlib.sha256(name.encode()).digest() * (PORTION_BYTES // 32)
        self._load = load
        self._clock = clock
        self._digest = hashlib.sha256()
        self._pause = threading.Event()

    def __iter__(self) -> Iterator[bytes]:
        began_at = self._clock.monotonic()
        sent = 0
        while sent < self._load.size_bytes:
            ahead_s = sent / self._load.bytes_per_s - (self._clock.monotonic() - began_at)
            self._pause.wait(max(0.0, ahead_s))
            portion = self._portion[: self._load.size_bytes - sent]
            self._digest.update(portion)
            sent += len(portion)
            yield portion

    def is_answered_by(self, answer: Answer) -> bool:
        """Tell whether the answer speaks of exactly this body."""
        expected = {'bytes': self._load.size_bytes, 'sha256': self._digest.hexdigest()}
        try:
            return bool(json.loads(answer.body) == expected)
        except ValueError:
            return False
