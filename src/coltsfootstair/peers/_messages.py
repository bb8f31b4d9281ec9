"""What daemons and the keeper tell each other several times a second."""

from __future__ import annotations

from typing import Any

import msgspec

from coltsfootstair.errors import ProtocolError

__all__ = [
    'Heartbeat',
    'LoadFigures',
    'Message',
    'ObjectsUpdate',
    'Report',
    'TableUpdate',
    'decode_message',
    'encode_message',
]


class LoadFigures(msgspec.Struct, array_like=True):
    """One daemon's figures of one backend server since its last report.

    :param finished: answers received
    :param busy_s: sum of their times less the waits, by estimate, in seconds
    :param silent: whether it has answered nothing for much longer than usual
    """

    answer_count: int
    service_time_sum_s: float
    unresponsive: bool = False


class Report(msgspec.Struct, tag='report', array_like=True):
    """From each daemon to the keeper.

    :param epoch: epoch of the keeper that the daemon follows
    :param store_works: whether the daemon's last call of the store was answered
    :param revision_by_service: which table of keys the daemon has
    :param requests_by_key: requests since the last report, by service and key
    """

    daemon: str
    epoch: int
    store_reachable: bool
    interval_s: float
    table_revision_by_service: dict[str, int]
    request_count_by_key: dict[str, dict[int, int]]
    figures_by_server: dict[str, LoadFigures]


class Heartbeat(msgspec.Struct, tag='beat', array_like=True):
    """From the keeper, in answer to a report.

    :param keeper: its name; empty when it has given the lease back
    :param daemons: how many daemons report
    :param admitted_by_server: part of their requests that overloaded owners can serve
    :param silent_servers: backend servers that answer nobody at present
    :param revision_by_kind: up to which revision it has read each kind of objects
    """

    keeper: str
    epoch: int
    store_reachable: bool
    daemon_count: int
    admitted_share_by_server: dict[str, float]
    unresponsive_servers: list[str]
    revision_by_kind: dict[str, int]


class TableUpdate(msgspec.Struct, tag='table', array_like=True):
    """From the keeper: the table of keys of one service, or what changed in it.

    :param after: revision whose rows the sent ones replace where they overlap; 0 where all
        rows are sent
    :param lives: names and starts of the backend servers that the rows refer to
    :param rows: first and last key, owner, fencing token, whether it is live, and former
        owners that may still hold keys of it
    """

    epoch: int
    service: str
    base_revision: int
    revision: int
    fence: int
    incarnations: list[tuple[str, int]]
    ranges: list[tuple[int, int, int, int, bool, list[int]]]


class ObjectsUpdate(msgspec.Struct, tag='objects', array_like=True):
    """From the keeper: what changed in one kind of objects between two revisions.

    :param changes: name, revision, value and whether the object is gone
    """

    epoch: int
    kind: str
    base_revision: int
    revision: int
    changes: list[tuple[str, int, Any, bool]]


Message = Report | Heartbeat | TableUpdate | ObjectsUpdate
"""All that daemons send each other."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the bytes of a datagram."""
    return _ENCODER.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Read a datagram.

    :raises ProtocolError: it is no message of this protocol
    """
    try:
        message: Message = _DECODER.decode(datagram)
    except msgspec.DecodeError as error:
        raise ProtocolError(f'no message between daemons: {error}') from None
    return message
