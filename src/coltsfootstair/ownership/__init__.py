"""Who owns which key: the assignment table, grants, moves, and their planning."""

from __future__ import annotations

from coltsfootstair.ownership._grants import CLOCK_DRIFT, GRANT_S
from coltsfootstair.ownership._hot import FrequentKeys
from coltsfootstair.ownership._moves import handle
from coltsfootstair.ownership._owned import REQUEST_LIMIT_S, OwnedRows, is_lost, take_up
from coltsfootstair.ownership._planner import Change, Load, apply_changes, plan
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
    row_epoch_of,
    shard_key,
    shard_of,
    slot_of,
    table_prefix,
    token_of,
    usable_servers,
)

__all__ = [
    'CLOCK_DRIFT',
    'GRANT_S',
    'HOT_ROWS_PER_SHARD',
    'REQUEST_LIMIT_S',
    'ROWS_PER_SHARD',
    'SHARDS_PER_TABLE',
    'SLOTS_PER_TABLE',
    'UNASSIGNED',
    'Change',
    'FrequentKeys',
    'Load',
    'OwnedRows',
    'Row',
    'Shard',
    'Table',
    'apply_changes',
    'decode_shard',
    'encode_shard',
    'handle',
    'initial_assignment',
    'is_lost',
    'plan',
    'ranked_names',
    'row_epoch_of',
    'shard_key',
    'shard_of',
    'slot_of',
    'table_prefix',
    'take_up',
    'token_of',
    'usable_servers',
]
