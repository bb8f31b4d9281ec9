"""Tests of which version is in force."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.operators import MAX_AGE_S, KnownVersion, VersionGate

DAEMONS = 3

DAEMON = st.integers(0, DAEMONS - 1)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.just(0), st.just(0)),
        st.tuples(st.just('ask store'), DAEMON, st.just(0)),
        st.tuples(
            st.just('ask peer'), st.integers(0, DAEMONS - 1), st.integers(0, DAEMONS - 1)
        ),
        st.tuples(st.just('deliver'), st.integers(0, 7), st.booleans()),
        st.tuples(st.just('wait'), st.integers(1, 20), st.just(0)),
    ),
    max_size=60,
)


class TakesTheLast(VersionGate):
    """A broken variant: whatever is heard last is in force."""

    def _replace(self, updates: KnownVersion) -> bool:
        self.version, self.text = updates.version, updates.text
        return True


class CountsFromTheAnswer(VersionGate):
    """A broken variant: it takes what it hears for known as of now."""

    now = 0.0

    def _confirm(self, updates: KnownVersion) -> None:
        super()._confirm(updates._replace(sent_at=self.now, age_s=0.0))


class Answer(NamedTuple):
    daemon: int
    peer: int | None
    updates: KnownVersion


def check(make: type[VersionGate], steps: list[tuple[str, int, int]]) -> None:
    """Play reads of store and peers whose answers come late, crossed and repeated."""
    gates = [make() for _ in range(DAEMONS)]
    accepted_at = [0.0]
    under_way: list[Answer] = []
    now = 0.0
    for step, first, second in steps:
        before = [gate.version for gate in gates]
        match step:
            case 'write':
                accepted_at.append(now)
            case 'ask store':
                version = len(accepted_at) - 1
                under_way.append(
                    Answer(first, None, KnownVersion(version, f'v{version}', now))
                )
            case 'ask peer':
                peer = gates[second]
                updates = KnownVersion(peer.version, peer.text, now, peer.age_s(now))
                under_way.append(Answer(first, second, updates))
            case 'deliver' if first < len(under_way):
                answer = under_way[first] if second else under_way.pop(first)
                gate = gates[answer.daemon]
                if isinstance(gate, CountsFromTheAnswer):
                    gate.now = now
                if answer.peer is None:
                    gate.apply_store_answer(answer.updates)
                else:
                    gate.apply_peer_answer(f'd{answer.peer}', answer.updates)
            case 'wait':
                now += first / 10
        for gate, version in zip(gates, before, strict=True):
            assert gate.version >= version, 'went back'
            old_enough = [at for at in accepted_at if at < now - MAX_AGE_S]
            if gate.age_s(now) <= MAX_AGE_S and gate.version > 0:
                assert gate.version >= len(old_enough) - 1, 'current, but on an old version'


@given(STEPS)
def test_versions_never_go_back_and_old_ones_are_never_current(
    steps: list[tuple[str, int, int]],
) -> None:
    check(VersionGate, steps)


CROSSED = [
    ('write', 0, 0),
    ('ask store', 0, 0),
    ('write', 0, 0),
    ('ask store', 0, 0),
    ('deliver', 1, 0),
    ('deliver', 0, 0),
]
LATE = [('write', 0, 0), ('ask store', 0, 0), ('write', 0, 0), ('wait', 20, 0)]


@pytest.mark.parametrize(
    ('broken', 'steps'),
    [
        (TakesTheLast, CROSSED),
        (CountsFromTheAnswer, [*LATE, ('wait', 20, 0), ('deliver', 0, 0)]),
    ],
)
def test_the_property_catches_broken_gates(
    broken: type[VersionGate], steps: list[tuple[str, int, int]]
) -> None:
    check(VersionGate, steps)
    with pytest.raises(AssertionError):
        check(broken, steps)


DOWN = float('inf')


@pytest.mark.parametrize(
    ('heard', 'others', 'expected'),
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
def test_with_the_store_down_most_data_centres_must_vouch(
    heard: list[str], others: list[str], expected: bool
) -> None:
    gate = VersionGate()
    gate.apply_store_answer(KnownVersion(5, 'v5', 0.0))
    for data_centre in heard:
        gate.apply_peer_answer(data_centre, KnownVersion(5, '', 100.0, DOWN))
    assert gate.is_current(101.0, 'a', others) is expected
    assert gate.is_current(104.0, 'a', others) is not bool(others)


def test_a_version_known_by_number_only_stops_new_work() -> None:
    gate = VersionGate()
    assert not gate.is_current(0.0, 'a', [])
    gate.apply_store_answer(KnownVersion(5, 'v5', 0.0))
    assert gate.is_current(1.0, 'a', [])
    gate.apply_peer_answer('b', KnownVersion(6, '', 1.0, 0.2))
    assert not gate.is_current(1.0, 'a', ['b'])
    assert gate.apply_peer_answer('b', KnownVersion(6, 'v6', 1.0, 0.2))
    assert gate.is_current(1.0, 'a', ['b'])
