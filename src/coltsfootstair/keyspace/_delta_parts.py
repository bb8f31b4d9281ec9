"""Splits what differs between two versions of a large object into datagrams, and back."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from coltsfootstair.errors import ProtocolError
from coltsfootstair.objects import Delta, RelayedDelta, UnreadableValue, compute_delta
from coltsfootstair.peers import DeltaPart

if TYPE_CHECKING:
    from coltsfootstair.objects import RelayedChanges

__all__ = ['DeltaAssembler', 'build_delta_parts']

MAX_PART_BYTES = 12 * 1024
"""Bytes of a difference in one datagram."""

MAX_PART_COUNT = 8
"""Datagrams for one difference; each daemon reads a larger change from the store itself."""

MAX_DELTA_BYTES = 4 * 1024 * 1024
"""Longest difference before it is compressed, in bytes; several times the largest object."""

COMPRESSION_LEVEL = 1
"""Level of zlib: routes differ in little, and the fastest one makes them a twentieth."""

_DECODER = msgspec.msgpack.Decoder(Delta)


def build_delta_parts(relayed: RelayedChanges, epoch: int) -> list[DeltaPart]:
    """Return the datagrams that tell what a single change differs in.

    None if there are several changes, if the state before is not known, or if they were too
    many.
    """
    if len(relayed.changes) != 1:
        return []
    change = relayed.changes[0]
    before = change.before
    if before is None or change.deleted:
        return []
    if any(isinstance(item.value, UnreadableValue) for item in (before, change.object)):
        return []
    try:
        delta = compute_delta(before.value, change.object.value)
        data = zlib.compress(msgspec.msgpack.encode(delta), COMPRESSION_LEVEL)
    except (OverflowError, RecursionError, TypeError, ValueError):
        # What can't be sent is no configuration; each daemon finds that out itself.
        return []
    pieces = [
        data[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)
    ]
    if len(pieces) > MAX_PART_COUNT:
        return []
    return [
        DeltaPart(
            epoch,
            relayed.kind,
            relayed.after_revision,
            relayed.revision,
            change.object.name,
            before.revision,
            change.object.revision,
            number,
            len(pieces),
            piece,
            relayed.is_difference,
        )
        for number, piece in enumerate(pieces)
    ]


class DeltaAssembler:
    """Puts the parts of the newest difference together, in whichever order they arrive."""

    def __init__(self) -> None:
        # Epoch of the keeper that sends the newest difference, and its revision.
        self._newest = (0, 0)
        self._data_by_number: dict[int, bytes] = {}

    def add(self, part: DeltaPart) -> RelayedDelta | None:
        """Add a part; return the difference if it is complete.

        :raises ProtocolError: the parts are no difference
        """
        version = (part.epoch, part.revision)
        if version < self._newest or not 0 <= part.number < part.part_count:
            return None
        if version > self._newest:
            self._newest = version
            self._data_by_number = {}
        if part.part_count > MAX_PART_COUNT or len(part.data) > MAX_PART_BYTES:
            raise ProtocolError(
                f'at most {MAX_PART_COUNT} parts of {MAX_PART_BYTES} bytes are allowed, got '
                f'{part.part_count} and {len(part.data)}'
            )
        self._data_by_number[part.number] = part.data
        if len(self._data_by_number) < part.part_count:
            return None
        data = b''.join(self._data_by_number[number] for number in range(part.part_count))
        self._data_by_number = {}
        return RelayedDelta(
            part.kind,
            part.base_revision,
            part.revision,
            part.name,
            part.before_revision,
            part.object_revision,
            _decode(data),
            part.is_difference,
        )


def _decode(data: bytes) -> Delta:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_DELTA_BYTES)
        if decompressor.unconsumed_tail:
            raise ProtocolError(f'a difference has over {MAX_DELTA_BYTES} bytes')
        delta: Delta = _DECODER.decode(text)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f'the parts are no difference: {error}') from None
    return delta
