"""Tests of the ownership table."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.errors import ProtocolError
from coltsfootstair.ownership import (
    HASH_ROWS_PER_TABLE,
    HOT_ROWS_PER_SHARD,
    SHARDS_PER_TABLE,
    UNASSIGNED,
    Row,
    Shard,
    Table,
    build_initial_shards,
    decode_shard,
    encode_shard,
    hash_row_of,
    shard_of,
    token_of,
)

ROWS = st.builds(Row, st.text(), st.integers(0, 2**39 - 1), st.text(), st.text())


@given(st.dictionaries(st.integers(0, 255), ROWS))
def test_encoded_shard_decodes_to_the_same_shard(rows: dict[int, Row]) -> None:
    shard = Shard(0, rows)
    assert decode_shard(encode_shard(shard)) == shard


@given(st.binary())
def test_decoding_other_bytes_raises_protocol_error(value: bytes) -> None:
    with pytest.raises(ProtocolError):
        decode_shard(value)


@given(st.integers(1, 60))
def test_initial_shards_are_even_and_complete(server_count: int) -> None:
    names = [f's{i}' for i in range(server_count)]
    shards = build_initial_shards('lookups', names)
    owners = Counter(row.owner for shard in shards for row in shard.rows_by_number.values())
    assert owners.total() == HASH_ROWS_PER_TABLE
    assert max(owners.values()) - min(owners.values()) <= 1
    assert shards == build_initial_shards('lookups', reversed(names))
    assert len(build_initial_shards('lookups', [])) == SHARDS_PER_TABLE


def test_table_ignores_old_versions_and_finds_hot_rows() -> None:
    hash_row = hash_row_of('k')
    shard = shard_of(hash_row)
    hot = HASH_ROWS_PER_TABLE + shard * HOT_ROWS_PER_SHARD
    table = Table('lookups')
    assert table.find_row('k') == (hash_row, UNASSIGNED)
    rows = {hash_row: Row('a', 1), hot: Row('b', 1, key='k')}
    assert table.apply_shard(Shard(shard, rows), 7)
    assert not table.apply_shard(Shard(shard, {hash_row: Row('old', 1)}), 7)
    assert table.find_row('k') == (hot, Row('b', 1, key='k'))
    assert table.shard(shard) == (Shard(shard, rows), 7)
    assert table.apply_shard(Shard(shard, {hash_row: Row('a', 1), hot: Row('', 2)}), 8)
    assert table.find_row('k') == (hash_row, Row('a', 1))


def test_token_rises_with_the_row_epoch_first_and_then_the_lease_epoch() -> None:
    assert token_of(1, 5) < token_of(1, 6) < token_of(2, 1) <= 2**63
    with pytest.raises(ProtocolError):
        token_of(1, 2**24)


class TableReadingRows(dict[int, Row]):
    """Rows that read the table while the table applies them."""

    def __init__(self, table: Table, rows: dict[int, Row]) -> None:
        super().__init__(rows)
        self.table = table
        self.observed: list[tuple[Shard, int]] = []

    def items(self) -> Any:
        self.observed.append(self.table.shard(0))
        return super().items()


def test_reader_never_gets_part_of_a_shard() -> None:
    table = Table('s')
    old = Shard(0, {0: Row('a', 1), 1: Row('a', 1)})
    table.apply_shard(old, 1)
    rows = TableReadingRows(table, {0: Row('b', 2), 1: Row('b', 2)})
    table.apply_shard(Shard(0, rows), 2)
    assert rows.observed == [(old, 1)]
    assert table.shard(0) == (Shard(0, dict(rows)), 2)
