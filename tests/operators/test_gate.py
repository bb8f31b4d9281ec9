"""Tests of which version of the document is in force."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.operators import MAX_DOCUMENT_AGE_S, KnownVersion, VersionGate

DAEMON_COUNT = 3

DAEMON = st.integers(0, DAEMON_COUNT - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.just(0), st.just(0)),
        st.tuples(st.just('ask store'), DAEMON, st.just(0)),
        st.tuples(
            st.just('ask peer'),
            st.integers(0, DAEMON_COUNT - 1),
            st.integers(0, DAEMON_COUNT - 1),
        ),
        st.tuples(st.just('deliver'), st.integers(0, 7), st.booleans()),
        st.tuples(st.just('wait'), st.integers(1, 20), st.just(0)),
    ),
    max_size=60,
)
"""Steps of a run: their kind and two arguments.

- ``ask store``: the daemon that asks
- ``ask peer``: the daemon that asks, and the peer
- ``deliver``: number of the answer in transit, and whether it stays to be delivered again
- ``wait``: tenths of a second
"""


class LastAnswerWins(VersionGate):
    """A broken variant: the version of the last answer is in force, even if it is older."""

    def _replace_version(self, answer: KnownVersion) -> bool:
        self.version, self.text = answer.version, answer.text
        return True


class AgeFromReceipt(VersionGate):
    """A broken variant: the age of an answer counts from its receipt."""

    now = 0.0

    def _record_confirmation(self, answer: KnownVersion) -> None:
        super()._record_confirmation(answer._replace(sent_at=self.now, age_s=0.0))


class Answer(NamedTuple):
    """An answer on its way to ``daemon``, from ``peer`` or from the store."""

    daemon: int
    peer: int | None
    known: KnownVersion


def check_gates(make_gate: type[VersionGate], steps: list[tuple[str, int, int]]) -> None:
    """Deliver answers late, out of order and more than once, and check the version in force.

    It must never go back, and an outdated version must never count as current.
    """
    gates = [make_gate() for _ in range(DAEMON_COUNT)]
    accepted_at = [0.0]
    in_transit: list[Answer] = []
    now = 0.0
    for step, first, second in steps:
        before = [gate.version for gate in gates]
        match step:
            case 'write':
                accepted_at.append(now)
            case 'ask store':
                version = len(accepted_at) - 1
                in_transit.append(
                    Answer(first, None, KnownVersion(version, f'v{version}', now))
                )
            case 'ask peer':
                peer = gates[second]
                known = KnownVersion(peer.version, peer.text, now, peer.age_s(now))
                in_transit.append(Answer(first, second, known))
            case 'deliver' if first < len(in_transit):
                answer = in_transit[first] if second else in_transit.pop(first)
                gate = gates[answer.daemon]
                if isinstance(gate, AgeFromReceipt):
                    gate.now = now
                if answer.peer is None:
                    gate.apply_store_answer(answer.known)
                else:
                    gate.apply_peer_answer(f'd{answer.peer}', answer.known)
            case 'wait':
                now += first / 10
        for gate, version in zip(gates, before, strict=True):
            assert gate.version >= version, 'an older version replaced a newer one'
            old_enough = [at for at in accepted_at if at < now - MAX_DOCUMENT_AGE_S]
            if gate.age_s(now) <= MAX_DOCUMENT_AGE_S and gate.version > 0:
                assert gate.version >= len(old_enough) - 1, (
                    'an outdated version passes as current'
                )


@given(STEPS)
def test_versions_only_advance_and_outdated_ones_are_never_current(
    steps: list[tuple[str, int, int]],
) -> None:
    check_gates(VersionGate, steps)


OUT_OF_ORDER = [
    ('write', 0, 0),
    ('ask store', 0, 0),
    ('write', 0, 0),
    ('ask store', 0, 0),
    ('deliver', 1, 0),
    ('deliver', 0, 0),
]
DELAYED = [('write', 0, 0), ('ask store', 0, 0), ('write', 0, 0), ('wait', 20, 0)]


@pytest.mark.parametrize(
    ('broken', 'steps'),
    [
        (LastAnswerWins, OUT_OF_ORDER),
        (AgeFromReceipt, [*DELAYED, ('wait', 20, 0), ('deliver', 0, 0)]),
    ],
)
def test_broken_gates_are_detected(
    broken: type[VersionGate], steps: list[tuple[str, int, int]]
) -> None:
    check_gates(VersionGate, steps)
    with pytest.raises(AssertionError):
        check_gates(broken, steps)


STORE_UNREACHABLE = float('inf')


@pytest.mark.parametrize(
    ('answering', 'others', 'expected'),
    [
        ([], [], True),
        ([], ['a'], False),
        (['a'], ['a'], True),
        ([], ['b'], False),
        (['b'], ['b'], True),
        (['a'], ['a', 'b'], False),
        (['a', 'b'], ['a', 'b', 'c'], True),
        (['b'], ['b', 'c'], True),
        (['b'], ['a', 'b', 'c'], False),
    ],
)
def test_without_the_store_most_data_centres_must_confirm(
    answering: list[str], others: list[str], expected: bool
) -> None:
    gate = VersionGate()
    gate.apply_store_answer(KnownVersion(5, 'v5', 0.0))
    for data_centre in answering:
        gate.apply_peer_answer(data_centre, KnownVersion(5, '', 100.0, STORE_UNREACHABLE))
    assert gate.is_current(101.0, 'a', others) is expected
    assert gate.is_current(104.0, 'a', others) is not bool(others)


def test_newer_version_without_text_stops_new_work() -> None:
    gate = VersionGate()
    assert not gate.is_current(0.0, 'a', [])
    gate.apply_store_answer(KnownVersion(5, 'v5', 0.0))
    assert gate.is_current(1.0, 'a', [])
    gate.apply_peer_answer('b', KnownVersion(6, '', 1.0, 0.2))
    assert not gate.is_current(1.0, 'a', ['b'])
    assert gate.apply_peer_answer('b', KnownVersion(6, 'v6', 1.0, 0.2))
    assert gate.is_current(1.0, 'a', ['b'])
