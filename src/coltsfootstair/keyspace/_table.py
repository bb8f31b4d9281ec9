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

    def __init__(self, rows: list[KeyRange], fence: int, epoch: int = 0) -> None:
        self.ranges = rows
        self.fence = fence
        self.epoch = epoch
        self._first_keys = [row.first for row in rows]

    def range_of(self, key: int) -> KeyRange | None:
        """Return the row of ``key``, or ``None`` while there are no rows."""
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
    rows = [
        [
            row.first,
            row.last,
            *row.owner,
            row.fence,
            row.live,
            [list(p) for p in row.previous_owners],
        ]
        for row in table.ranges
    ]
    return {'epoch': table.epoch, 'fence': table.fence, 'rows': rows}


def decode_table(value: Any) -> KeyTable:
    """Read what ``encode`` wrote.

    :raises ProtocolError: it is no table, or its rows do not cover all keys once
    """
    try:
        stored = msgspec.convert(value, _StoredTable)
    except msgspec.ValidationError as error:
        raise ProtocolError(f'no table of keys: {error}') from None
    rows = [
        KeyRange(first, last, (name, born), fence, live, tuple(previous))
        for first, last, name, born, fence, live, previous in stored.rows
    ]
    return _build_checked_table(rows, stored.fence, stored.epoch)


def pack_table(
    table: KeyTable, service: str, revision: int, known: tuple[int, KeyTable] | None = None
) -> TableUpdate:
    """Return the message that carries ``table`` to other daemons.

    :param known: revision and table that they have; only what differs is sent then
    """
    after, rows = 0, table.ranges
    if known is not None:
        after, before = known
        kept = set(before.ranges)
        rows = [row for row in table.ranges if row not in kept]
    lives = list(
        dict.fromkeys(life for row in rows for life in (row.owner, *row.previous_owners))
    )
    number_by_life = {life: number for number, life in enumerate(lives)}
    packed = [
        (
            row.first,
            row.last,
            number_by_life[row.owner],
            row.fence,
            row.live,
            [number_by_life[life] for life in row.previous_owners],
        )
        for row in rows
    ]
    return TableUpdate(table.epoch, service, after, revision, table.fence, lives, packed)


def unpack_table(update: TableUpdate, known: KeyTable | None = None) -> KeyTable:
    """Read what ``pack`` wrote.

    :param known: the table at the revision that the update comes after, if it has one
    :raises ProtocolError: rows name lives that are not there, or do not cover all keys
    """
    lives = update.incarnations
    try:
        rows = [
            KeyRange(
                first, last, lives[owner], fence, live, tuple(lives[it] for it in previous)
            )
            for first, last, owner, fence, live, previous in update.ranges
        ]
    except IndexError:
        raise ProtocolError(f'rows must name one of {len(lives)} owners') from None
    if known is not None:
        rows = sorted([*_drop_overlapped(known.ranges, rows), *rows])
    return _build_checked_table(rows, update.fence, update.epoch)


def _drop_overlapped(rows: list[KeyRange], replaced: list[KeyRange]) -> list[KeyRange]:
    """Return the rows that no row of ``replaced``, in the order of keys, overlaps."""
    lasts = [row.last for row in replaced]
    kept = []
    for row in rows:
        place = bisect.bisect_left(lasts, row.first)
        if place == len(replaced) or replaced[place].first > row.last:
            kept.append(row)
    return kept


def _build_checked_table(rows: list[KeyRange], fence: int, epoch: int) -> KeyTable:
    ends = [-1, *(row.last for row in rows)]
    if rows and (
        any(row.first != end + 1 for row, end in zip(rows, ends, strict=False))
        or ends[-1] != KEY_COUNT - 1
    ):
        raise ProtocolError(f'rows must cover the keys 0 to {KEY_COUNT - 1} once, got {ends}')
    return KeyTable(rows, fence, epoch)
