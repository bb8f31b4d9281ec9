"""The task that asks peers for updates."""

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

ROUND_S = 0.25
WAIT_MS = 500
ANSWER_TIMEOUT_S = 1.5
FAILING_S = 3.0
"""For how long a peer that did not answer is passed over, in seconds."""

CONNECT_THREADS = 4
MS_PER_S = 1000


class UpdateStream(Protocol):
    """A stream to a peer."""

    def send(self, message: Message) -> bool:
        """Send a message; false if the stream is closed."""


class PeerStreams(Protocol):
    """The ways to the peers."""

    def find_open_stream(self, peer: str) -> UpdateStream | None:
        """Return the open stream to ``peer`` if there is one; never blocks."""

    def connect(self, peer: str) -> UpdateStream | None:
        """Return a stream to ``peer``; may block for a while."""


class _Asked(NamedTuple):
    peer: str
    at: float
    objects: list[VersionedObject]


class PeerFeed:
    """Keeps asking a few peers, so that updates comes without reading the store.

    :param neighbours: what is known of the other daemons
    :param data_centre_of: the data centre of a peer, or an empty string
    :param vms_known: whether this daemon has a list of VMs
    """

    def __init__(
        self,
        replica_tracker: ReplicaTracker,
        clock: Clock,
        streams: PeerStreams,
        topology: Callable[[], DaemonTopology],
        data_centre_of: Callable[[str], str],
        vms_known: Callable[[], bool],
    ) -> None:
        self._replica_tracker = replica_tracker
        self._clock = clock
        self._streams = streams
        self._topology = topology
        self._data_centre_of = data_centre_of
        self._vms_known = vms_known
        self._lock = threading.Lock()
        self._asked_by_number: dict[int, _Asked] = {}
        self._failing_until: dict[str, float] = {}
        self._connecting: set[str] = set()
        self._number = 0
        self._round = 0
        self._executor = ThreadPoolExecutor(CONNECT_THREADS, 'updates-connect')
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='peer-feed', daemon=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def on_answer(self, peer: str, answer: UpdatesAnswer) -> None:
        """Take a portion of an answer, on the hub's thread."""
        with self._lock:
            asked = self._asked_by_number.get(answer.number)
            if asked is None or asked.peer != peer:
                return
            asked.objects.extend(VersionedObject(*row) for row in answer.objects)
            if not answer.last:
                return
            del self._asked_by_number[answer.number]
            self._failing_until.pop(peer, None)
        written_after = asked.at + answer.held_ms / MS_PER_S
        known_at = None if answer.age_ms < 0 else written_after - answer.age_ms / MS_PER_S
        self._replica_tracker.apply_peer_answer(
            PeerUpdate(
                self._data_centre_of(peer),
                asked.objects,
                answer.revision,
                known_at,
                written_after,
            )
        )

    def _run(self) -> None:
        while not self._stopping.wait(ROUND_S):
            self._step()

    def _step(self) -> None:
        now = self._clock.monotonic()
        self._round += 1
        topology = self._topology()
        self._replica_tracker.data_centres_of_others = frozenset(
            topology.data_centres_of_others()
        )
        self._give_up_old(now)
        failing = [peer for peer, until in self._failing_until.items() if until > now]
        for peer in choose_peers_to_poll(
            topology, self._replica_tracker.age_s(), self._round, failing
        ):
            if not self._is_asked(peer):
                self.poll(peer)

    def _give_up_old(self, now: float) -> None:
        with self._lock:
            for number, asked in list(self._asked_by_number.items()):
                if now - asked.at > ANSWER_TIMEOUT_S:
                    del self._asked_by_number[number]
                    self._failing_until[asked.peer] = now + FAILING_S

    def _is_asked(self, peer: str) -> bool:
        with self._lock:
            return any(asked.peer == peer for asked in self._asked_by_number.values())

    def poll(self, peer: str) -> None:
        """Ask one peer; does not block."""
        stream = self._streams.find_open_stream(peer)
        if stream is not None:
            self._send(peer, stream)
        elif peer not in self._connecting:
            self._connecting.add(peer)
            self._executor.submit(self._connect, peer)

    def _connect(self, peer: str) -> None:
        try:
            stream = self._streams.connect(peer)
            if stream is None:
                self._failing_until[peer] = self._clock.monotonic() + FAILING_S
            else:
                self._send(peer, stream)
        finally:
            self._connecting.discard(peer)

    def _send(self, peer: str, stream: UpdateStream) -> None:
        with self._lock:
            self._number += 1
            number = self._number
            self._asked_by_number[number] = _Asked(peer, self._clock.monotonic(), [])
        after = self._replica_tracker.revision
        if not stream.send(UpdatesRequest(number, after, WAIT_MS, not self._vms_known())):
            with self._lock:
                self._asked_by_number.pop(number, None)
