"""The table of key ranges: which incarnation of a backend server owns which keys."""

from __future__ import annotations

import bisect
from typing import Any, NamedTuple

import msgspec

from coltsfootstair.errors import ProtocolError, shorten
from coltsfootstair.keyspace._stored import (
    MAX_EPOCH,
    MAX_FENCE,
    MAX_START_MS,
    convert_stored,
    is_storable_text,
)
from coltsfootstair.peers import TableUpdate

__all__ = [
    'KEY_COUNT',
    'Incarnation',
    'KeyRange',
    'KeyTable',
    'build_table_update',
    'decode_table',
    'encode_table',
    'read_table_update',
]

KEY_COUNT = 65536
"""Number of keys of a service; keys are 0 to 65535, as the platform defines them."""

Incarnation = tuple[str, int]
"""Name of a backend server and time of its start, in Unix milliseconds."""


class KeyRange(NamedTuple):
    """A range of keys with its owner.

    :param first: lowest key
    :param last: highest key, inclusive
    :param owner: backend server to which the range is granted with ``fence``
    :param fence: fencing token of the grant
    :param is_granted: whether the owner confirmed the grant, so that requests may be sent
        to it
    :param previous_owners: incarnations that may still have a grant on keys of the range
        with a lower fencing token
    """

    first: int
    last: int
    owner: Incarnation
    fence: int
    is_granted: bool
    previous_owners: tuple[Incarnation, ...] = ()


class KeyTable:
    """Key ranges that cover all keys of a service, without gaps or overlaps.

    :param ranges: in ascending order of keys; empty until the first plan
    :param highest_fence: highest fencing token that any key range has or had
    :param epoch: epoch of the keeper that wrote the table; a keeper of a lower epoch may no
        longer write it
    """

    def __init__(self, ranges: list[KeyRange], highest_fence: int, epoch: int = 0) -> None:
        self.ranges = ranges
        self.highest_fence = highest_fence
        self.epoch = epoch
        self._first_keys = [key_range.first for key_range in ranges]

    def range_of(self, key: int) -> KeyRange | None:
        """Return the key range that contains ``key``, or ``None`` if the table is empty."""
        if not self.ranges:
            return None
        return self.ranges[bisect.bisect_right(self._first_keys, key) - 1]


class _StoredTable(msgspec.Struct):
    """Format of a table in the store; the field names are part of the format."""

    epoch: int
    fence: int
    rows: list[tuple[int, int, str, int, int, bool, list[tuple[str, int]]]]


def encode_table(table: KeyTable) -> dict[str, Any]:
    """Return the value that represents ``table`` in the store."""
    ranges = [
        [
            key_range.first,
            key_range.last,
            *key_range.owner,
            key_range.fence,
            key_range.is_granted,
            [list(incarnation) for incarnation in key_range.previous_owners],
        ]
        for key_range in table.ranges
    ]
    return {'epoch': table.epoch, 'fence': table.highest_fence, 'rows': ranges}


def decode_table(value: Any) -> KeyTable:
    """Read a table from its value in the store.

    :raises ProtocolError: the value is not a table, or its key ranges do not cover each key
        exactly once
    """
    stored = convert_stored(value, _StoredTable, 'table of key ranges')
    if not (0 <= stored.epoch <= MAX_EPOCH and 0 <= stored.fence <= MAX_FENCE):
        raise ProtocolError(
            f'stored table of key ranges must have an epoch up to {MAX_EPOCH} and a fencing'
            f' token up to {MAX_FENCE}'
        )
    for _, _, name, started_at_ms, fence, _, previous in stored.rows:
        if not 0 <= fence <= stored.fence:
            raise ProtocolError(
                f'fencing tokens of key ranges must be 0 to the highest one, {stored.fence}'
            )
        for incarnation in ((name, started_at_ms), *previous):
            if not _is_incarnation(incarnation):
                raise ProtocolError(
                    'owners of key ranges must have a name and the time of their start, got'
                    f' {shorten(incarnation)}'
                )
    ranges = [
        KeyRange(first, last, (name, started_at_ms), fence, is_granted, tuple(previous))
        for first, last, name, started_at_ms, fence, is_granted, previous in stored.rows
    ]
    return _build_checked_table(ranges, stored.fence, stored.epoch)


def _is_incarnation(incarnation: Incarnation) -> bool:
    name, started_at_ms = incarnation
    return is_storable_text(name) and 0 <= started_at_ms <= MAX_START_MS


def build_table_update(
    table: KeyTable, service: str, revision: int, base: tuple[int, KeyTable] | None = None
) -> TableUpdate:
    """Return the message that sends ``table`` to other daemons.

    :param revision: revision of ``table`` in the store
    :param base: revision and table that the other daemons have; if given, the message has
        only the key ranges that differ
    """
    base_revision, ranges = 0, table.ranges
    if base is not None:
        base_revision, base_table = base
        unchanged = set(base_table.ranges)
        ranges = [key_range for key_range in table.ranges if key_range not in unchanged]
    incarnations = list(
        dict.fromkeys(
            incarnation
            for key_range in ranges
            for incarnation in (key_range.owner, *key_range.previous_owners)
        )
    )
    index_by_incarnation = {
        incarnation: index for index, incarnation in enumerate(incarnations)
    }
    encoded_ranges = [
        (
            key_range.first,
            key_range.last,
            index_by_incarnation[key_range.owner],
            key_range.fence,
            key_range.is_granted,
            [index_by_incarnation[incarnation] for incarnation in key_range.previous_owners],
        )
        for key_range in ranges
    ]
    return TableUpdate(
        table.epoch,
        service,
        base_revision,
        revision,
        table.highest_fence,
        incarnations,
        encoded_ranges,
    )


def read_table_update(update: TableUpdate, base_table: KeyTable | None = None) -> KeyTable:
    """Read a table from a message.

    :param base_table: the table at ``update.base_revision``; ``None`` if the message has the
        whole table
    :raises ProtocolError: a key range refers to an owner that the message does not list, or
        the key ranges do not cover each key exactly once
    """
    incarnations = update.incarnations
    if any(
        index < 0
        for _, _, owner_index, _, _, previous_indexes in update.ranges
        for index in (owner_index, *previous_indexes)
    ):
        raise ProtocolError('key ranges must refer to their owners by an index of 0 or more')
    try:
        ranges = [
            KeyRange(
                first,
                last,
                incarnations[owner_index],
                fence,
                is_granted,
                tuple(incarnations[index] for index in previous_indexes),
            )
            for first, last, owner_index, fence, is_granted, previous_indexes in update.ranges
        ]
    except IndexError:
        raise ProtocolError(
            f'key ranges must refer to one of the {len(incarnations)} listed owners'
        ) from None
    if base_table is not None:
        ranges = sorted([*_drop_overlapped(base_table.ranges, ranges), *ranges])
    return _build_checked_table(ranges, update.highest_fence, update.epoch)


def _drop_overlapped(ranges: list[KeyRange], new_ranges: list[KeyRange]) -> list[KeyRange]:
    """Return the ranges that no range of ``new_ranges``, sorted by key, overlaps."""
    last_keys = [key_range.last for key_range in new_ranges]
    kept = []
    for key_range in ranges:
        index = bisect.bisect_left(last_keys, key_range.first)
        if index == len(new_ranges) or new_ranges[index].first > key_range.last:
            kept.append(key_range)
    return kept


def _build_checked_table(ranges: list[KeyRange], highest_fence: int, epoch: int) -> KeyTable:
    # The initial -1 is the last key of a range before the first one.
    last_keys = [-1, *(key_range.last for key_range in ranges)]
    if ranges and (
        any(
            key_range.first != previous_last + 1 or key_range.last < key_range.first
            for key_range, previous_last in zip(ranges, last_keys, strict=False)
        )
        or last_keys[-1] != KEY_COUNT - 1
    ):
        raise ProtocolError(
            f'key ranges must cover each key from 0 to {KEY_COUNT - 1} exactly once;'
            f' their last keys, after an initial -1, are {shorten(last_keys)}'
        )
    return KeyTable(ranges, highest_fence, epoch)
