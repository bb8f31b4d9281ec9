"""Tests that a row has one owner and a backend server one coordinator, under faults."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.ownership.model import NO_DEFECTS, Defects, InvariantError, Simulation

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
from coltsfootstair.ownership._owned import OwnedRow, RowPhase, set_phase

if TYPE_CHECKING:
    from coltsfootstair.leases import Lease
    from coltsfootstair.ownership._messages import RowsEvent

SEEDS = st.integers(0, 100_000)

DEFECT_SEED_COUNT = 1500
"""Seeds tried per defect; few runs reveal a server that ignores fencing tokens."""


def breaks_invariant(seed: int, defects: Defects = NO_DEFECTS) -> bool:
    try:
        Simulation(seed, defects).run()
    except InvariantError:
        return True
    return False


@settings(max_examples=60)
@given(SEEDS)
def test_no_row_has_two_owners_and_no_server_two_coordinators(seed: int) -> None:
    Simulation(seed).run()


def test_simulation_starts_coordinators_moves_rows_grants_and_serves() -> None:
    counts: Counter[str] = Counter()
    for seed in range(10):
        counts += Simulation(seed).run().event_counts
    assert min(counts[what] for what in ('coordinators', 'moves', 'grants', 'requests')) > 30


def confirm_without_check(lease: Lease, request: Any, now: float) -> Any:
    return lease, [SendConfirmation(request.version, request.record, request.sent_at)]


def keep_in_use(state: Any, number: int, row: Row, observed: Any, now: float) -> OwnedRow:
    return state.owned_by_row.get(number) or OwnedRow(row, RowPhase.IN_USE, now)


def skip_stopping(
    state: OwnershipState, now: float, advance: Any = moves._advance_phases
) -> Any:
    state = advance(state, now)
    rows = frozenset(state.owned_by_row)
    return set_phase(state, rows, RowPhase.STOPPING, RowPhase.EXPIRING, now)


@pytest.mark.parametrize(
    ('module', 'name', 'wrong'),
    [
        pytest.param(leases, 'TAKEOVER_WAIT_S', 0.0, id='takeover without the wait'),
        pytest.param(
            leases,
            '_answer_confirmation_request',
            confirm_without_check,
            id='epoch not checked',
        ),
        pytest.param(
            release, 'may_be_granted', lambda *_: False, id='grant expiry not waited for'
        ),
        pytest.param(moves, '_advance_phases', skip_stopping, id='requests not waited for'),
    ],
)
def test_wrong_decisions_break_an_invariant(
    monkeypatch: pytest.MonkeyPatch, module: Any, name: str, wrong: Any
) -> None:
    monkeypatch.setattr(module, name, wrong)
    assert any(breaks_invariant(seed) for seed in range(150))


@pytest.mark.parametrize(
    'defects', [Defects(updates_before_write=True), Defects(ignores_tokens=True)]
)
def test_defects_of_the_environment_break_an_invariant(defects: Defects) -> None:
    assert any(breaks_invariant(seed, defects) for seed in range(DEFECT_SEED_COUNT))


def rows_granted_by_new_coordinator() -> list[int]:
    state = initial_state('a', 2, checks_grants=True, now=0.0)
    events: list[RowsEvent] = [RowsTick(100.0), ProbeAnswered('i', 5.0, 0.0)]
    rows = {0: Row('a', 1, 'b'), 1: Row('a', 1), 2: Row('b', 1)}
    for number in range(4):
        shard = Shard(number, rows if number == 0 else {})
        events.append(ShardObserved(shard, 7, read_under_lease=True))
    granted: list[int] = []
    for event in [*events, RowsTick(100.0)]:
        state, effects = moves.handle(state, event, 0.2 if event == events[-1] else 0.0)
        for effect in effects:
            if isinstance(effect, SendGrant):
                granted += effect.call.token_by_row
    return granted


def test_new_coordinator_does_not_grant_a_moving_row(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert rows_granted_by_new_coordinator() == [1]
    monkeypatch.setattr(moves, '_next_owned_row', keep_in_use)
    assert rows_granted_by_new_coordinator() != [1]


def test_shard_is_read_again_if_the_read_is_older_than_an_update() -> None:
    state = initial_state('a', 2, checks_grants=True, now=0.0)
    events: list[RowsEvent] = [RowsTick(100.0), ShardObserved(Shard(0, {0: Row('a', 1)}), 5)]
    events += [
        ShardObserved(Shard(number, {}), 0, read_under_lease=True) for number in range(4)
    ]
    for event in events:
        state, _ = moves.handle(state, event, 0.0)
    _, effects = moves.handle(state, RowsTick(100.0), 0.2)
    assert [effect for effect in effects if isinstance(effect, ReadShard)] == [ReadShard(0)]
