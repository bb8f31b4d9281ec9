"""Ownership of keys by backend servers: table of rows, grants, moves and their planning."""

from __future__ import annotations

from coltsfootstair.ownership._grants import GRANT_DURATION_S, MAX_CLOCK_DRIFT_SHARE
from coltsfootstair.ownership._hot import FrequentKeys
from coltsfootstair.ownership._moves import handle
from coltsfootstair.ownership._owned import (
    MAX_REQUEST_TIMEOUT_S,
    OwnershipState,
    initial_state,
    is_unresponsive,
)
from coltsfootstair.ownership._planner import Load, RowChange, apply_changes, plan_moves
from coltsfootstair.ownership._table import (
    HASH_ROWS_PER_SHARD,
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
    find_usable_server_names,
    hash_row_of,
    rank_names,
    row_epoch_of,
    shard_key,
    shard_of,
    table_prefix,
    token_of,
)

__all__ = [
    'GRANT_DURATION_S',
    'HASH_ROWS_PER_SHARD',
    'HASH_ROWS_PER_TABLE',
    'HOT_ROWS_PER_SHARD',
    'MAX_CLOCK_DRIFT_SHARE',
    'MAX_REQUEST_TIMEOUT_S',
    'SHARDS_PER_TABLE',
    'UNASSIGNED',
    'FrequentKeys',
    'Load',
    'OwnershipState',
    'Row',
    'RowChange',
    'Shard',
    'Table',
    'apply_changes',
    'build_initial_shards',
    'decode_shard',
    'encode_shard',
    'find_usable_server_names',
    'handle',
    'hash_row_of',
    'initial_state',
    'is_unresponsive',
    'plan_moves',
    'rank_names',
    'row_epoch_of',
    'shard_key',
    'shard_of',
    'table_prefix',
    'token_of',
]
