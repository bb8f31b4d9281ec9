"""The assignment table of a service: which backend server owns which row of keys."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

import msgpack
import xxhash

from coltsfootstair.document import State
from coltsfootstair.errors import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootstair.document import Document

__all__ = [
    'HASH_ROWS_PER_SHARD',
    'HASH_ROWS_PER_TABLE',
    'HOT_ROWS_PER_SHARD',
    'SHARDS_PER_TABLE',
    'UNASSIGNED',
    'Row',
    'Shard',
    'Table',
    'decode_shard',
    'encode_shard',
    'hash_row_of',
    'initial_assignment',
    'rank_names',
    'row_epoch_of',
    'shard_key',
    'shard_of',
    'table_prefix',
    'token_of',
    'usable_servers',
]

HASH_ROWS_PER_TABLE = 1024
"""Rows that keys hash into; row numbers from here up belong to single hot keys."""

HASH_ROWS_PER_SHARD = 256
"""Slots whose rows are kept in one object of the store."""

SHARDS_PER_TABLE = HASH_ROWS_PER_TABLE // HASH_ROWS_PER_SHARD

HOT_ROWS_PER_SHARD = 128
"""Hot keys that may have rows of their own in one object of the store."""

_SLOT_SEED = 0x636F6C74
_RANK_SEED = 0x72616E6B
_LEASE_EPOCH_BITS = 24
_MAX_TOKEN = 2**63


class Row(NamedTuple):
    """Who owns the keys of one row.

    :param owner: a backend server, or an empty string
    :param epoch: rises with each change of the owner
    :param next_owner: where the row is moving to, or an empty string
    :param key: the one key of a hot row; empty in the row of a slot and in a free hot row
    """

    owner: str
    epoch: int
    next_owner: str = ''
    key: str = ''


UNASSIGNED = Row('', 0)
"""What a row that was never written stands for."""


class Shard(NamedTuple):
    """The rows that are kept, and change, in one object of the store.

    The rows of hot keys stand in the shard of their slot, so that one conditional
    update covers a slot and the keys that were taken out of it.
    """

    number: int
    rows_by_number: Mapping[int, Row]


def hash_row_of(key: str) -> int:
    """Return the slot that ``key`` hashes into."""
    return int(xxhash.xxh3_64_intdigest(key.encode(), seed=_SLOT_SEED)) % HASH_ROWS_PER_TABLE


def shard_of(row_number: int) -> int:
    """Return the number of the shard that holds a row."""
    if row_number < HASH_ROWS_PER_TABLE:
        return row_number // HASH_ROWS_PER_SHARD
    return (row_number - HASH_ROWS_PER_TABLE) // HOT_ROWS_PER_SHARD


def table_prefix(service: str) -> str:
    """Return the prefix of the objects of a service's table."""
    return f'tables/{service}/'


def shard_key(service: str, number: int) -> str:
    """Return the key of the object that holds a shard."""
    return f'{table_prefix(service)}{number}'


def token_of(row_epoch: int, lease_epoch: int) -> int:
    """Return the fencing token of a row granted under a coordinator's lease.

    It rises with the owner of the row, and within one owner with its coordinator.

    :raises ProtocolError: an epoch is out of range
    """
    token = row_epoch << _LEASE_EPOCH_BITS | lease_epoch
    if not 0 <= lease_epoch < 1 << _LEASE_EPOCH_BITS or not 0 <= token <= _MAX_TOKEN:
        raise ProtocolError(f'epochs {row_epoch} and {lease_epoch} do not fit into a token')
    return token


def row_epoch_of(token: int) -> int:
    """Return the epoch of the row that a fencing token was made for."""
    return token >> _LEASE_EPOCH_BITS


def encode_shard(shard: Shard) -> bytes:
    """Return a shard as the store keeps it."""
    rows = [[number, *row] for number, row in sorted(shard.rows_by_number.items())]
    return bytes(msgpack.packb([shard.number, rows]))


def decode_shard(value: bytes) -> Shard:
    """Read a shard as the store keeps it.

    :raises ProtocolError: the bytes are not a shard
    """
    try:
        number, rows = msgpack.unpackb(value)
        rows_by_number = {row[0]: _checked_row(number, row) for row in rows}
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise ProtocolError('a shard of a table is malformed') from error
    return Shard(number, rows_by_number)


def _checked_row(shard: object, values: list[object]) -> Row:
    match values:
        case [int(number), str(owner), int(epoch), str(next_owner), str(key)]:
            if number >= 0 and epoch >= 0 and shard_of(number) == shard:
                return Row(owner, epoch, next_owner, key)
    raise ValueError(values)


class _KnownShard(NamedTuple):
    """A shard and the version of the store that it was true at."""

    shard: Shard
    version: int


class Table:
    """A service's table as this daemon knows it, for looking up owners.

    It is a hint: what it says may be old. A shard never goes back to an older version.
    One thread updates it while others read: each shard is put in place as a whole, since
    a plan made from part of a shard would take the other rows out of the store.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self._known_by_shard: dict[int, _KnownShard] = {}
        self._hot_by_key: dict[str, int] = {}

    def update(self, shard: Shard, version: int) -> bool:
        """Take in a shard at a version of the store; return whether it was new."""
        if version <= self._known(shard.number).version:
            return False
        hot = {k: n for k, n in self._hot_by_key.items() if shard_of(n) != shard.number}
        hot |= {row.key: n for n, row in shard.rows_by_number.items() if row.key}
        self._known_by_shard[shard.number] = _KnownShard(shard, version)
        self._hot_by_key = hot
        return True

    def find_row(self, key: str) -> tuple[int, Row]:
        """Return the number and the row that ``key`` belongs to."""
        number = self._hot_by_key.get(key)
        if number is None:
            number = hash_row_of(key)
        return number, self.row(number)

    def row(self, number: int) -> Row:
        """Return a row by its number."""
        known = self._known(shard_of(number)).shard
        return known.rows_by_number.get(number, UNASSIGNED)

    def rows_by_number(self) -> dict[int, Row]:
        """Return all known rows."""
        rows: dict[int, Row] = {}
        for number in range(SHARDS_PER_TABLE):
            rows |= self._known(number).shard.rows_by_number
        return rows

    def shard(self, number: int) -> tuple[Shard, int]:
        """Return a shard and its version; version 0 if it is not known."""
        known = self._known(number)
        return known.shard, known.version

    def versions(self) -> tuple[int, ...]:
        """Return the version of each shard; 0 for one that is not known."""
        return tuple(self._known(number).version for number in range(SHARDS_PER_TABLE))

    def _known(self, number: int) -> _KnownShard:
        known = self._known_by_shard.get(number)
        return _KnownShard(Shard(number, {}), 0) if known is None else known


def usable_servers(document: Document, service: str) -> tuple[str, ...]:
    """Return the backend servers of a service that operators let have new work."""
    out = {centre.name for centre in document.data_centres if centre.state is State.OUT}
    return tuple(
        server.name
        for server in document.backend_servers
        if server.service == service
        and server.state is State.IN
        and server.data_centre not in out
    )


def rank_names(subject: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by rendezvous rank for ``subject``, best first."""

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode(), seed=_RANK_SEED), name

    return sorted(names, key=rank)


def initial_assignment(service: str, servers: Iterable[str]) -> list[Shard]:
    """Return a first table: each server owns as many slots as any other, give or take one.

    It is the same wherever it is worked out, whatever the order of ``servers``.
    """
    names = sorted(set(servers))
    if not names:
        return [Shard(number, {}) for number in range(SHARDS_PER_TABLE)]
    room_by_name = _even_shares(names)
    rows_by_shard: dict[int, dict[int, Row]] = {n: {} for n in range(SHARDS_PER_TABLE)}
    for slot in range(HASH_ROWS_PER_TABLE):
        ranked = rank_names(f'{service}/{slot}', names)
        owner = next(name for name in ranked if room_by_name[name])
        room_by_name[owner] -= 1
        rows_by_shard[shard_of(slot)][slot] = Row(owner, 1)
    return [Shard(number, rows) for number, rows in rows_by_shard.items()]


def _even_shares(names: list[str]) -> dict[str, int]:
    share, rest = divmod(HASH_ROWS_PER_TABLE, len(names))
    return {name: share + (i < rest) for i, name in enumerate(names)}
