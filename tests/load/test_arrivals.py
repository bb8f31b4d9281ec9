"""Tests of the schedule that a load generates."""

from __future__ import annotations

from collections import Counter

from coltsfootstair.load import BookingLoad, LookupLoad, generate_arrivals

LOAD_DURATION_S = 20.0


def test_the_same_seed_gives_the_same_arrivals() -> None:
    load = LookupLoad('lookups', 50.0)
    assert generate_arrivals(load, LOAD_DURATION_S, 1) == generate_arrivals(
        load, LOAD_DURATION_S, 1
    )
    assert generate_arrivals(load, LOAD_DURATION_S, 1) != generate_arrivals(
        load, LOAD_DURATION_S, 2
    )


def test_rate_and_key_frequencies_follow_the_load() -> None:
    arrivals = generate_arrivals(
        LookupLoad('lookups', 100.0, key_count=100, zipf_exponent=1.0), LOAD_DURATION_S, 1
    )
    assert 1800 < len(arrivals) < 2200
    assert all(0 <= each.offset_s < LOAD_DURATION_S for each in arrivals)
    (key, highest_count), *_ = Counter(each.key for each in arrivals).most_common()
    assert key == 'key-0'
    # The most frequent of 100 keys has more than ten times an even share.
    assert highest_count > len(arrivals) / 100 * 10


def test_duplicates_of_bookings_are_identical() -> None:
    load = BookingLoad('bookings', 100.0, duplicate_share=0.25)
    arrivals = generate_arrivals(load, LOAD_DURATION_S, 1)
    count_by_id = Counter(each.operation_id for each in arrivals)
    assert len({each[1:] for each in arrivals}) == len(count_by_id)
    duplicate_share = sum(count == 2 for count in count_by_id.values()) / len(count_by_id)
    assert 0.2 < duplicate_share < 0.3
