"""The lease record of a backend server, as the store keeps it."""

from __future__ import annotations

from typing import NamedTuple

import msgpack

from coltsfootstair.errors import ProtocolError

__all__ = ['LEASE_PREFIX', 'LeaseRecord', 'decode_record', 'encode_record', 'record_key']

LEASE_PREFIX = 'coordinators/'
"""The prefix of all lease records in the store."""


class LeaseRecord(NamedTuple):
    """Which daemon coordinates a backend server, and which one may replace it.

    :param coordinator: the daemon that coordinates
    :param incarnation: the process of the coordinator that holds the lease; that of a
        later process of the same daemon sorts after it
    :param standby: the daemon that may replace it, or an empty string
    :param standby_incarnation: the process of the standby that may do so
    :param epoch: rises with each change of the coordinator
    """

    coordinator: str
    incarnation: str
    standby: str
    standby_incarnation: str
    epoch: int


def record_key(backend_server: str) -> str:
    """Return the key of a backend server's lease record."""
    return f'{LEASE_PREFIX}{backend_server}'


def encode_record(record: LeaseRecord) -> bytes:
    """Return a record as the store keeps it."""
    return bytes(msgpack.packb(list(record)))


def decode_record(value: bytes) -> LeaseRecord:
    """Read a record as the store keeps it.

    :raises ProtocolError: the bytes are not a lease record
    """
    try:
        values = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise ProtocolError('a lease record is malformed') from error
    match values:
        case [str(name), str(incarnation), str(standby), str(other), int(epoch)] if epoch > 0:
            return LeaseRecord(name, incarnation, standby, other, epoch)
    raise ProtocolError('a lease record is malformed')
