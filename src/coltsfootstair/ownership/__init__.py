"""Who owns which key: the assignment table, grants, moves, and their planning."""

from __future__ import annotations

from coltsfootstair.ownership._table import (
    HOT_ROWS_PER_SHARD,
    ROWS_PER_SHARD,
    SHARDS_PER_TABLE,
    SLOTS_PER_TABLE,
    UNASSIGNED,
    Row,
    Shard,
    Table,
    decode_shard,
    encode_shard,
    initial_assignment,
    ranked_names,
    shard_key,
    shard_of,
    slot_of,
    table_prefix,
    token_of,
    usable_servers,
)

__all__ = [
    'HOT_ROWS_PER_SHARD',
    'ROWS_PER_SHARD',
    'SHARDS_PER_TABLE',
    'SLOTS_PER_TABLE',
    'UNASSIGNED',
    'Row',
    'Shard',
    'Table',
    'decode_shard',
    'encode_shard',
    'initial_assignment',
    'ranked_names',
    'shard_key',
    'shard_of',
    'slot_of',
    'table_prefix',
    'token_of',
    'usable_servers',
]
