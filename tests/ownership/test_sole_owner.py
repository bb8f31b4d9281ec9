"""Properties of leases, grants and moves together, under every kind of fault."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.ownership.model import NO_FAULTS, BrokenPromiseError, Faults, World

from coltsfootstair.leases import _decide as leases
from coltsfootstair.leases._messages import SendConfirmation
from coltsfootstair.ownership import OwnershipState, Row, Shard, initial_state
from coltsfootstair.ownership import _moves as moves
from coltsfootstair.ownership import _release as release
from coltsfootstair.ownership._messages import (
    ProbeAnswered,
    ReadShard,
    RowsTick,
    SendGrant,
    ShardObserved,
)
from coltsfootstair.ownership._owned import HeldRow, Phase, set_phase

if TYPE_CHECKING:
    from coltsfootstair.leases import Lease
    from coltsfootstair.ownership._messages import RowsEvent

SEEDS = st.integers(0, 100_000)

FAULT_SEEDS = 1500
"""A server that takes any token shows in few runs, so the search for one goes far."""


def breaks(seed: int, faults: Faults = NO_FAULTS) -> bool:
    try:
        World(seed, faults).run()
    except BrokenPromiseError:
        return True
    return False


@settings(max_examples=60)
@given(SEEDS)
def test_never_two_owners_nor_two_coordinators(seed: int) -> None:
    World(seed).run()


def test_the_world_is_not_idle() -> None:
    happened: Counter[str] = Counter()
    for seed in range(10):
        happened += World(seed).run().happened
    assert min(happened[what] for what in ('rights', 'moves', 'grants', 'requests')) > 30


def confirm_always(lease: Lease, asked: Any, now: float) -> Any:
    return lease, [SendConfirmation(asked.version, asked.record, asked.asked_at)]


def grant_again(owned: Any, number: int, row: Row, seen: Any, now: float) -> HeldRow:
    return owned.held_by_row.get(number) or HeldRow(row, Phase.HELD, now)


def drop_at_once(owned: OwnershipState, now: float, advance: Any = moves._advance) -> Any:
    owned = advance(owned, now)
    rows = frozenset(owned.held_by_row)
    return set_phase(owned, rows, Phase.STOPPING, Phase.DROPPING, now)


@pytest.mark.parametrize(
    ('module', 'name', 'wrong'),
    [
        pytest.param(leases, 'TAKEOVER_WAIT_S', 0.0, id='takeover without the wait'),
        pytest.param(leases, '_take_question', confirm_always, id='epoch not checked'),
        pytest.param(release, 'may_hold', lambda *_: False, id='lapse not waited for'),
        pytest.param(moves, '_advance', drop_at_once, id='requests not waited for'),
    ],
)
def test_broken_decisions_are_caught(
    monkeypatch: pytest.MonkeyPatch, module: Any, name: str, wrong: Any
) -> None:
    monkeypatch.setattr(module, name, wrong)
    assert any(breaks(seed) for seed in range(150))


@pytest.mark.parametrize(
    'faults', [Faults(announce_early=True), Faults(tokens_unchecked=True)]
)
def test_broken_surroundings_are_caught(faults: Faults) -> None:
    assert any(breaks(seed, faults) for seed in range(FAULT_SEEDS))


def grants_of_a_new_coordinator() -> list[int]:
    owned = initial_state('a', 2, checks_grants=True, now=0.0)
    events: list[RowsEvent] = [RowsTick(100.0), ProbeAnswered('i', 5.0, 0.0)]
    rows = {0: Row('a', 1, 'b'), 1: Row('a', 1), 2: Row('b', 1)}
    for number in range(4):
        shard = Shard(number, rows if number == 0 else {})
        events.append(ShardObserved(shard, 7, read_under_lease=True))
    orders: list[int] = []
    for event in [*events, RowsTick(100.0)]:
        owned, effects = moves.handle(owned, event, 0.2 if event == events[-1] else 0.0)
        for effect in effects:
            if isinstance(effect, SendGrant):
                orders += effect.order.token_by_row
    return orders


def test_a_new_coordinator_grants_no_row_that_is_moving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert grants_of_a_new_coordinator() == [1]
    monkeypatch.setattr(moves, '_held', grant_again)
    assert grants_of_a_new_coordinator() != [1]


def test_a_read_older_than_what_was_heard_is_read_again() -> None:
    owned = initial_state('a', 2, checks_grants=True, now=0.0)
    events: list[RowsEvent] = [RowsTick(100.0), ShardObserved(Shard(0, {0: Row('a', 1)}), 5)]
    events += [
        ShardObserved(Shard(number, {}), 0, read_under_lease=True) for number in range(4)
    ]
    for event in events:
        owned, _ = moves.handle(owned, event, 0.0)
    _, effects = moves.handle(owned, RowsTick(100.0), 0.2)
    assert [effect for effect in effects if isinstance(effect, ReadShard)] == [ReadShard(0)]
