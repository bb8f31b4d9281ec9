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

__all__ = ['MAX_FRAME_BYTES', 'Decoder', 'encode']

MAX_FRAME_BYTES = 1024 * 1024
"""Upper bound of one message on the wire, in bytes."""


def encode(message: Message) -> bytes:
    """Return the frame of ``message``."""
    return cast('bytes', msgpack.packb((NUMBER_BY_TYPE[type(message)], *message)))


class Decoder:
    """Takes bytes in any portions and gives whole messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that are whole after ``data``.

        :raises ProtocolError: the bytes are not a registered message, or one too large
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                yield _to_message(frame)
        except msgpack.BufferFull:
            raise ProtocolError(f'a frame is larger than {MAX_FRAME_BYTES} bytes') from None
        except (msgpack.UnpackException, ValueError) as error:
            raise ProtocolError(f'not a msgpack frame: {error}') from None


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
