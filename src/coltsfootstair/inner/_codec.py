"""Turns messages into msgpack frames and back, refusing what is malformed."""

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
"""Upper bound of one message on the wire, in bytes."""

KEPT_BUFFER_BYTES = 4096
"""Buffer of an unpacker that no large message has gone through, in bytes."""


def encode(message: Message) -> bytes:
    """Return the frame of ``message``."""
    return cast('bytes', msgpack.packb((NUMBER_BY_TYPE[type(message)], *message)))


class UnpackerPool:
    """Unpackers that hold no bytes, for the decoders of one task to share.

    An unpacker takes some 40 KB even while it is empty; a daemon has thousands of
    streams, nearly all of them between two messages.
    """

    def __init__(self) -> None:
        self._spare: list[msgpack.Unpacker] = []

    def take(self) -> msgpack.Unpacker:
        """Return an unpacker that holds no bytes."""
        if self._spare:
            return self._spare.pop()
        # Without a read size an unpacker takes its greatest buffer at once.
        return msgpack.Unpacker(
            raw=False, read_size=KEPT_BUFFER_BYTES, max_buffer_size=MAX_FRAME_BYTES
        )

    def give_back(self, unpacker: msgpack.Unpacker) -> None:
        """Keep an unpacker that holds no bytes and whose buffer has not grown."""
        self._spare.append(unpacker)


class Decoder:
    """Takes bytes in any portions and gives whole messages.

    :param pool: of the task that calls this decoder
    """

    def __init__(self, pool: UnpackerPool | None = None) -> None:
        self._pool = pool or UnpackerPool()
        self._unpacker: msgpack.Unpacker | None = None
        self._end = 0
        self._grown = False

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that are whole after ``data``.

        :raises ProtocolError: the bytes are not a registered message, or one too large
        """
        unpacker = self._holding()
        whole_until = -1
        try:
            unpacker.feed(data)
            self._end += len(data)
            self._grown = self._grown or len(data) > KEPT_BUFFER_BYTES
            for frame in unpacker:
                whole_until = unpacker.tell()
                yield _to_message(frame)
        except msgpack.BufferFull:
            raise ProtocolError(f'a frame is larger than {MAX_FRAME_BYTES} bytes') from None
        except (msgpack.UnpackException, ValueError) as error:
            raise ProtocolError(f'not a msgpack frame: {error}') from None
        if whole_until == self._end:
            self._let_go(unpacker)

    def _holding(self) -> msgpack.Unpacker:
        if self._unpacker is None:
            self._unpacker = self._pool.take()
            self._end = self._unpacker.tell()
        return self._unpacker

    def _let_go(self, unpacker: msgpack.Unpacker) -> None:
        # A grown buffer never shrinks again, so it goes.
        if not self._grown:
            self._pool.give_back(unpacker)
        self._unpacker = None
        self._grown = False


def _to_message(frame: object) -> Message:
    if not isinstance(frame, list) or not frame:
        raise ProtocolError('a frame is not an array')
    message_type = TYPE_BY_NUMBER.get(frame[0]) if isinstance(frame[0], int) else None
    if message_type is None:
        raise ProtocolError('a frame has no known message number')
    try:
        return cast(
            'Message', msgspec.convert(frame[1:], message_type, builtin_types=(bytes,))
        )
    except msgspec.ValidationError as error:
        raise ProtocolError(f'{message_type.__name__}: {error}') from None
