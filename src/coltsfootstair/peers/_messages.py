"""What daemons and the keeper tell each other several times a second."""

from __future__ import annotations

import msgspec

from coltsfootstair.errors import ProtocolError

__all__ = ['Beat', 'LoadFigures', 'Report', 'decode', 'encode']


class LoadFigures(msgspec.Struct, array_like=True):
    """One daemon's figures of one backend server since its last report.

    :param finished: answers received
    :param busy_s: sum of their times, in seconds
    """

    finished: int
    busy_s: float


class Report(msgspec.Struct, tag='report', array_like=True):
    """From each daemon to the keeper.

    :param epoch: epoch of the keeper that the daemon follows
    :param store_works: whether the daemon's last call of the store was answered
    :param requests_by_key: requests since the last report, by service and key
    """

    daemon: str
    epoch: int
    store_works: bool
    seconds: float
    requests_by_key: dict[str, dict[int, int]]
    load_by_server: dict[str, LoadFigures]


class Beat(msgspec.Struct, tag='beat', array_like=True):
    """From the keeper, in answer to a report.

    :param daemons: how many daemons report
    """

    keeper: str
    epoch: int
    store_works: bool
    daemons: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Report | Beat)


def encode(message: Report | Beat) -> bytes:
    """Return the bytes of a datagram."""
    return _ENCODER.encode(message)


def decode(datagram: bytes) -> Report | Beat:
    """Read a datagram.

    :raises ProtocolError: it is no message of this protocol
    """
    try:
        return _DECODER.decode(datagram)
    except msgspec.DecodeError as error:
        raise ProtocolError(f'no message between daemons: {error}') from None
