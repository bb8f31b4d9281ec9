"""Tests of the planner and of the counter that finds hot keys."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.ownership import (
    HASH_ROWS_PER_TABLE,
    FrequentKeys,
    Load,
    Row,
    Table,
    apply_changes,
    build_initial_shards,
    hash_row_of,
    plan_moves,
    shard_of,
)

SERVERS = [f's{number}' for number in range(5)]


def build_initial_table() -> Table:
    table = Table('lookups')
    for shard in build_initial_shards('lookups', SERVERS):
        table.apply_shard(shard, 1)
    return table


RATES = st.dictionaries(st.integers(0, 1023), st.floats(0, 1000))


@given(st.sets(st.sampled_from(SERVERS), min_size=1), RATES)
def test_without_balancing_only_rows_of_unusable_servers_move(
    usable: set[str], rates: dict[int, float]
) -> None:
    table = build_initial_table()
    changes = plan_moves(table, frozenset(usable), Load(rates), balance=False)
    expected = {n for n, row in table.collect_rows().items() if row.owner not in usable}
    assert {change.number for change in changes} == expected
    for change in changes:
        assert change.row.next_owner in usable
        assert change.row._replace(next_owner='') == table.row(change.number)


@given(RATES)
def test_balancing_does_not_raise_the_peak_load(rates: dict[int, float]) -> None:
    table, load = build_initial_table(), Load(rates)
    changed_rows = {
        change.number: change.row for change in plan_moves(table, frozenset(SERVERS), load)
    }
    rows = table.collect_rows()

    def peak(owner_of: dict[int, str]) -> float:
        by_server = dict.fromkeys(SERVERS, 0.0)
        for number, owner in owner_of.items():
            by_server[owner] += rates.get(number, 0.0)
        return max(by_server.values())

    before = {number: row.owner for number, row in rows.items()}
    after = before | {number: row.next_owner for number, row in changed_rows.items()}
    # Loads below ``MIN_MEASURED_RATE_PER_S``, 50 requests per second, are ignored. The
    # planner adds 5 % of the load evenly to the hash rows, so the measured peak may rise by
    # about as much.
    if sum(rates.values()) >= 50:
        assert peak(after) <= peak(before) * 1.06 + 1


def test_hot_key_gets_a_hot_row_and_returns_when_no_longer_hot() -> None:
    table, key = build_initial_table(), 'hot'
    hash_row = hash_row_of(key)
    owner = table.row(hash_row).owner
    rows = table.collect_rows().items()
    other = next(n for n, row in rows if row.owner == owner and n != hash_row)
    load = Load({hash_row: 500.0, other: 500.0}, {key: 500.0})
    (change,) = [c for c in plan_moves(table, frozenset(SERVERS), load) if c.row.key]
    assert change.row.owner == table.row(hash_row).owner != change.row.next_owner
    shard, version = table.shard(shard_of(hash_row))
    placed = Row(change.row.next_owner, change.row.epoch + 1, '', key)
    rows_by_number = {**shard.rows_by_number, change.number: placed}
    table.apply_shard(shard._replace(rows_by_number=rows_by_number), version + 1)
    quiet = Load(dict.fromkeys(range(HASH_ROWS_PER_TABLE), 1.0))
    (returned,) = [c for c in plan_moves(table, frozenset(SERVERS), quiet) if c.row.key]
    assert returned.row.next_owner == table.row(hash_row).owner


def test_change_is_not_applied_to_a_row_with_another_epoch() -> None:
    shard, _ = build_initial_table().shard(0)
    row = shard.rows_by_number[0]
    stale_changes = plan_moves(build_initial_table(), frozenset(SERVERS) - {row.owner}, Load())
    newer = shard._replace(rows_by_number={**shard.rows_by_number, 0: row._replace(epoch=9)})
    assert apply_changes(newer, stale_changes).rows_by_number[0] == row._replace(epoch=9)


def test_frequent_key_is_reported_for_one_window() -> None:
    keys = FrequentKeys(0.0)
    for number in range(20_000):
        keys.count('hot' if number % 10 == 0 else f'cold-{number}', 0.5)
    assert max(keys.compute_rate_by_key(1.0).items(), key=lambda item: item[1])[0] == 'hot'
    assert keys.compute_rate_by_key(2.0) == {}
