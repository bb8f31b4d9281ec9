"""Collects the reports of all daemons for the one that operators have connected to."""

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

__all__ = ['STATUS', 'TIMELINE', 'ReportService']

logger = structlog.get_logger()

STATUS = 'status'
TIMELINE = 'timeline'

REPORT_TIMEOUT_S = 1.5
"""How long the reports of the other daemons are awaited, in seconds."""

MAX_PART_BYTES = 256 * 1024
"""Most bytes of a report in one message; a frame may have ``MAX_FRAME_BYTES`` at most."""

REPORT_THREAD_COUNT = 16
"""Most requests for reports that are sent or answered at once."""


class _Report(NamedTuple):
    """The complete report of one daemon."""

    daemon: str
    data: bytes


class _PendingRequest(NamedTuple):
    """A request whose report has not arrived completely.

    :param reports: where the complete report is to be put
    :param data: the part that has arrived
    """

    daemon: str
    reports: queue.SimpleQueue[_Report]
    data: bytearray


class ReportService:
    """Requests reports on a subject from all daemons, and answers such requests.

    :param own_name: the name of this daemon
    :param vm_by_name: returns the VMs of all daemons
    :param report_by_subject: returns this daemon's own report on each subject
    """

    def __init__(
        self,
        own_name: str,
        clock: Clock,
        hub: Hub,
        vm_by_name: Callable[[], Mapping[str, VirtualMachine]],
        report_by_subject: Mapping[str, Callable[[], bytes]],
    ) -> None:
        self._own_name = own_name
        self._clock = clock
        self._hub = hub
        self._vm_by_name = vm_by_name
        self._report_by_subject = report_by_subject
        self._lock = threading.Lock()
        self._pending_by_number: dict[int, _PendingRequest] = {}
        self._last_number = 0
        self._executor = ThreadPoolExecutor(REPORT_THREAD_COUNT, 'reports')

    def stop(self) -> None:
        """Stop sending requests and reports."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def gather(self, subject: str) -> dict[str, bytes]:
        """Return the reports by daemon, of all daemons that answer in time."""
        reports: queue.SimpleQueue[_Report] = queue.SimpleQueue()
        other_vms = [vm for vm in self._vm_by_name().values() if vm.name != self._own_name]
        for vm in other_vms:
            self._executor.submit(self._send_request, vm, subject, reports)
        data_by_daemon = {self._own_name: self._report_by_subject[subject]()}
        deadline = self._clock.monotonic() + REPORT_TIMEOUT_S
        while len(data_by_daemon) <= len(other_vms):
            try:
                remaining_s = max(0.0, deadline - self._clock.monotonic())
                report = reports.get(timeout=remaining_s)
            except queue.Empty:
                break
            data_by_daemon[report.daemon] = report.data
        self._discard_pending(reports)
        return data_by_daemon

    def on_request(self, stream: Stream, message: Message) -> None:
        """Answer a request for a report, on a thread of the executor."""
        if isinstance(message, ReportRequest) and message.subject in self._report_by_subject:
            self._executor.submit(self._send_report, stream, message)

    def on_answer(self, stream: Stream, message: Message) -> None:
        """Collect a part of a report; called on the hub's thread."""
        if not isinstance(message, ReportAnswer):
            return
        with self._lock:
            pending = self._pending_by_number.get(message.number)
            if pending is None or pending.daemon != stream.peer:
                return
            pending.data.extend(message.data)
            if message.last:
                del self._pending_by_number[message.number]
        if message.last:
            pending.reports.put(_Report(pending.daemon, bytes(pending.data)))

    def _send_request(
        self, vm: VirtualMachine, subject: str, reports: queue.SimpleQueue[_Report]
    ) -> None:
        stream = self._hub.get_or_connect(vm.name, vm.inner_address)
        if stream is None:
            return
        with self._lock:
            self._last_number += 1
            number = self._last_number
            self._pending_by_number[number] = _PendingRequest(vm.name, reports, bytearray())
        stream.send(ReportRequest(number, subject))

    def _discard_pending(self, reports: queue.SimpleQueue[_Report]) -> None:
        with self._lock:
            for number, pending in list(self._pending_by_number.items()):
                if pending.reports is reports:
                    del self._pending_by_number[number]

    def _send_report(self, stream: Stream, request: ReportRequest) -> None:
        try:
            data = self._report_by_subject[request.subject]()
        except Exception:
            logger.exception('writing a report failed', subject=request.subject)
            return
        for part, last in _split_into_parts(data):
            stream.send(ReportAnswer(request.number, part, last))


def _split_into_parts(data: bytes) -> Iterable[tuple[bytes, bool]]:
    for start in range(0, max(len(data), 1), MAX_PART_BYTES):
        end = start + MAX_PART_BYTES
        yield data[start:end], end >= len(data)
