"""Encoding of tables of key ranges in the store and in messages."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.keyspace import KEY_COUNT, KeyRange, KeyTable, decode_table, encode_table
from coltsfootstair.keyspace._table import build_table_update, read_table_update
from coltsfootstair.keyspace._view import OwnershipView
from coltsfootstair.peers import decode_message, encode_message

incarnations = st.tuples(st.sampled_from('abc'), st.integers(1, 3))


@st.composite
def tables(draw: st.DrawFn) -> KeyTable:
    cuts = sorted(draw(st.sets(st.integers(1, KEY_COUNT - 1), max_size=6)))
    ranges = [
        KeyRange(
            first, end - 1, draw(incarnations), draw(st.integers(1, 9)), draw(st.booleans())
        )
        for first, end in zip([0, *cuts], [*cuts, KEY_COUNT], strict=True)
    ]
    return KeyTable(ranges, 9, 2)


@given(tables())
def test_a_stored_table_is_read_back(table: KeyTable) -> None:
    read = decode_table(json.loads(json.dumps(encode_table(table))))
    assert (read.ranges, read.highest_fence, read.epoch) == (
        table.ranges,
        table.highest_fence,
        table.epoch,
    )


@given(tables(), tables())
def test_an_update_with_changes_makes_the_new_table_from_the_old_one(
    before: KeyTable, after: KeyTable
) -> None:
    message = decode_message(
        encode_message(build_table_update(after, 'lookups', 7, (5, before)))
    )
    assert read_table_update(message, before).ranges == after.ranges  # type: ignore[arg-type]


@given(tables(), tables())
def test_an_update_from_another_base_revision_is_ignored(
    before: KeyTable, after: KeyTable
) -> None:
    view = OwnershipView()
    view.apply_update(build_table_update(before, 'lookups', 5))
    view.apply_update(build_table_update(after, 'lookups', 9, (7, before)))
    assert view.get_table_revisions() == {'lookups': 5}
    view.apply_update(build_table_update(after, 'lookups', 9))
    assert view.get_table_revisions() == {'lookups': 9}
    key_range = view.range_of('lookups', 0)
    assert key_range == after.ranges[0]


@pytest.mark.parametrize('value', [None, {}, {'epoch': 1, 'fence': 1, 'rows': [[0, 9]]}, 'x'])
def test_a_malformed_table_is_refused(value: object) -> None:
    with pytest.raises(ProtocolError):
        decode_table(value)


def test_key_ranges_with_a_gap_are_refused() -> None:
    ranges = [KeyRange(0, 5, ('a', 1), 1, True), KeyRange(7, KEY_COUNT - 1, ('a', 1), 1, True)]
    with pytest.raises(ProtocolError, match='must cover'):
        decode_table(json.loads(json.dumps(encode_table(KeyTable(ranges, 1)))))
