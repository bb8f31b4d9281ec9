"""Ownership table of a service: the backend server that owns each row of keys."""

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
    'build_initial_shards',
    'decode_shard',
    'encode_shard',
    'find_usable_server_names',
    'hash_row_of',
    'rank_names',
    'row_epoch_of',
    'shard_key',
    'shard_of',
    'table_prefix',
    'token_of',
]

HASH_ROWS_PER_TABLE = 1024
"""Number of hash rows, into which keys hash; higher row numbers are those of hot rows."""

HASH_ROWS_PER_SHARD = 256
"""Number of hash rows that are stored in one object."""

SHARDS_PER_TABLE = HASH_ROWS_PER_TABLE // HASH_ROWS_PER_SHARD
"""Number of stored objects that make up the table of a service."""

HOT_ROWS_PER_SHARD = 128
"""Number of hot rows, each for one hot key, that may be stored in one object."""

_HASH_ROW_SEED = 0x636F6C74
"""Seed of the hash from keys to rows; every daemon must use the same one."""

_RANK_SEED = 0x72616E6B
"""Seed of the hash that ranks names; every daemon must use the same one."""

_LEASE_EPOCH_BITS = 24
"""Number of low bits of a fencing token that hold the lease epoch."""

_MAX_TOKEN = 2**63
"""Greatest fencing token that backend servers accept."""


class Row(NamedTuple):
    """Owner of the keys of one row.

    :param owner: name of a backend server, or an empty string
    :param epoch: number that rises with each change of the owner
    :param next_owner: backend server that the row is moving to, or an empty string; the
        owner itself if the key of a hot row is to return to its hash row
    :param key: the key of a hot row; empty in a hash row and in a free hot row
    """

    owner: str
    epoch: int
    next_owner: str = ''
    key: str = ''


UNASSIGNED = Row('', 0)
"""Value of a row that was never written."""


class Shard(NamedTuple):
    """The rows that are stored, and written, in one object of the store.

    The hot row of a key is in the same shard as the key's hash row, so that one
    conditional write covers a hash row and the keys that were taken out of it.
    """

    number: int
    rows_by_number: Mapping[int, Row]


def hash_row_of(key: str) -> int:
    """Return the number of the hash row that ``key`` hashes into."""
    return (
        int(xxhash.xxh3_64_intdigest(key.encode(), seed=_HASH_ROW_SEED)) % HASH_ROWS_PER_TABLE
    )


def shard_of(row_number: int) -> int:
    """Return the number of the shard that contains a row."""
    if row_number < HASH_ROWS_PER_TABLE:
        return row_number // HASH_ROWS_PER_SHARD
    return (row_number - HASH_ROWS_PER_TABLE) // HOT_ROWS_PER_SHARD


def table_prefix(service: str) -> str:
    """Return the prefix of the store keys of a service's table."""
    return f'tables/{service}/'


def shard_key(service: str, number: int) -> str:
    """Return the store key of a shard."""
    return f'{table_prefix(service)}{number}'


def token_of(row_epoch: int, lease_epoch: int) -> int:
    """Return the fencing token of a row that is granted under a lease.

    It rises with each change of the row's owner, and for one owner with each change of
    its coordinator.

    :raises ProtocolError: an epoch is out of range
    """
    token = row_epoch << _LEASE_EPOCH_BITS | lease_epoch
    if not 0 <= lease_epoch < 1 << _LEASE_EPOCH_BITS or not 0 <= token <= _MAX_TOKEN:
        raise ProtocolError(
            f'row epoch {row_epoch} and lease epoch {lease_epoch} do not fit a fencing token'
        )
    return token


def row_epoch_of(token: int) -> int:
    """Return the row epoch that is part of a fencing token."""
    return token >> _LEASE_EPOCH_BITS


def encode_shard(shard: Shard) -> bytes:
    """Return the stored form of a shard."""
    rows = [[number, *row] for number, row in sorted(shard.rows_by_number.items())]
    return bytes(msgpack.packb([shard.number, rows]))


def decode_shard(value: bytes) -> Shard:
    """Return the shard with the given stored form.

    :raises ProtocolError: the bytes are not an encoded shard
    """
    try:
        number, rows = msgpack.unpackb(value)
        rows_by_number = {row[0]: _decode_row(number, row) for row in rows}
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        raise ProtocolError(
            'shard is malformed: a number and a list of its rows are expected'
        ) from error
    return Shard(number, rows_by_number)


def _decode_row(shard: object, values: list[object]) -> Row:
    match values:
        case [int(number), str(owner), int(epoch), str(next_owner), str(key)]:
            if number >= 0 and epoch >= 0 and shard_of(number) == shard:
                return Row(owner, epoch, next_owner, key)
    raise ValueError(values)


class _KnownShard(NamedTuple):
    """A shard and the version of the store's object that held it."""

    shard: Shard
    version: int


class Table:
    """This daemon's copy of a service's table, for looking up owners.

    The copy may be out of date, but a shard is never replaced by an older version. One
    thread updates the copy while others read it, so each shard is replaced as a whole: a
    plan made from part of a shard would remove the other rows from the store.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self._known_by_shard: dict[int, _KnownShard] = {}
        self._hot_by_key: dict[str, int] = {}

    def apply_shard(self, shard: Shard, version: int) -> bool:
        """Apply a shard if its version is newer than the known one; return whether it was."""
        if version <= self._known(shard.number).version:
            return False
        hot = {k: n for k, n in self._hot_by_key.items() if shard_of(n) != shard.number}
        hot |= {row.key: n for n, row in shard.rows_by_number.items() if row.key}
        self._known_by_shard[shard.number] = _KnownShard(shard, version)
        self._hot_by_key = hot
        return True

    def find_row(self, key: str) -> tuple[int, Row]:
        """Return the number and the content of the row that ``key`` belongs to."""
        number = self._hot_by_key.get(key)
        if number is None:
            number = hash_row_of(key)
        return number, self.row(number)

    def row(self, number: int) -> Row:
        """Return a row by its number."""
        known = self._known(shard_of(number)).shard
        return known.rows_by_number.get(number, UNASSIGNED)

    def collect_rows(self) -> dict[int, Row]:
        """Return all known rows."""
        rows: dict[int, Row] = {}
        for number in range(SHARDS_PER_TABLE):
            rows |= self._known(number).shard.rows_by_number
        return rows

    def shard(self, number: int) -> tuple[Shard, int]:
        """Return a shard and its version; an empty shard and 0 if it is not known."""
        known = self._known(number)
        return known.shard, known.version

    def versions(self) -> tuple[int, ...]:
        """Return the version of each shard; 0 for a shard that is not known."""
        return tuple(self._known(number).version for number in range(SHARDS_PER_TABLE))

    def _known(self, number: int) -> _KnownShard:
        known = self._known_by_shard.get(number)
        return _KnownShard(Shard(number, {}), 0) if known is None else known


def find_usable_server_names(document: Document, service: str) -> tuple[str, ...]:
    """Return names of a service's backend servers that the document lets get new work."""
    out_data_centres = {
        centre.name for centre in document.data_centres if centre.state is State.OUT
    }
    return tuple(
        server.name
        for server in document.backend_servers
        if server.service == service
        and server.state is State.IN
        and server.data_centre not in out_data_centres
    )


def rank_names(subject: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in the order of rendezvous hashing for ``subject``, best first."""

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode(), seed=_RANK_SEED), name

    return sorted(names, key=rank)


def build_initial_shards(service: str, servers: Iterable[str]) -> list[Shard]:
    """Return the shards of a new table, in which all servers own equally many rows.

    Their counts of rows differ by at most one.

    Every daemon computes the same table, whatever the order of ``servers``.
    """
    names = sorted(set(servers))
    if not names:
        return [Shard(number, {}) for number in range(SHARDS_PER_TABLE)]
    remaining_count_by_name = _compute_row_counts(names)
    rows_by_shard: dict[int, dict[int, Row]] = {n: {} for n in range(SHARDS_PER_TABLE)}
    for number in range(HASH_ROWS_PER_TABLE):
        ranked = rank_names(f'{service}/{number}', names)
        owner = next(name for name in ranked if remaining_count_by_name[name])
        remaining_count_by_name[owner] -= 1
        rows_by_shard[shard_of(number)][number] = Row(owner, 1)
    return [Shard(number, rows) for number, rows in rows_by_shard.items()]


def _compute_row_counts(names: list[str]) -> dict[str, int]:
    """Return the number of hash rows that each name gets."""
    share, remainder = divmod(HASH_ROWS_PER_TABLE, len(names))
    return {name: share + (i < remainder) for i, name in enumerate(names)}
