"""Daemons report on themselves to the one that operators ask."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, NamedTuple

import structlog

from coltsfootstair.inner import Hub, Message, ReportAnswer, ReportRequest, Stream

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.store import VirtualMachine

__all__ = ['STATUS', 'TIMELINE', 'ReportDesk']

logger = structlog.get_logger()

STATUS = 'status'
TIMELINE = 'timeline'

GATHER_TIMEOUT_S = 1.5
PORTION_BYTES = 256 * 1024
THREADS = 16


class _Gathered(NamedTuple):
    daemon: str
    data: bytes


class _Asked(NamedTuple):
    daemon: str
    answers: queue.SimpleQueue[_Gathered]
    data: bytearray


class ReportDesk:
    """Asks all daemons for a report on a subject, and answers when asked.

    :param own: this daemon's name
    :param report_by_subject: writes this daemon's own reports
    """

    def __init__(
        self,
        own: str,
        clock: Clock,
        hub: Hub,
        vm_by_name: Callable[[], Mapping[str, VirtualMachine]],
        report_by_subject: Mapping[str, Callable[[], bytes]],
    ) -> None:
        self._own = own
        self._clock = clock
        self._hub = hub
        self._vm_by_name = vm_by_name
        self._report_by_subject = report_by_subject
        self._lock = threading.Lock()
        self._asked_by_number: dict[int, _Asked] = {}
        self._number = 0
        self._executor = ThreadPoolExecutor(THREADS, 'reports')

    def stop(self) -> None:
        """Take no more work."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def gather(self, subject: str) -> dict[str, bytes]:
        """Return the reports by daemon, of all that answer in time."""
        answers: queue.SimpleQueue[_Gathered] = queue.SimpleQueue()
        machines = [vm for vm in self._vm_by_name().values() if vm.name != self._own]
        for machine in machines:
            self._executor.submit(self._ask, machine, subject, answers)
        data_by_daemon = {self._own: self._report_by_subject[subject]()}
        give_up = self._clock.monotonic() + GATHER_TIMEOUT_S
        while len(data_by_daemon) <= len(machines):
            try:
                left_s = max(0.0, give_up - self._clock.monotonic())
                gathered = answers.get(timeout=left_s)
            except queue.Empty:
                break
            data_by_daemon[gathered.daemon] = gathered.data
        self._forget(answers)
        return data_by_daemon

    def requested(self, stream: Stream, message: Message) -> None:
        """Answer a request, on a thread of its own."""
        if isinstance(message, ReportRequest) and message.subject in self._report_by_subject:
            self._executor.submit(self._answer, stream, message)

    def answered(self, stream: Stream, message: Message) -> None:
        """Take a portion of an answer, on the hub's thread."""
        if not isinstance(message, ReportAnswer):
            return
        with self._lock:
            asked = self._asked_by_number.get(message.number)
            if asked is None or asked.daemon != stream.peer:
                return
            asked.data.extend(message.data)
            if message.last:
                del self._asked_by_number[message.number]
        if message.last:
            asked.answers.put(_Gathered(asked.daemon, bytes(asked.data)))

    def _ask(
        self, machine: VirtualMachine, subject: str, answers: queue.SimpleQueue[_Gathered]
    ) -> None:
        stream = self._hub.stream_to(machine.name, machine.inner)
        if stream is None:
            return
        with self._lock:
            self._number += 1
            number = self._number
            self._asked_by_number[number] = _Asked(machine.name, answers, bytearray())
        stream.send(ReportRequest(number, subject))

    def _forget(self, answers: queue.SimpleQueue[_Gathered]) -> None:
        with self._lock:
            for number, asked in list(self._asked_by_number.items()):
                if asked.answers is answers:
                    del self._asked_by_number[number]

    def _answer(self, stream: Stream, request: ReportRequest) -> None:
        try:
            data = self._report_by_subject[request.subject]()
        except Exception:
            logger.exception('report failed', subject=request.subject)
            return
        for portion, last in _portions(data):
            stream.send(ReportAnswer(request.number, portion, last))


def _portions(data: bytes) -> Iterable[tuple[bytes, bool]]:
    for start in range(0, max(len(data), 1), PORTION_BYTES):
        end = start + PORTION_BYTES
        yield data[start:end], end >= len(data)
