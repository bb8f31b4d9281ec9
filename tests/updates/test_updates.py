"""Tests of passing the store's objects on between daemons."""

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

PLACES = {f'{place}{number}': place for place in 'abc' for number in range(5)}
DAEMONS = 3
ROUNDING_S = 1e-6

DAEMON = st.integers(0, DAEMONS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.integers(0, 3), st.just(0)),
        st.tuples(st.just('read'), DAEMON, st.just(0)),
        st.tuples(st.just('ask'), st.integers(0, DAEMONS - 1), st.integers(0, DAEMONS - 1)),
        st.tuples(st.just('deliver'), st.integers(0, 7), st.booleans()),
        st.tuples(st.just('wait'), st.integers(1, 20), st.just(0)),
    ),
    max_size=60,
)


def topology(own: str, connected: list[str], places: dict[str, str]) -> DaemonTopology:
    return DaemonTopology(own, own[0], places, connected)


def test_few_daemons_of_each_data_centre_watch() -> None:
    for place in 'abc':
        watching = [name for name in PLACES if is_watcher(topology(name, [], PLACES))]
        assert len([name for name in watching if PLACES[name] == place]) == 2


@pytest.mark.parametrize('age_s', [0.1, 5.0])
def test_peers_asked(age_s: float) -> None:
    for name in PLACES:
        here = topology(name, list(PLACES), PLACES)
        asked = choose_peers_to_poll(here, age_s, 1, [])
        near, far = asked[0], asked[1:]
        assert PLACES[near] == name[0]
        assert is_watcher(here) or near in choose_watchers(here, name[0])
        assert len({PLACES[one] for one in far}) == len(far) == (2 if age_s > 1.2 else 1)
        assert name not in asked
        failing = choose_peers_to_poll(here, age_s, 1, [near])
        assert is_watcher(here) or failing[0] != near


def test_a_daemon_without_a_list_asks_those_that_came_to_it() -> None:
    assert choose_peers_to_poll(topology('a1', ['b1', 'c1'], {}), 9.0, 1, []) == ['b1', 'c1']
    watcher = choose_watchers(topology('a1', [], PLACES), 'a')[0]
    rest = [name for name in PLACES if name not in ('a3', watcher)]
    asked = choose_peers_to_poll(topology(watcher, rest, PLACES), 0.1, 1, [])
    assert watcher == 'a3' or asked[0] == 'a3'


class Outbox:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return True


class Node:
    """One daemon's knowledge, its publisher and its feed, without threads."""

    def __init__(self, clock: ManualClock, name: str) -> None:
        self.name = name
        self.replica = Replica()
        self.replica_tracker = ReplicaTracker(self.replica, clock, name)
        self.outbox = Outbox()
        self.publisher = UpdatePublisher(self.replica_tracker, clock, dict)
        here = topology(name, [], {})
        self.feed = PeerFeed(
            self.replica_tracker, clock, self, lambda: here, lambda peer: peer, lambda: True
        )

    def find_open_stream(self, peer: str) -> Outbox:
        return self.outbox

    connect = find_open_stream

    def poll(self, peer: str) -> UpdatesRequest:
        """Ask ``peer``, and return the request that is on its way."""
        self.feed.poll(peer)
        request = self.outbox.sent.pop()
        assert isinstance(request, UpdatesRequest)
        return request

    def answers(self, request: UpdatesRequest) -> list[Message]:
        """Answer a request at once."""
        asker = Outbox()
        self.publisher.on_request(asker, request._replace(wait_ms=0))
        self.publisher.answer_due_requests()
        return asker.sent


def check(steps: list[tuple[str, int, int]]) -> None:
    """Play a store, and peers whose answers come late, crossed and repeated."""
    clock = ManualClock()
    nodes = [Node(clock, f'd{number}') for number in range(DAEMONS)]
    history: list[VersionedObject] = []
    written_at: list[float] = []
    under_way: list[tuple[Node, str, list[Message]]] = []
    for step, first, second in steps:
        match step:
            case 'write':
                history.append(VersionedObject(f'k{first}', len(history) + 1, b'v'))
                written_at.append(clock.monotonic())
            case 'read':
                node = nodes[first]
                changed = [
                    one for one in history if one.version > node.replica_tracker.revision
                ]
                node.replica_tracker.apply_store_answer(
                    changed, len(history), clock.monotonic()
                )
            case 'ask' if first != second:
                request = nodes[first].poll(f'd{second}')
                answers = nodes[second].answers(request)
                under_way.append((nodes[first], f'd{second}', answers))
            case 'deliver' if first < len(under_way):
                node, peer, answers = under_way[first]
                if not second:
                    del under_way[first]
                for answer in answers:
                    assert isinstance(answer, UpdatesAnswer)
                    node.feed.on_answer(peer, answer)
            case 'wait':
                clock.advance(first / 10)
        for node in nodes:
            newest = {one.key: one for one in history[: max(node.replica_tracker.revision, 0)]}
            for key, item in newest.items():
                assert node.replica.get(key).version >= item.version
            known_at = clock.monotonic() - node.replica_tracker.age_s() - ROUNDING_S
            assert max(node.replica_tracker.revision, 0) >= sum(
                at < known_at for at in written_at
            )


@given(STEPS)
def test_what_is_known_is_complete_and_as_fresh_as_said(
    steps: list[tuple[str, int, int]],
) -> None:
    check(steps)


def test_a_late_answer_is_not_fresh(monkeypatch: pytest.MonkeyPatch) -> None:
    late = [('read', 1, 0), ('ask', 0, 1), ('wait', 9, 0), ('write', 0, 0), ('wait', 9, 0)]
    check([*late, ('deliver', 0, 0)])
    said = ReplicaTracker.apply_peer_answer

    def as_of_now(self: ReplicaTracker, update: PeerUpdate) -> None:
        said(self, update._replace(known_at=self._clock.monotonic()))

    monkeypatch.setattr(ReplicaTracker, 'apply_peer_answer', as_of_now)
    with pytest.raises(AssertionError):
        check([*late, ('deliver', 0, 0)])


def test_an_answer_waits_for_updates_and_is_sent_in_portions_that_fit() -> None:
    clock = ManualClock()
    node = Node(clock, 'a')
    asker = Outbox()
    node.replica_tracker.apply_store_answer([], 0, clock.monotonic())
    node.publisher.on_request(asker, UpdatesRequest(1, 0, 500, True))
    assert node.publisher.answer_due_requests() == 0
    clock.advance(0.2)
    big = [VersionedObject(f'k{number}', number + 1, bytes(200_000)) for number in range(5)]
    node.replica_tracker.apply_store_answer(big, 5, clock.monotonic())
    assert node.publisher.answer_due_requests() == 1
    vms, *answers = asker.sent
    assert isinstance(vms, VmListing)
    assert all(len(encode_frame(answer)) < MAX_FRAME_BYTES for answer in answers)
    assert [one.last for one in answers if isinstance(one, UpdatesAnswer)] == [False] * 4 + [
        True
    ]
    assert {one.held_ms for one in answers if isinstance(one, UpdatesAnswer)} == {200}


def test_with_the_store_down_the_word_of_most_data_centres_is_enough() -> None:
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
    for place in 'ab':
        replica_tracker.apply_peer_answer(PeerUpdate(place, [], 1, None, clock.monotonic()))
    assert replica_tracker.is_document_fresh()
    replica_tracker.apply_peer_answer(PeerUpdate('c', [], -1, None, clock.monotonic()))
    clock.advance(9.0)
    assert not replica_tracker.is_document_fresh()
