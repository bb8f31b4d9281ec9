"""Tests of when a load sends what."""

from __future__ import annotations

from collections import Counter

from coltsfootstair.load import BookingLoad, LookupLoad, generate_arrivals

SECONDS = 20.0


def test_the_same_seed_gives_the_same_arrivals() -> None:
    load = LookupLoad('lookups', 50.0)
    assert generate_arrivals(load, SECONDS, 1) == generate_arrivals(load, SECONDS, 1)
    assert generate_arrivals(load, SECONDS, 1) != generate_arrivals(load, SECONDS, 2)


def test_rate_and_skew_are_as_asked() -> None:
    due = generate_arrivals(
        LookupLoad('lookups', 100.0, key_count=100, zipf_exponent=1.0), SECONDS, 1
    )
    assert 1800 < len(due) < 2200
    assert all(0 <= each.at < SECONDS for each in due)
    (key, most), *_ = Counter(each.key for each in due).most_common()
    assert key == 'key-0'
    assert most > len(due) / 100 * 10


def test_bookings_are_resent_unchanged() -> None:
    load = BookingLoad('bookings', 100.0, duplicate_share=0.25)
    due = generate_arrivals(load, SECONDS, 1)
    sends_by_id = Counter(each.operation_id for each in due)
    assert len({each[1:] for each in due}) == len(sends_by_id)
    share = sum(count == 2 for count in sends_by_id.values()) / len(sends_by_id)
    assert 0.2 < share < 0.3
