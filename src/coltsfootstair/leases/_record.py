"""Lease record of a backend server, and its stored form."""

from __future__ import annotations

from typing import NamedTuple

import msgpack

from coltsfootstair.errors import ProtocolError

__all__ = ['LEASE_PREFIX', 'LeaseRecord', 'decode_record', 'encode_record', 'record_key']

LEASE_PREFIX = 'coordinators/'
"""Prefix of the store keys of all lease records."""


class LeaseRecord(NamedTuple):
    """The daemon that coordinates a backend server, and its standby.

    :param coordinator: name of the daemon that coordinates the server
    :param incarnation: process of the coordinator that holds the lease; the incarnation of
        a later process of the same daemon sorts after it
    :param standby: name of the daemon that may replace the coordinator, or an empty string
    :param standby_incarnation: process of the standby that may replace the coordinator
    :param epoch: number that rises with each change of the coordinator
    """

    coordinator: str
    incarnation: str
    standby: str
    standby_incarnation: str
    epoch: int


def record_key(backend_server: str) -> str:
    """Return the store key of a backend server's lease record."""
    return f'{LEASE_PREFIX}{backend_server}'


def encode_record(record: LeaseRecord) -> bytes:
    """Return the stored form of a lease record."""
    return bytes(msgpack.packb(list(record)))


def decode_record(value: bytes) -> LeaseRecord:
    """Return the lease record with the given stored form.

    :raises ProtocolError: the bytes are not an encoded lease record
    """
    try:
        values = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException) as error:
        raise ProtocolError('lease record is not valid msgpack') from error
    match values:
        case [
            str(name),
            str(incarnation),
            str(standby),
            str(standby_incarnation),
            int(epoch),
        ] if epoch > 0:
            return LeaseRecord(name, incarnation, standby, standby_incarnation, epoch)
    raise ProtocolError(
        'lease record is malformed: four strings and a positive epoch expected'
    )
