"""Task that polls peers for updates."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.inner import Message, UpdatesAnswer, UpdatesRequest
from coltsfootstair.store import VersionedObject
from coltsfootstair.updates._replica_tracker import PeerUpdate, ReplicaTracker
from coltsfootstair.updates._sources import DaemonTopology, choose_peers_to_poll

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['PeerFeed', 'PeerStreams']

ROUND_INTERVAL_S = 0.25
"""Time between two rounds of polls."""

POLL_WAIT_MS = 500
"""How long a peer may delay its answer while it has no changes."""

ANSWER_TIMEOUT_S = 1.5
"""Time after which a poll without a complete answer is dropped."""

UNRESPONSIVE_DURATION_S = 3.0
"""How long a peer that did not answer counts as unresponsive."""

CONNECT_THREAD_COUNT = 4
MS_PER_S = 1000


class UpdateStream(Protocol):
    """A stream to a peer."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the stream is closed."""


class PeerStreams(Protocol):
    """Port through which the task gets streams to peers."""

    def find_open_stream(self, peer: str) -> UpdateStream | None:
        """Return the open stream to ``peer`` if there is one; never blocks."""

    def connect(self, peer: str) -> UpdateStream | None:
        """Return a stream to ``peer``, connecting if needed; may block.

        :return: ``None`` if the peer cannot be reached
        """


class _Poll(NamedTuple):
    """A poll that waits for its answer, with the objects that have arrived.

    :param sent_at: monotonic seconds
    """

    peer: str
    sent_at: float
    objects: list[VersionedObject]


class PeerFeed:
    """Polls a few peers in each round, so that updates arrive without reading the store.

    :param get_topology: returns the known daemons
    :param find_data_centre: returns the data centre of a peer, or an empty string
    :param has_vm_list: returns whether this daemon has a list of VMs
    """

    def __init__(
        self,
        replica_tracker: ReplicaTracker,
        clock: Clock,
        streams: PeerStreams,
        get_topology: Callable[[], DaemonTopology],
        find_data_centre: Callable[[str], str],
        has_vm_list: Callable[[], bool],
    ) -> None:
        self._replica_tracker = replica_tracker
        self._clock = clock
        self._streams = streams
        self._get_topology = get_topology
        self._find_data_centre = find_data_centre
        self._has_vm_list = has_vm_list
        self._lock = threading.Lock()
        self._poll_by_number: dict[int, _Poll] = {}
        self._unresponsive_until_by_peer: dict[str, float] = {}
        self._connecting: set[str] = set()
        self._last_poll_number = 0
        self._round_number = 0
        self._executor = ThreadPoolExecutor(CONNECT_THREAD_COUNT, 'updates-connect')
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='peer-feed', daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def on_answer(self, peer: str, answer: UpdatesAnswer) -> None:
        """Apply a message of an answer; called on the hub's thread."""
        with self._lock:
            poll = self._poll_by_number.get(answer.number)
            if poll is None or poll.peer != peer:
                return
            poll.objects.extend(VersionedObject(*entry) for entry in answer.objects)
            if not answer.last:
                return
            del self._poll_by_number[answer.number]
            self._unresponsive_until_by_peer.pop(peer, None)
        # The peer cannot have received the request before it was sent, so it wrote the answer
        # at this time or later.
        written_after = poll.sent_at + answer.held_ms / MS_PER_S
        known_at = None if answer.age_ms < 0 else written_after - answer.age_ms / MS_PER_S
        self._replica_tracker.apply_peer_answer(
            PeerUpdate(
                self._find_data_centre(peer),
                poll.objects,
                answer.revision,
                known_at,
                written_after,
            )
        )

    def _run(self) -> None:
        while not self._stopping.wait(ROUND_INTERVAL_S):
            self._run_round()

    def _run_round(self) -> None:
        now = self._clock.monotonic()
        self._round_number += 1
        topology = self._get_topology()
        self._replica_tracker.data_centres_of_others = frozenset(
            topology.list_data_centres_of_others()
        )
        self._expire_polls(now)
        unresponsive = [
            peer for peer, until in self._unresponsive_until_by_peer.items() if until > now
        ]
        for peer in choose_peers_to_poll(
            topology, self._replica_tracker.age_s(), self._round_number, unresponsive
        ):
            if not self._has_pending_poll(peer):
                self.poll(peer)

    def _expire_polls(self, now: float) -> None:
        with self._lock:
            for number, poll in list(self._poll_by_number.items()):
                if now - poll.sent_at > ANSWER_TIMEOUT_S:
                    del self._poll_by_number[number]
                    self._unresponsive_until_by_peer[poll.peer] = now + UNRESPONSIVE_DURATION_S

    def _has_pending_poll(self, peer: str) -> bool:
        with self._lock:
            return any(poll.peer == peer for poll in self._poll_by_number.values())

    def poll(self, peer: str) -> None:
        """Poll one peer; does not block."""
        stream = self._streams.find_open_stream(peer)
        if stream is not None:
            self._send(peer, stream)
        elif peer not in self._connecting:
            self._connecting.add(peer)
            self._executor.submit(self._connect_and_send, peer)

    def _connect_and_send(self, peer: str) -> None:
        try:
            stream = self._streams.connect(peer)
            if stream is None:
                self._unresponsive_until_by_peer[peer] = (
                    self._clock.monotonic() + UNRESPONSIVE_DURATION_S
                )
            else:
                self._send(peer, stream)
        finally:
            self._connecting.discard(peer)

    def _send(self, peer: str, stream: UpdateStream) -> None:
        with self._lock:
            self._last_poll_number += 1
            number = self._last_poll_number
            self._poll_by_number[number] = _Poll(peer, self._clock.monotonic(), [])
        after_revision = self._replica_tracker.revision
        if not stream.send(
            UpdatesRequest(number, after_revision, POLL_WAIT_MS, not self._has_vm_list())
        ):
            with self._lock:
                self._poll_by_number.pop(number, None)
