"""Tests of forwarding changes of the store between daemons."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.clock import ManualClock
from coltsfootstair.inner import (
    MAX_FRAME_BYTES,
    Message,
    UpdatesAnswer,
    UpdatesRequest,
    VmListing,
)
from coltsfootstair.inner import encode as encode_frame
from coltsfootstair.store import Replica, VersionedObject
from coltsfootstair.updates import (
    DaemonTopology,
    PeerFeed,
    PeerUpdate,
    ReplicaTracker,
    UpdatePublisher,
    choose_peers_to_poll,
    choose_watchers,
    is_watcher,
)

DATA_CENTRE_BY_NAME = {
    f'{data_centre}{number}': data_centre for data_centre in 'abc' for number in range(5)
}
DAEMON_COUNT = 3
ROUNDING_S = 1e-6
"""Tolerance for rounding errors of floating-point times."""

DAEMON = st.integers(0, DAEMON_COUNT - 1)
# Name of a step and its arguments: write KEY, read DAEMON, poll DAEMON PEER, deliver ANSWER
# and whether it may be delivered again, wait TENTHS_OF_A_SECOND.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.integers(0, 3), st.just(0)),
        st.tuples(st.just('read'), DAEMON, st.just(0)),
        st.tuples(
            st.just('poll'), st.integers(0, DAEMON_COUNT - 1), st.integers(0, DAEMON_COUNT - 1)
        ),
        st.tuples(st.just('deliver'), st.integers(0, 7), st.booleans()),
        st.tuples(st.just('wait'), st.integers(1, 20), st.just(0)),
    ),
    max_size=60,
)


def build_topology(
    own: str, connected: list[str], data_centre_by_name: dict[str, str]
) -> DaemonTopology:
    return DaemonTopology(own, own[0], data_centre_by_name, connected)


def test_few_daemons_of_each_data_centre_watch() -> None:
    for data_centre in 'abc':
        watching = [
            name
            for name in DATA_CENTRE_BY_NAME
            if is_watcher(build_topology(name, [], DATA_CENTRE_BY_NAME))
        ]
        assert (
            len([name for name in watching if DATA_CENTRE_BY_NAME[name] == data_centre]) == 2
        )


@pytest.mark.parametrize('age_s', [0.1, 5.0])
def test_one_local_peer_and_one_in_one_or_all_other_data_centres_are_polled(
    age_s: float,
) -> None:
    for name in DATA_CENTRE_BY_NAME:
        topology = build_topology(name, list(DATA_CENTRE_BY_NAME), DATA_CENTRE_BY_NAME)
        polled = choose_peers_to_poll(topology, age_s, 1, [])
        local, remote = polled[0], polled[1:]
        assert DATA_CENTRE_BY_NAME[local] == name[0]
        assert is_watcher(topology) or local in choose_watchers(topology, name[0])
        assert (
            len({DATA_CENTRE_BY_NAME[one] for one in remote})
            == len(remote)
            == (2 if age_s > 1.2 else 1)
        )
        assert name not in polled
        polled_without_first = choose_peers_to_poll(topology, age_s, 1, [local])
        assert is_watcher(topology) or polled_without_first[0] != local


def test_a_daemon_without_a_vm_list_polls_peers_that_connected_to_it() -> None:
    assert choose_peers_to_poll(build_topology('a1', ['b1', 'c1'], {}), 9.0, 1, []) == [
        'b1',
        'c1',
    ]
    watcher = choose_watchers(build_topology('a1', [], DATA_CENTRE_BY_NAME), 'a')[0]
    connected = [name for name in DATA_CENTRE_BY_NAME if name not in ('a3', watcher)]
    polled = choose_peers_to_poll(
        build_topology(watcher, connected, DATA_CENTRE_BY_NAME), 0.1, 1, []
    )
    assert watcher == 'a3' or polled[0] == 'a3'


class Outbox:
    """Stream that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return True


class Node:
    """Replica, publisher and feed of one daemon, without threads."""

    def __init__(self, clock: ManualClock, name: str) -> None:
        self.name = name
        self.replica = Replica()
        self.replica_tracker = ReplicaTracker(self.replica, clock, name)
        self.outbox = Outbox()
        self.publisher = UpdatePublisher(self.replica_tracker, clock, dict)
        topology = build_topology(name, [], {})
        self.feed = PeerFeed(
            self.replica_tracker,
            clock,
            self,
            lambda: topology,
            lambda peer: peer,
            lambda: True,
        )

    def find_open_stream(self, peer: str) -> Outbox:
        return self.outbox

    connect = find_open_stream

    def poll(self, peer: str) -> UpdatesRequest:
        """Poll ``peer``, and return the request that was sent."""
        self.feed.poll(peer)
        request = self.outbox.sent.pop()
        assert isinstance(request, UpdatesRequest)
        return request

    def build_answers(self, request: UpdatesRequest) -> list[Message]:
        """Return the answer to a request, without delay."""
        stream = Outbox()
        self.publisher.on_request(stream, request._replace(wait_ms=0))
        self.publisher.answer_due_requests()
        return stream.sent


def check_steps(steps: list[tuple[str, int, int]]) -> None:
    """Simulate a store, and peers whose answers may be delayed, reordered or duplicated.

    After each step, every replica must have all changes up to its revision, and every change
    that was written before the time at which it knew its revision to be the newest.
    """
    clock = ManualClock()
    nodes = [Node(clock, f'd{number}') for number in range(DAEMON_COUNT)]
    history: list[VersionedObject] = []
    written_at: list[float] = []
    in_transit: list[tuple[Node, str, list[Message]]] = []
    for step, first, second in steps:
        match step:
            case 'write':
                history.append(VersionedObject(f'k{first}', len(history) + 1, b'v'))
                written_at.append(clock.monotonic())
            case 'read':
                node = nodes[first]
                changed = [
                    item for item in history if item.version > node.replica_tracker.revision
                ]
                node.replica_tracker.apply_store_answer(
                    changed, len(history), clock.monotonic()
                )
            case 'poll' if first != second:
                request = nodes[first].poll(f'd{second}')
                answers = nodes[second].build_answers(request)
                in_transit.append((nodes[first], f'd{second}', answers))
            case 'deliver' if first < len(in_transit):
                node, peer, answers = in_transit[first]
                if not second:
                    del in_transit[first]
                for answer in answers:
                    assert isinstance(answer, UpdatesAnswer)
                    node.feed.on_answer(peer, answer)
            case 'wait':
                clock.advance(first / 10)
        for node in nodes:
            newest = {
                item.key: item for item in history[: max(node.replica_tracker.revision, 0)]
            }
            for key, item in newest.items():
                assert node.replica.get(key).version >= item.version
            known_at = clock.monotonic() - node.replica_tracker.age_s() - ROUNDING_S
            assert max(node.replica_tracker.revision, 0) >= sum(
                at < known_at for at in written_at
            )


@given(STEPS)
def test_replicas_are_complete_and_as_new_as_their_age_says(
    steps: list[tuple[str, int, int]],
) -> None:
    check_steps(steps)


def test_a_late_answer_does_not_count_as_new(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check must fail if an answer counts as known at its arrival, not at its writing."""
    steps_before_delivery = [
        ('read', 1, 0),
        ('poll', 0, 1),
        ('wait', 9, 0),
        ('write', 0, 0),
        ('wait', 9, 0),
    ]
    check_steps([*steps_before_delivery, ('deliver', 0, 0)])
    apply_peer_answer = ReplicaTracker.apply_peer_answer

    def apply_as_new(self: ReplicaTracker, update: PeerUpdate) -> None:
        apply_peer_answer(self, update._replace(known_at=self._clock.monotonic()))

    monkeypatch.setattr(ReplicaTracker, 'apply_peer_answer', apply_as_new)
    with pytest.raises(AssertionError):
        check_steps([*steps_before_delivery, ('deliver', 0, 0)])


def test_an_answer_waits_for_changes_and_is_split_into_messages_of_allowed_size() -> None:
    clock = ManualClock()
    node = Node(clock, 'a')
    stream = Outbox()
    node.replica_tracker.apply_store_answer([], 0, clock.monotonic())
    node.publisher.on_request(stream, UpdatesRequest(1, 0, 500, True))
    assert node.publisher.answer_due_requests() == 0
    clock.advance(0.2)
    large_objects = [
        VersionedObject(f'k{number}', number + 1, bytes(200_000)) for number in range(5)
    ]
    node.replica_tracker.apply_store_answer(large_objects, 5, clock.monotonic())
    assert node.publisher.answer_due_requests() == 1
    vm_listing, *answers = stream.sent
    assert isinstance(vm_listing, VmListing)
    assert all(len(encode_frame(answer)) < MAX_FRAME_BYTES for answer in answers)
    assert [one.last for one in answers if isinstance(one, UpdatesAnswer)] == [False] * 4 + [
        True
    ]
    assert {one.held_ms for one in answers if isinstance(one, UpdatesAnswer)} == {200}


def test_while_the_store_is_down_answers_of_most_data_centres_suffice() -> None:
    """Answers without a revision do not count, or a daemon would use an old document."""
    clock = ManualClock()
    replica_tracker = ReplicaTracker(Replica(), clock, 'a')
    replica_tracker.data_centres_of_others = frozenset('abc')
    assert not replica_tracker.is_document_fresh()
    replica_tracker.apply_store_answer(
        [VersionedObject('config', 1, b'x')], 1, clock.monotonic()
    )
    assert replica_tracker.is_document_fresh()
    clock.advance(9.0)
    assert not replica_tracker.is_document_fresh()
    for data_centre in 'ab':
        replica_tracker.apply_peer_answer(
            PeerUpdate(data_centre, [], 1, None, clock.monotonic())
        )
    assert replica_tracker.is_document_fresh()
    replica_tracker.apply_peer_answer(PeerUpdate('c', [], -1, None, clock.monotonic()))
    clock.advance(9.0)
    assert not replica_tracker.is_document_fresh()
