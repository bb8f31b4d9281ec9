"""Which life of which backend server owns which range of keys."""

from __future__ import annotations

import bisect
from typing import Any, NamedTuple

import msgspec

from coltsfootstair.errors import ProtocolError
from coltsfootstair.peers import TableUpdate

__all__ = [
    'KEY_COUNT',
    'Incarnation',
    'KeyRange',
    'KeyTable',
    'decode_table',
    'encode_table',
    'pack_table',
    'unpack_table',
]

KEY_COUNT = 65536
"""Keys are numbers below this; stated by the platform."""

Incarnation = tuple[str, int]
"""A backend server's name and the Unix milliseconds of its start."""


class KeyRange(NamedTuple):
    """One range of keys.

    :param first: lowest key
    :param last: highest key, inclusive
    :param owner: who is granted the range under ``fence``
    :param live: whether the grant has been confirmed, so that requests may be sent
    :param previous: lives that may still hold keys of the range under an older fence
    """

    first: int
    last: int
    owner: Incarnation
    fence: int
    live: bool
    previous_owners: tuple[Incarnation, ...] = ()


class KeyTable:
    """Rows that cover all keys of a service, without gaps or overlaps.

    :param fence: the highest fencing token that a row has or had
    :param epoch: epoch of the keeper that wrote it; one of a lower epoch may no longer write
    """

    def __init__(self, ranges: list[KeyRange], fence: int, epoch: int = 0) -> None:
        self.ranges = ranges
        self.fence = fence
        self.epoch = epoch
        self._first_keys = [key_range.first for key_range in ranges]

    def range_of(self, key: int) -> KeyRange | None:
        """Return the row of ``key``, or ``None`` while there are no ranges."""
        if not self.ranges:
            return None
        return self.ranges[bisect.bisect_right(self._first_keys, key) - 1]


class _StoredTable(msgspec.Struct):
    """A table as it lies in the store."""

    epoch: int
    fence: int
    rows: list[tuple[int, int, str, int, int, bool, list[tuple[str, int]]]]


def encode_table(table: KeyTable) -> dict[str, Any]:
    """Return what the store keeps of ``table``."""
    ranges = [
        [
            key_range.first,
            key_range.last,
            *key_range.owner,
            key_range.fence,
            key_range.live,
            [list(p) for p in key_range.previous_owners],
        ]
        for key_range in table.ranges
    ]
    return {'epoch': table.epoch, 'fence': table.fence, 'rows': ranges}


def decode_table(value: Any) -> KeyTable:
    """Read what ``encode`` wrote.

    :raises ProtocolError: it is no table, or its ranges do not cover all keys once
    """
    try:
        stored = msgspec.convert(value, _StoredTable)
    except msgspec.ValidationError as error:
        raise ProtocolError(f'no table of keys: {error}') from None
    ranges = [
        KeyRange(first, last, (name, born), fence, live, tuple(previous))
        for first, last, name, born, fence, live, previous in stored.rows
    ]
    return _build_checked_table(ranges, stored.fence, stored.epoch)


def pack_table(
    table: KeyTable, service: str, revision: int, known: tuple[int, KeyTable] | None = None
) -> TableUpdate:
    """Return the message that carries ``table`` to other daemons.

    :param known: revision and table that they have; only what differs is sent then
    """
    after, ranges = 0, table.ranges
    if known is not None:
        after, before = known
        kept = set(before.ranges)
        ranges = [key_range for key_range in table.ranges if key_range not in kept]
    incarnations = list(
        dict.fromkeys(
            incarnation
            for key_range in ranges
            for incarnation in (key_range.owner, *key_range.previous_owners)
        )
    )
    index_by_incarnation = {
        incarnation: number for number, incarnation in enumerate(incarnations)
    }
    packed = [
        (
            key_range.first,
            key_range.last,
            index_by_incarnation[key_range.owner],
            key_range.fence,
            key_range.live,
            [index_by_incarnation[incarnation] for incarnation in key_range.previous_owners],
        )
        for key_range in ranges
    ]
    return TableUpdate(
        table.epoch, service, after, revision, table.fence, incarnations, packed
    )


def unpack_table(update: TableUpdate, known: KeyTable | None = None) -> KeyTable:
    """Read what ``pack`` wrote.

    :param known: the table at the revision that the update comes after, if it has one
    :raises ProtocolError: ranges name lives that are not there, or do not cover all keys
    """
    incarnations = update.incarnations
    try:
        ranges = [
            KeyRange(
                first,
                last,
                incarnations[owner],
                fence,
                live,
                tuple(incarnations[it] for it in previous),
            )
            for first, last, owner, fence, live, previous in update.ranges
        ]
    except IndexError:
        raise ProtocolError(f'ranges must name one of {len(incarnations)} owners') from None
    if known is not None:
        ranges = sorted([*_drop_overlapped(known.ranges, ranges), *ranges])
    return _build_checked_table(ranges, update.fence, update.epoch)


def _drop_overlapped(ranges: list[KeyRange], replaced: list[KeyRange]) -> list[KeyRange]:
    """Return the ranges that no row of ``replaced``, in the order of keys, overlaps."""
    lasts = [key_range.last for key_range in replaced]
    kept = []
    for key_range in ranges:
        place = bisect.bisect_left(lasts, key_range.first)
        if place == len(replaced) or replaced[place].first > key_range.last:
            kept.append(key_range)
    return kept


def _build_checked_table(ranges: list[KeyRange], fence: int, epoch: int) -> KeyTable:
    ends = [-1, *(key_range.last for key_range in ranges)]
    if ranges and (
        any(key_range.first != end + 1 for key_range, end in zip(ranges, ends, strict=False))
        or ends[-1] != KEY_COUNT - 1
    ):
        raise ProtocolError(
            f'ranges must cover the keys 0 to {KEY_COUNT - 1} once, got {ends}'
        )
    return KeyTable(ranges, fence, epoch)
