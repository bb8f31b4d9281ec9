"""Task that answers polls of peers for updates."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.inner import Message, UpdatesAnswer, UpdatesRequest, VmListing

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock
    from coltsfootstair.store import VersionedObject, VirtualMachine
    from coltsfootstair.updates._replica_tracker import ReplicaTracker

__all__ = ['UpdatePublisher']

MAX_MESSAGE_OBJECT_BYTES = 256 * 1024
"""Most bytes of keys and values in one message of an answer; a larger object is sent alone."""

MAX_ANSWER_DELAY_MS = 1000
"""Upper bound of the delay that a request may ask for."""

MS_PER_S = 1000


class UpdateStream(Protocol):
    """The stream on which a request arrived."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the stream is closed."""


class _PendingRequest(NamedTuple):
    """A request that has not been answered.

    :param received_at: monotonic seconds
    :param answer_at: monotonic seconds at which it is answered at the latest
    """

    stream: UpdateStream
    request: UpdatesRequest
    received_at: float
    answer_at: float


class UpdatePublisher:
    """Answers a request when there are changes for it, or when its delay has passed.

    :param get_vm_by_name: returns the listed VMs by name
    """

    def __init__(
        self,
        replica_tracker: ReplicaTracker,
        clock: Clock,
        get_vm_by_name: Callable[[], dict[str, VirtualMachine]],
    ) -> None:
        self._replica_tracker = replica_tracker
        self._clock = clock
        self._get_vm_by_name = get_vm_by_name
        self._pending_requests: list[_PendingRequest] = []
        self._wakeup = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name='update-publisher', daemon=True)
        replica_tracker.subscribe(self._on_replica_changed)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify()

    def on_request(self, stream: UpdateStream, request: UpdatesRequest) -> None:
        """Queue a request; does not block."""
        now = self._clock.monotonic()
        delay_s = min(request.wait_ms, MAX_ANSWER_DELAY_MS) / MS_PER_S
        with self._wakeup:
            self._pending_requests.append(_PendingRequest(stream, request, now, now + delay_s))
            self._wakeup.notify()

    def _on_replica_changed(self) -> None:
        with self._wakeup:
            self._wakeup.notify()

    def answer_due_requests(self) -> int:
        """Answer the requests that are due; return how many they were."""
        with self._wakeup:
            due = self._remove_due_requests()
        for pending in due:
            self._answer(pending)
        return len(due)

    def _run(self) -> None:
        while not self._stopping:
            if self.answer_due_requests():
                continue
            with self._wakeup:
                if not self._stopping and not self._is_any_due():
                    self._wakeup.wait(self._get_wait_s())

    def _is_any_due(self) -> bool:
        now = self._clock.monotonic()
        revision = self._replica_tracker.revision
        return any(_is_due(pending, now, revision) for pending in self._pending_requests)

    def _remove_due_requests(self) -> list[_PendingRequest]:
        now = self._clock.monotonic()
        revision = self._replica_tracker.revision
        due = [
            pending for pending in self._pending_requests if _is_due(pending, now, revision)
        ]
        self._pending_requests = [
            pending
            for pending in self._pending_requests
            if not _is_due(pending, now, revision)
        ]
        return due

    def _get_wait_s(self) -> float | None:
        """Return the time until a request must be answered; ``None`` if there is none."""
        if not self._pending_requests:
            return None
        return max(
            0.0,
            min(pending.answer_at for pending in self._pending_requests)
            - self._clock.monotonic(),
        )

    def _answer(self, pending: _PendingRequest) -> None:
        if pending.request.vm_list_wanted:
            rows = [
                (vm.name, vm.data_centre, vm.inner_address, vm.leaving)
                for vm in self._get_vm_by_name().values()
            ]
            pending.stream.send(VmListing(rows))
        objects, revision = self._replica_tracker.find_changes_after(
            pending.request.after_revision
        )
        chunks = list(_split_objects(objects)) or [[]]
        for number, chunk in enumerate(chunks, start=1):
            answer = self._build_answer(pending, chunk, revision, last=number == len(chunks))
            pending.stream.send(answer)

    def _build_answer(
        self,
        pending: _PendingRequest,
        objects: list[VersionedObject],
        revision: int,
        *,
        last: bool,
    ) -> UpdatesAnswer:
        age_s = self._replica_tracker.age_s()
        held_s = self._clock.monotonic() - pending.received_at
        # held_ms is rounded down and age_ms up, so that the receiver never takes the revision
        # for newer than it is.
        return UpdatesAnswer(
            pending.request.number,
            [(item.key, item.version, item.value) for item in objects],
            revision,
            int(held_s * MS_PER_S),
            -1 if age_s == float('inf') else int(age_s * MS_PER_S) + 1,
            last,
        )


def _is_due(pending: _PendingRequest, now: float, revision: int) -> bool:
    return pending.answer_at <= now or pending.request.after_revision < revision


def _split_objects(objects: list[VersionedObject]) -> Iterator[list[VersionedObject]]:
    chunk: list[VersionedObject] = []
    chunk_bytes = 0
    for item in objects:
        if chunk and chunk_bytes + len(item.value) > MAX_MESSAGE_OBJECT_BYTES:
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(item)
        chunk_bytes += len(item.value) + len(item.key)
    if chunk:
        yield chunk
