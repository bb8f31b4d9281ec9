"""Encodes messages as msgpack frames, and decodes and validates frames."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import msgpack
import msgspec

from coltsfootstair.errors import ProtocolError
from coltsfootstair.inner._messages import NUMBER_BY_TYPE, TYPE_BY_NUMBER

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootstair.inner._messages import Message

__all__ = ['MAX_FRAME_BYTES', 'Decoder', 'UnpackerPool', 'encode']

MAX_FRAME_BYTES = 1024 * 1024
"""Size limit of one encoded message; a larger frame is a protocol error."""

SMALL_BUFFER_BYTES = 4096
"""Initial buffer size of an unpacker; one that was fed a longer chunk is not pooled again."""


def encode(message: Message) -> bytes:
    """Encode ``message`` as a frame."""
    return cast('bytes', msgpack.packb((NUMBER_BY_TYPE[type(message)], *message)))


class UnpackerPool:
    """Pool of empty unpackers, shared by the decoders of one task.

    An unpacker needs about 40 KB even when it is empty. A daemon has thousands of streams,
    and nearly all of them hold no incomplete message.
    """

    def __init__(self) -> None:
        self._empty_unpackers: list[msgpack.Unpacker] = []

    def acquire(self) -> msgpack.Unpacker:
        """Return an empty unpacker."""
        if self._empty_unpackers:
            return self._empty_unpackers.pop()
        # Without read_size, an unpacker allocates a buffer of max_buffer_size at once.
        return msgpack.Unpacker(
            raw=False, read_size=SMALL_BUFFER_BYTES, max_buffer_size=MAX_FRAME_BYTES
        )

    def release(self, unpacker: msgpack.Unpacker) -> None:
        """Return an empty unpacker, whose buffer has not grown, to the pool."""
        self._empty_unpackers.append(unpacker)


class Decoder:
    """Decodes a stream of bytes, split at any points, into messages.

    It holds an unpacker only while a message is incomplete.

    :param pool: pool of the task that calls this decoder
    """

    def __init__(self, pool: UnpackerPool | None = None) -> None:
        self._pool = pool or UnpackerPool()
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_offset = 0
        self._has_grown = False

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that ``data`` completes.

        :raises ProtocolError: the bytes are not a registered message, or are a frame larger
            than ``MAX_FRAME_BYTES``
        """
        unpacker = self._acquire_unpacker()
        decoded_offset = -1
        try:
            unpacker.feed(data)
            self._fed_offset += len(data)
            self._has_grown = self._has_grown or len(data) > SMALL_BUFFER_BYTES
            for frame in unpacker:
                decoded_offset = unpacker.tell()
                yield _to_message(frame)
        except msgpack.BufferFull:
            raise ProtocolError(f'frame is larger than {MAX_FRAME_BYTES} bytes') from None
        except (msgpack.UnpackException, ValueError) as error:
            raise ProtocolError(f'bytes are not a msgpack frame: {error}') from None
        if decoded_offset == self._fed_offset:
            self._release_unpacker(unpacker)

    def _acquire_unpacker(self) -> msgpack.Unpacker:
        if self._unpacker is None:
            self._unpacker = self._pool.acquire()
            self._fed_offset = self._unpacker.tell()
        return self._unpacker

    def _release_unpacker(self, unpacker: msgpack.Unpacker) -> None:
        # The buffer of an unpacker never shrinks, so one that has grown is not reused.
        if not self._has_grown:
            self._pool.release(unpacker)
        self._unpacker = None
        self._has_grown = False


def _to_message(frame: object) -> Message:
    if not isinstance(frame, list) or not frame:
        raise ProtocolError('frame is not a non-empty array')
    message_type = TYPE_BY_NUMBER.get(frame[0]) if isinstance(frame[0], int) else None
    if message_type is None:
        raise ProtocolError('frame does not start with a known message number')
    try:
        return cast(
            'Message', msgspec.convert(frame[1:], message_type, builtin_types=(bytes,))
        )
    except msgspec.ValidationError as error:
        raise ProtocolError(f'{message_type.__name__} message is malformed: {error}') from None
