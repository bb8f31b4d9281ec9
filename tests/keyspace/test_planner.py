"""Planning of key ranges as request rates, speed and servers change."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.keyspace import (
    KEY_COUNT,
    KeyRange,
    KeyRates,
    KeyTable,
    OwnerCandidate,
    plan_table,
)

FAST_S, SLOW_S = 0.05, 0.12


def _owner(
    number: int, service_time_s: float = FAST_S, accepts_keys: bool = True
) -> OwnerCandidate:
    return OwnerCandidate((f's{number}', number), 4, service_time_s, accepts_keys)


def _grant_all(table: KeyTable) -> KeyTable:
    ranges = [
        key_range._replace(is_granted=True, previous_owners=()) for key_range in table.ranges
    ]
    return KeyTable(ranges, table.highest_fence, table.epoch)


def _plan_repeatedly(
    table: KeyTable, owners: list[OwnerCandidate], rates: dict[int, float], steps: int = 20
) -> KeyTable:
    for _ in range(steps):
        table = _grant_all(plan_table(table, owners, KeyRates(rates)))
    return table


def _sum_rates_by_server(table: KeyTable, rates: dict[int, float]) -> dict[str, float]:
    rate_by_server: dict[str, float] = {}
    for key, rate in rates.items():
        key_range = table.range_of(key)
        assert key_range is not None
        rate_by_server[key_range.owner[0]] = rate_by_server.get(key_range.owner[0], 0.0) + rate
    return rate_by_server


owners_strategy = st.lists(
    st.builds(
        OwnerCandidate,
        st.tuples(st.sampled_from('abcdef'), st.integers(1, 2)),
        st.just(4),
        st.floats(0.01, 1.0),
        st.booleans(),
        st.booleans(),
    ),
    max_size=5,
    unique_by=lambda owner: owner.incarnation,
)
rates_strategy = st.dictionaries(
    st.integers(0, KEY_COUNT - 1), st.floats(0.1, 200), max_size=9
)


@given(st.lists(st.tuples(owners_strategy, rates_strategy, st.booleans()), max_size=6))
def test_key_ranges_cover_all_keys_with_increasing_fences(
    changes: list[tuple[list[OwnerCandidate], dict[int, float], bool]],
) -> None:
    table = KeyTable([], 0)
    for owners, rates, granted in changes:
        before = table
        table = plan_table(table, owners, KeyRates(rates))
        if table.ranges:
            assert table.ranges[0].first == 0
            assert table.ranges[-1].last == KEY_COUNT - 1
            ends = [key_range.last + 1 for key_range in table.ranges[:-1]]
            assert [key_range.first for key_range in table.ranges[1:]] == ends
        incarnations = {owner.incarnation for owner in owners}
        for key_range in table.ranges:
            if key_range.fence > before.highest_fence:
                assert key_range.owner in incarnations
                assert key_range.owner not in key_range.previous_owners
                assert not key_range.is_granted
        fences = [
            key_range.fence
            for key_range in table.ranges
            if key_range.fence > before.highest_fence
        ]
        assert len(fences) == len(set(fences)), 'each move has its own fencing token'
        if granted:
            table = _grant_all(table)


def test_servers_of_equal_speed_get_equal_parts() -> None:
    table = plan_table(
        KeyTable([], 0), [_owner(1), _owner(2), _owner(3), _owner(4)], KeyRates({})
    )
    assert [key_range.last - key_range.first + 1 for key_range in table.ranges] == [
        KEY_COUNT // 4
    ] * 4


def test_steady_request_rates_move_nothing() -> None:
    owners = [_owner(number) for number in range(4)]
    rates = dict.fromkeys(range(0, KEY_COUNT, 512), 0.5)
    table = _plan_repeatedly(
        plan_table(KeyTable([], 0), owners, KeyRates(rates)), owners, rates
    )
    assert plan_table(table, owners, KeyRates(rates)) is table


def test_a_range_of_busy_keys_is_spread_over_servers() -> None:
    owners = [_owner(number) for number in range(4)]
    rates = dict.fromkeys(range(1000, 1200), 0.9)
    before = _grant_all(plan_table(KeyTable([], 0), owners, KeyRates({})))
    # All 180 requests per second, 200 keys at 0.9, go to one server.
    assert max(_sum_rates_by_server(before, rates).values()) > 179
    after = _plan_repeatedly(before, owners, rates)
    # Less than half of the 180; an equal part is 45.
    assert max(_sum_rates_by_server(after, rates).values()) < 80


def test_a_lone_hot_key_ends_at_the_fastest_server_with_little_else() -> None:
    """A key with 80 requests per second stayed on a server of medium speed for seconds."""
    owners = [_owner(0, 0.08), _owner(1, 0.1), _owner(2, 0.04), _owner(3, 0.1)]
    rates = dict.fromkeys(range(0, KEY_COUNT, 512), 0.4) | {7: 75.0}
    table = _plan_repeatedly(
        _grant_all(plan_table(KeyTable([], 0), owners, KeyRates({}))), owners, rates
    )
    key_range = table.range_of(7)
    assert key_range is not None
    assert key_range.owner[0] == 's2'
    # The 75 requests per second of the hot key, and less than 10 of the 51.2 of all others.
    assert _sum_rates_by_server(table, rates)['s2'] < 85


def test_a_slow_server_keeps_a_small_part() -> None:
    owners = [_owner(0, SLOW_S * 4), _owner(1), _owner(2)]
    rates = dict.fromkeys(range(0, KEY_COUNT, 256), 0.3)
    rate_by_server = _sum_rates_by_server(
        _plan_repeatedly(plan_table(KeyTable([], 0), owners, KeyRates(rates)), owners, rates),
        rates,
    )
    assert 0 < rate_by_server['s0'] < rate_by_server['s1'] / 2


def test_keys_of_a_server_that_is_no_longer_a_candidate_go_to_the_others() -> None:
    owners = [_owner(number) for number in range(4)]
    table = _grant_all(plan_table(KeyTable([], 0), owners, KeyRates({})))
    after = plan_table(table, owners[1:], KeyRates({}))
    assert {key_range.owner[0] for key_range in after.ranges} == {'s1', 's2', 's3'}
    moved = [key_range for key_range in after.ranges if key_range.previous_owners]
    assert {key_range.previous_owners for key_range in moved} == {(('s0', 0),)}


def test_a_new_server_gets_a_part_once_it_is_warm() -> None:
    owners = [_owner(0), _owner(1)]
    rates = dict.fromkeys(range(0, KEY_COUNT, 512), 0.5)
    table = _grant_all(plan_table(KeyTable([], 0), owners, KeyRates(rates)))
    cold = plan_table(table, [*owners, _owner(2, accepts_keys=False)], KeyRates(rates))
    assert all(key_range.owner[0] != 's2' for key_range in cold.ranges)
    warm = plan_table(table, [*owners, _owner(2)], KeyRates(rates))
    assert any(key_range.owner[0] == 's2' for key_range in warm.ranges)


def test_a_key_range_that_is_not_granted_yet_stays() -> None:
    """A range that moved before its grant was confirmed would be reclaimed once more."""
    ranges = [KeyRange(0, KEY_COUNT - 1, ('s0', 0), 2, False)]
    rates = dict.fromkeys(range(200), 2.0)
    assert (
        plan_table(KeyTable(ranges, 2), [_owner(0), _owner(1)], KeyRates(rates)).ranges
        == ranges
    )


def test_a_difference_within_the_error_of_the_counts_moves_nothing() -> None:
    """At a few requests a second each, some servers always had many more than others."""
    owners = [_owner(0, 0.5), _owner(1, 0.5)]
    # The busier server has 5 requests a second, three times as many as the other.
    rates = dict.fromkeys(range(0, KEY_COUNT // 2, 4096), 0.625)
    rates |= dict.fromkeys(range(KEY_COUNT // 2, KEY_COUNT, 4096), 0.2)
    table = _grant_all(plan_table(KeyTable([], 0), owners, KeyRates({})))
    assert plan_table(table, owners, KeyRates(rates, window_s=2.0)) is table
    assert plan_table(table, owners, KeyRates(rates)) is not table
