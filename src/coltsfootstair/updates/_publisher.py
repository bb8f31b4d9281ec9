"""The task that answers peers who ask for updates."""

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

PORTION_BYTES = 256 * 1024
MAX_WAIT_MS = 1000
MS_PER_S = 1000


class Asker(Protocol):
    """The stream on which a request came."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the stream is closed."""


class _Parked(NamedTuple):
    asker: Asker
    request: UpdatesRequest
    came_at: float
    answer_at: float


class UpdatePublisher:
    """Answers at once if there is updates, and otherwise when there is, or time is up."""

    def __init__(
        self,
        replica_tracker: ReplicaTracker,
        clock: Clock,
        vm_by_name: Callable[[], dict[str, VirtualMachine]],
    ) -> None:
        self._replica_tracker = replica_tracker
        self._clock = clock
        self._vm_by_name = vm_by_name
        self._parked: list[_Parked] = []
        self._wake = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name='update-publisher', daemon=True)
        replica_tracker.subscribe(self._changed)

    def start(self) -> None:
        """Begin to answer."""
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        with self._wake:
            self._stopping = True
            self._wake.notify()

    def on_request(self, asker: Asker, request: UpdatesRequest) -> None:
        """Take a request; does not block."""
        now = self._clock.monotonic()
        wait_s = min(request.wait_ms, MAX_WAIT_MS) / MS_PER_S
        with self._wake:
            self._parked.append(_Parked(asker, request, now, now + wait_s))
            self._wake.notify()

    def _changed(self) -> None:
        with self._wake:
            self._wake.notify()

    def answer_due_requests(self) -> int:
        """Answer those whose time has come; return how many."""
        with self._wake:
            due = self._take_due()
        for parked in due:
            self._answer(parked)
        return len(due)

    def _run(self) -> None:
        while not self._stopping:
            if self.answer_due_requests():
                continue
            with self._wake:
                if not self._stopping and not self._is_any_due():
                    self._wake.wait(self._pause_s())

    def _is_any_due(self) -> bool:
        now = self._clock.monotonic()
        revision = self._replica_tracker.revision
        return any(_is_due(parked, now, revision) for parked in self._parked)

    def _take_due(self) -> list[_Parked]:
        now = self._clock.monotonic()
        revision = self._replica_tracker.revision
        due = [parked for parked in self._parked if _is_due(parked, now, revision)]
        self._parked = [one for one in self._parked if not _is_due(one, now, revision)]
        return due

    def _pause_s(self) -> float | None:
        if not self._parked:
            return None
        return max(0.0, min(one.answer_at for one in self._parked) - self._clock.monotonic())

    def _answer(self, parked: _Parked) -> None:
        if parked.request.vm_list_wanted:
            rows = [
                (vm.name, vm.data_centre, vm.inner_address, vm.leaving)
                for vm in self._vm_by_name().values()
            ]
            parked.asker.send(VmListing(rows))
        objects, revision = self._replica_tracker.find_changes_after(
            parked.request.after_revision
        )
        portions = list(_portions(objects)) or [[]]
        for number, portion in enumerate(portions, start=1):
            answer = self._portion(parked, portion, revision, last=number == len(portions))
            parked.asker.send(answer)

    def _portion(
        self, parked: _Parked, objects: list[VersionedObject], revision: int, *, last: bool
    ) -> UpdatesAnswer:
        age_s = self._replica_tracker.age_s()
        held_s = self._clock.monotonic() - parked.came_at
        return UpdatesAnswer(
            parked.request.number,
            [(item.key, item.version, item.value) for item in objects],
            revision,
            int(held_s * MS_PER_S),
            -1 if age_s == float('inf') else int(age_s * MS_PER_S) + 1,
            last,
        )


def _is_due(parked: _Parked, now: float, revision: int) -> bool:
    return parked.answer_at <= now or parked.request.after_revision < revision


def _portions(objects: list[VersionedObject]) -> Iterator[list[VersionedObject]]:
    portion: list[VersionedObject] = []
    size = 0
    for item in objects:
        if portion and size + len(item.value) > PORTION_BYTES:
            yield portion
            portion, size = [], 0
        portion.append(item)
        size += len(item.value) + len(item.key)
    if portion:
        yield portion
